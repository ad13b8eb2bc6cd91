package event

// Events of the agent.
const (
	LinkUp            ID = 2001
	LinkBroken        ID = 2002
	EntryReplaced     ID = 2003
	EntryForgotten    ID = 2004
	TaskOverLimit     ID = 2010
	BadFrameFromEntry ID = 2020
	GrantRefused      ID = 2021
	MessageNotEncoded ID = 2022
	LinkOverflow      ID = 2023
	LinkSilent        ID = 2024
	LinksOverrun      ID = 2025
	RunnerOverrun     ID = 2026
	NetworkFault      ID = 2027
	EndpointUp        ID = 2030
	EndpointDown      ID = 2031
	RunEnded          ID = 2040
	RunFailed         ID = 2041
	WorkerOver        ID = 2042
	WorkerAnnounced   ID = 2043
	AnnouncementStale ID = 2044
	AgentNotStarted   ID = 2045
	BadAnnouncement   ID = 2046
	WorkerNotRecalled ID = 2047
	WorkerNotKept     ID = 2048
	RunStarted        ID = 2049
	EntriesSought     ID = 2050
	EntriesNotFound   ID = 2051
)

var agentEvents = []Description{
	{LinkUp, Info, "link up", "The agent is connected to an entry.", "None."},
	{LinkBroken, Warning, "link broken", "The connection to an entry ended; it will be dialled again.", "None, if it comes back."},
	{EntryReplaced, Warning, "entry replaced", "Another incarnation answers at an entry's address; runs of the old one were stopped.", "Look for crashes of the entry if it repeats."},
	{EntryForgotten, Info, "entry forgotten", "An entry left the list and is no longer dialled.", "None."},
	{TaskOverLimit, Warning, "task over limit", "A task ran longer than its service allows and was stopped.", "Raise task_limit_ms or mend the task."},
	{BadFrameFromEntry, Fault, "bad frame from entry", "Bytes on a link were not a valid frame; the link was closed.", "Check that the peer is an entry of this release."},
	{GrantRefused, Info, "grant refused", "A grant was refused before its start; the entry grants the task again.", "None."},
	{MessageNotEncoded, Fault, "message not encoded", "A message for an entry was over the limit of the link; the link was closed.", "Lower the size of the tasks' results."},
	{LinkOverflow, Warning, "link overflow", "An entry took bytes too slowly and its queue was full; the link was closed and results are sent again later.", "Check the entry's load and the network."},
	{LinkSilent, Warning, "link silent", "Nothing arrived from an entry for longer than the heartbeat timeout; the link was closed.", "Check the entry and the network, if it repeats."},
	{LinksOverrun, Fault, "links overrun", "More messages waited for the links than there is room for; a link was closed or not dialled.", "Check the agent's share of processor time."},
	{RunnerOverrun, Fault, "runner overrun", "More messages waited for the endpoint client than there is room for; a task ended before it was sent.", "Report it: the room covers every slot."},
	{NetworkFault, Warning, "network fault", "The network library of the links reports an error; the field has its text.", "Look at the network and the limits of open files, if it repeats."},
	{EndpointUp, Info, "endpoint up", "The endpoint answers health checks; its slots are offered.", "None."},
	{EndpointDown, Warning, "endpoint down", "The endpoint does not answer health checks; its slots are not offered.", "Check the endpoint on this worker."},
	{RunEnded, Info, "run ended", "A task is done.", "None."},
	{RunFailed, Warning, "run failed", "A run ended without a result, or was never started; the fields say how.", "Look at the worker if it repeats."},
	{WorkerOver, Warning, "worker over", "Another life of the worker answers, or another agent serves it; this agent ends and a new one takes over.", "Look for crashes of the worker if it repeats."},
	{WorkerAnnounced, Info, "worker announced", "A worker began a life, or said that it is leaving.", "None."},
	{AnnouncementStale, Info, "announcement stale", "An announcement of the worker came later than a newer one and was not used.", "None."},
	{AgentNotStarted, Fault, "agent not started", "The agent for a worker could not be started.", "See the field error."},
	{BadAnnouncement, Warning, "bad announcement", "A heartbeat was not one of the worker on this machine, or could not be read; it was refused.", "Look for who else sends heartbeats to this address."},
	{WorkerNotRecalled, Warning, "worker not recalled", "What a predecessor knew of the worker could not be read from the store; the agent waits for a heartbeat.", "Check the platform's store if it repeats."},
	{WorkerNotKept, Warning, "worker not kept", "What the worker announced could not be written to the store; it is tried again.", "Check the platform's store if it repeats."},
	{RunStarted, Info, "run started", "A grant that waited at the agent for room was started; the field says how long it has waited.", "None."},
	{EntriesSought, Warning, "entries sought", "No entry that the agent knows is reached; the list of entries is read from the store.", "Check the entries and the network if it repeats."},
	{EntriesNotFound, Warning, "entries not found", "The list of entries could not be read from the store; it is tried again while no entry is reached.", "Check the platform's store if it repeats."},
}
