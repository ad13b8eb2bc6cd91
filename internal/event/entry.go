package event

// Events of the entry.
const (
	AgentConnected          ID = 1001
	AgentLost               ID = 1002
	AgentReplaced           ID = 1003
	AgentLeaving            ID = 1004
	AgentGone               ID = 1005
	WorkerOnProbation       ID = 1006
	WorkerOffProbation      ID = 1007
	JobFailedByTask         ID = 1010
	JobShed                 ID = 1011
	BadFrameFromAgent       ID = 1020
	BadMessageFromAgent     ID = 1021
	AgentLinkSilent         ID = 1022
	AgentLinkOverflow       ID = 1023
	LinkLimitReached        ID = 1024
	AgentLinkEncodingFailed ID = 1026
	AgentLinkPanicked       ID = 1027
	PeerUnreachable         ID = 1030
	PeerReplaced            ID = 1031
	PeerRejected            ID = 1032
	RequestHandlerPanicked  ID = 1033
	JobAccepted             ID = 1040
	JobRefused              ID = 1041
	JobComplete             ID = 1042
	JobFailed               ID = 1043
	TaskGranted             ID = 1044
	TaskRequeued            ID = 1045
	TaskOverdue             ID = 1046
	JobResubmitted          ID = 1047
	RequestRejected         ID = 1048
)

var entryEvents = []Description{
	{AgentConnected, Info, "agent connected", "An agent opened a link and offered its slots. The fields say whether its session goes on (kept) or is new, how many runs it holds, and how many of the entry's grants it listed, did not list, and holds although the entry has given them up. The agent is the incarnation that it logs in 4001.", "None."},
	{AgentLost, Warning, "agent lost", "The link to an agent was lost; the outcome of its grants is unknown until it reconnects. The fields give their number and what ended the link.", "None, if it reconnects within the grace period."},
	{AgentReplaced, Warning, "agent replaced", "A new incarnation of the agent serves the endpoint (cause agent_replaced), or the same agent began a new session (new_session); the outcome of the tasks of the old one, lost in the fields, is unknown. The fields name both incarnations.", "Look for crashes of the agent if this repeats."},
	{AgentLeaving, Info, "agent leaving", "An agent announced its planned stop.", "None."},
	{AgentGone, Warning, "agent gone", "An agent did not reconnect within the grace period; the outcome of its tasks, lost in the fields, is unknown.", "Check the worker."},
	{WorkerOnProbation, Warning, "worker on probation", "A worker's failure rate is far above that of its pool; it gets no work for a time.", "Check the endpoint on that worker."},
	{WorkerOffProbation, Info, "worker off probation", "A worker on probation completed its trial task and gets work again.", "None."},
	{JobFailedByTask, Info, "job failed by task", "A job failed because one of its tasks ended without a result.", "Check the endpoint's log if this repeats."},
	{JobShed, Warning, "job shed", "A waiting job could no longer start within its objective and was refused; none of its tasks ran.", "Add workers, or lower the quota of the team that overloads the pool."},
	{BadFrameFromAgent, Fault, "bad frame from agent", "The bytes received on a link were not a valid frame; the link was closed.", "Check that the peer is an agent of this release."},
	{BadMessageFromAgent, Fault, "bad message from agent", "A frame was valid, but its message is not allowed in the state of the link; the link was closed.", "Check the agent's release."},
	{AgentLinkSilent, Warning, "link silent", "Nothing was received from an agent within the heartbeat timeout, or nothing that shows that it has got its grants; the link was closed. The fields give the age of both, the pace of the heartbeats and the limit.", "None, if the agent reconnects; otherwise check the worker and the network."},
	{AgentLinkOverflow, Warning, "link overflow", "An agent read too slowly and the send buffer of its link exceeded its limit; the link was closed.", "Check the load of the worker and the network."},
	{LinkLimitReached, Fault, "link limit reached", "A new connection from an agent was closed because the entry has the maximum number of links.", "Raise the limit or add entries; look for agents that reconnect in a loop."},
	{AgentLinkEncodingFailed, Fault, "link encoding failed", "A message to an agent could not be encoded; the link was closed.", "Report it with the fields of the event."},
	{AgentLinkPanicked, Fault, "link panicked", "The handling of bytes from an agent panicked; the link was closed.", "Report it with the fields of the event."},
	{PeerUnreachable, Warning, "peer unreachable", "A request could not be forwarded because the entry that owns its job could not be reached; the caller was told to retry.", "Check that entry and the network between the entries."},
	{PeerReplaced, Warning, "peer replaced", "Another incarnation answers at the address of a job's owner; the job was reported as failed with an unknown outcome.", "Look for crashes of that entry if this repeats."},
	{PeerRejected, Warning, "peer rejected", "A request forwarded by another entry was rejected because it was meant for another incarnation or was malformed.", "None, if an entry was replaced just before; otherwise check that all entries have the same release."},
	{RequestHandlerPanicked, Fault, "request handler panicked", "The handling of an HTTP request panicked; the caller was told that the outcome is unknown.", "Report it with the fields of the event."},
	{JobAccepted, Info, "job accepted", "A job was admitted; the fields give the capacity at that moment and how long the job may wait.", "None."},
	{JobRefused, Warning, "job refused", "A job was not admitted and will not run; the fields give the reason and the capacity at that moment.", "Add workers if this repeats."},
	{JobComplete, Info, "job complete", "All tasks of a job have results.", "None."},
	{JobFailed, Warning, "job failed", "A job ended without results; the fields give the reason and the state of its tasks.", "Trace the job's tasks to find the cause."},
	{TaskGranted, Info, "task granted", "A task was assigned to the agent of a worker; the fields describe the worker at that moment.", "None."},
	{TaskRequeued, Warning, "task requeued", "A granted task is back in the queue because its run was refused, lost, stopped or failed.", "Check the worker if this repeats."},
	{TaskOverdue, Warning, "task overdue", "A task runs far longer than estimated; this counts as a failure of its worker, which gets no work after several failures.", "Check the worker if this repeats."},
	{JobResubmitted, Info, "job resubmitted", "A request submitted a job that is already open; it waits for the end of that job.", "None."},
	{RequestRejected, Warning, "request rejected", "A request was rejected before it became a job: there was no configuration, no such queue in the revision given, or the job was not valid; nothing ran.", "Check the caller if this repeats; if the queue exists, run cactuspost explain on the logs of all entries."},
}
