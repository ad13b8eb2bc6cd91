package event

// Events of the entry.
const (
	AgentConnected      ID = 1001
	AgentLost           ID = 1002
	AgentReplaced       ID = 1003
	AgentLeft           ID = 1004
	AgentGone           ID = 1005
	WorkerOnProbation   ID = 1006
	WorkerForgiven      ID = 1007
	JobFailedByTask     ID = 1010
	JobShed             ID = 1011
	BadFrameFromAgent   ID = 1020
	BadMessageFromAgent ID = 1021
	AgentLinkSilent     ID = 1022
	AgentLinkOverflow   ID = 1023
	LinkLimitReached    ID = 1024
	LinkEncodeFault     ID = 1026
	PeerUnreachable     ID = 1030
	PeerReplaced        ID = 1031
	PeerRejected        ID = 1032
	RequestFault        ID = 1033
	JobAccepted         ID = 1040
	JobRefused          ID = 1041
	JobComplete         ID = 1042
	JobFailed           ID = 1043
	TaskGranted         ID = 1044
	TaskReturned        ID = 1045
	TaskOverran         ID = 1046
	JobJoined           ID = 1047
	RequestRejected     ID = 1048
)

var entryEvents = []Description{
	{AgentConnected, Info, "agent connected", "An agent opened a link and offered its slots.", "None."},
	{AgentLost, Warning, "agent lost", "The link to an agent broke; its grants are uncertain until it comes back.", "None, if it comes back within the grace period."},
	{AgentReplaced, Warning, "agent replaced", "A new incarnation serves the endpoint; tasks of the old one have an unknown outcome.", "Look for crashes of the agent if it repeats."},
	{AgentLeft, Info, "agent leaving", "An agent announced its planned stop.", "None."},
	{AgentGone, Warning, "agent gone", "An agent did not come back within the grace period; jobs with tasks on it failed with an unknown outcome.", "Check the worker."},
	{WorkerOnProbation, Warning, "worker on probation", "A worker fails far more than its pool and gets no work for a time.", "Check the endpoint on that worker."},
	{WorkerForgiven, Info, "worker forgiven", "A worker on probation completed its trial task.", "None."},
	{JobFailedByTask, Info, "job failed by task", "A task ended without a result, so its job failed.", "Look at the endpoint's own log if it repeats."},
	{JobShed, Warning, "job shed", "A waiting job could not start within its objective and was refused; none of its tasks ran.", "Add workers or lower the quota of the team that crowds the pool."},
	{BadFrameFromAgent, Fault, "bad frame from agent", "Bytes on a link were not a valid frame; the link was closed.", "Check that the peer is an agent of this release."},
	{BadMessageFromAgent, Fault, "bad message from agent", "A frame was valid but made no sense at that point; the link was closed.", "Check the agent's release."},
	{AgentLinkSilent, Warning, "link silent", "Nothing arrived from an agent for the heartbeat timeout; the link was closed.", "None, if the agent comes back; else check the worker and the network."},
	{AgentLinkOverflow, Warning, "link overflow", "An agent reads too slowly and too many bytes wait for it; the link was closed.", "Check the load of the worker and the network."},
	{LinkLimitReached, Fault, "link limit reached", "A connection from an agent was closed at once because the entry has as many as it may.", "Raise the limit or add entries; look for agents that dial in a loop."},
	{LinkEncodeFault, Fault, "link encode fault", "A message to an agent could not be encoded; the link was closed.", "Report it with the detail."},
	{PeerUnreachable, Warning, "peer unreachable", "A request was to be passed on to the entry that owns its job, which could not be reached; the caller was told to ask again.", "Check that entry and the network between the entries."},
	{PeerReplaced, Warning, "peer replaced", "The address of a job's owner answers as another incarnation; the job was reported failed with an unknown outcome.", "Look for crashes of that entry if it repeats."},
	{PeerRejected, Warning, "peer rejected", "A request passed on by another entry was rejected: it was meant for another incarnation, or its message is broken.", "None, if it follows the replacement of an entry; else check that all entries have the same release."},
	{RequestFault, Fault, "request fault", "An HTTP request met a fault of the entry; its caller was told that the outcome is unknown.", "Report it with the fields of the event."},
	{JobAccepted, Info, "job accepted", "A job was admitted; the fields say what was known of the room and how long it may wait.", "None."},
	{JobRefused, Warning, "job refused", "A job was not admitted and never runs; the fields give the reason and what was known of the room.", "Add workers if it repeats."},
	{JobComplete, Info, "job complete", "Every task of a job has its result.", "None."},
	{JobFailed, Warning, "job failed", "A job ended without an answer; the fields give the reason and what became of its tasks.", "Follow the job's tasks to the cause."},
	{TaskGranted, Info, "task granted", "A task was handed to the agent of a worker; the fields say what was known of the worker.", "None."},
	{TaskReturned, Warning, "task returned", "A granted task waits again: its run was refused, lost, stopped or failed.", "Look at the worker if it repeats."},
	{TaskOverran, Warning, "task overran", "A run takes far longer than foretold; it counts against its worker, which gets no work if there are several.", "Look at the worker if it repeats."},
	{JobJoined, Info, "job joined", "A request brought a job that is open already and waits for its end.", "None."},
	{RequestRejected, Warning, "request rejected", "A request was turned away before it became a job: no configuration, no such queue, or not a valid job; nothing ran.", "Look at the caller, if it repeats."},
}
