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
}
