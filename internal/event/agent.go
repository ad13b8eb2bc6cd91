package event

// Events of the agent.
const (
	LinkUp                   ID = 2001
	LinkBroken               ID = 2002
	EntryReplaced            ID = 2003
	EntryRemoved             ID = 2004
	TaskTimeLimitExceeded    ID = 2010
	BadFrameFromEntry        ID = 2020
	GrantRefused             ID = 2021
	LinkEncodingFailed       ID = 2022
	LinkOverflow             ID = 2023
	LinkSilent               ID = 2024
	LinkInboxFull            ID = 2025
	RunnerInboxFull          ID = 2026
	NetworkError             ID = 2027
	LinkPanicked             ID = 2028
	HeartbeatPanicked        ID = 2029
	EndpointUp               ID = 2030
	EndpointDown             ID = 2031
	RunEnded                 ID = 2040
	RunFailed                ID = 2041
	WorkerReplaced           ID = 2042
	WorkerAnnounced          ID = 2043
	StaleAnnouncementIgnored ID = 2044
	AgentNotStarted          ID = 2045
	BadAnnouncement          ID = 2046
	WorkerStateNotRead       ID = 2047
	WorkerStateNotWritten    ID = 2048
	RunStarted               ID = 2049
	EntryLookupStarted       ID = 2050
	EntryLookupFailed        ID = 2051
	RunRequested             ID = 2052
	ForeignRunStopped        ID = 2053
	StopOverdue              ID = 2054
	RunsLost                 ID = 2055
	StoppedRunListed         ID = 2056
	CapacityChanged          ID = 2057
	RunsGivenUp              ID = 2058
	TokenDerived             ID = 2059
	TokenRejected            ID = 2060
)

var agentEvents = []Description{
	{LinkUp, Info, "link up", "The agent is connected to an entry. The fields say whether a new session begins, and give the runs and results of the entry here and the age of its newest confirmation, on this connection and on any (vouched).", "None."},
	{LinkBroken, Warning, "link broken", "The connection to an entry was lost; the agent will reconnect.", "None, if the connection is restored."},
	{EntryReplaced, Warning, "entry replaced", "Another incarnation answers at an entry's address; tasks of the old one were stopped.", "Look for crashes of the entry if this repeats."},
	{EntryRemoved, Info, "entry removed", "An entry is no longer in the list of entries; the agent no longer connects to it.", "None."},
	{TaskTimeLimitExceeded, Warning, "task time limit exceeded", "A task exceeded its service's time limit and was stopped.", "Raise task_limit_ms or fix the task."},
	{BadFrameFromEntry, Fault, "bad frame from entry", "The bytes received on a link were not a valid frame; the link was closed.", "Check that the peer is an entry of this release."},
	{GrantRefused, Info, "grant refused", "A grant was refused before its task started; the entry grants the task again.", "None."},
	{LinkEncodingFailed, Fault, "link encoding failed", "A message to an entry could not be encoded, for example because it exceeds the maximum frame size; the link was closed.", "Reduce the size of the tasks' results."},
	{LinkOverflow, Warning, "link overflow", "An entry read too slowly and the send queue of its link was full; the link was closed. Results are sent again after the reconnection.", "Check the entry's load and the network."},
	{LinkSilent, Warning, "link silent", "Nothing was received from an entry within the heartbeat timeout; the link was closed.", "Check the entry and the network if this repeats."},
	{LinkInboxFull, Fault, "link inbox full", "The queue of messages to the actor of the links was full; a link was closed, or a connection was not attempted.", "Check whether the agent gets enough processor time."},
	{RunnerInboxFull, Fault, "runner inbox full", "The queue of messages to the endpoint client was full; a task was not sent.", "Report it as a defect: the queue is large enough for every slot."},
	{NetworkError, Warning, "network error", "The network library of the links reported an error; a field contains its text.", "Check the network and the limit on open files if this repeats."},
	{LinkPanicked, Fault, "link panicked", "The handling of bytes from an entry panicked; the link was closed.", "Report it with the fields of the event."},
	{HeartbeatPanicked, Fault, "heartbeat panicked", "The handling of a call of the worker panicked; the worker was told that it failed.", "Report it with the fields of the event."},
	{EndpointUp, Info, "endpoint up", "The endpoint passes its health checks; its slots are offered.", "None."},
	{EndpointDown, Warning, "endpoint down", "The endpoint fails its health checks; its slots are not offered.", "Check the endpoint on this worker."},
	{RunEnded, Info, "run ended", "A task completed.", "None."},
	{RunFailed, Warning, "run failed", "A task's run ended without a result or was not started; the fields give the reason.", "Check the worker if this repeats."},
	{WorkerReplaced, Warning, "worker replaced", "Another incarnation of the worker answers, or another agent serves it; this agent stops and a new one takes over.", "Look for crashes of the worker if this repeats."},
	{WorkerAnnounced, Info, "worker announced", "A new incarnation of a worker announced itself, or a worker announced that it is draining.", "None."},
	{StaleAnnouncementIgnored, Info, "stale announcement ignored", "An announcement of the worker arrived after a more recent one and was ignored.", "None."},
	{AgentNotStarted, Fault, "agent not started", "The agent for a worker could not be started.", "Check the field error."},
	{BadAnnouncement, Warning, "bad announcement", "A heartbeat did not come from the worker on this machine or was malformed; it was refused.", "Find out which other process sends heartbeats to this address."},
	{WorkerStateNotRead, Warning, "worker state not read", "The worker's last announcement could not be read from the store; the agent waits for a heartbeat.", "Check the platform's store if this repeats."},
	{WorkerStateNotWritten, Warning, "worker state not written", "The worker's announcement could not be written to the store; the agent will retry.", "Check the platform's store if this repeats."},
	{RunStarted, Info, "run started", "A grant that waited at the agent for free slots was started; a field gives the time that it waited.", "None."},
	{EntryLookupStarted, Warning, "entry lookup started", "The agent can reach none of the entries that it knows; it reads the list of entries from the store.", "Check the entries and the network if this repeats."},
	{EntryLookupFailed, Warning, "entry lookup failed", "The list of entries could not be read from the store; the agent retries while it can reach no entry.", "Check the platform's store if this repeats."},
	{RunRequested, Info, "run requested", "The agent asked the worker to start a run; the fields give the run's number, the fencing token, and the expiry of the lease on the worker's clock.", "None."},
	{ForeignRunStopped, Warning, "foreign run stopped", "The worker lists a run that this agent did not request, or whose end it has reported; it is told to stop.", "None after an agent was replaced, or if the end reported was listed by the worker; otherwise look for a second run of the task."},
	{StopOverdue, Warning, "stop overdue", "A run was asked to stop and its end is not known after the limit; the agent asks again until the worker answers, except in state revoked.", "Check the worker if this repeats; look for a second run of the task."},
	{RunsLost, Warning, "runs lost", "The lease has expired with runs on the worker, so all of them have ended; their entries repeat the tasks.", "Check the worker if this repeats."},
	{StoppedRunListed, Warning, "stopped run listed", "The worker lists a run as running although it should have stopped: it executed a stop, or left all unanswered until the start had expired. The lease is not extended while this lasts.", "Check the worker if this repeats."},
	{CapacityChanged, Info, "capacity changed", "The worker reports another capacity; the agent offers fewer or more slots from now on.", "None."},
	{RunsGivenUp, Warning, "runs given up", "An entry is taken to be gone: its runs at the endpoint are stopped, and its queued grants and kept results are dropped. The reason is grace_over, entry_replaced or entry_unlisted.", "None, if the entry has ended; otherwise look for a second run of the tasks."},
	{TokenDerived, Info, "token derived", "The agent has a fencing token for the worker; the fields give the worker's start and clock, and the highest token that its process knows of earlier agents (floor).", "None."},
	{TokenRejected, Warning, "token rejected", "The worker knows a higher fencing token than the agent's; the state is that of chart workerlease.", "None after a restart of the worker or the agent; otherwise look for a second agent of the worker."},
}
