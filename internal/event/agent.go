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
)

var agentEvents = []Description{
	{LinkUp, Info, "link up", "The agent is connected to an entry.", "None."},
	{LinkBroken, Warning, "link broken", "The connection to an entry ended; it will be dialled again.", "None, if it comes back."},
	{EntryReplaced, Warning, "entry replaced", "Another incarnation answers at an entry's address; runs of the old one were stopped.", "Look for crashes of the entry if it repeats."},
	{EntryForgotten, Info, "entry forgotten", "An entry left the list and is no longer dialled.", "None."},
	{TaskOverLimit, Warning, "task over limit", "A task ran longer than its service allows and was stopped.", "Raise task_limit_ms or mend the task."},
	{BadFrameFromEntry, Fault, "bad frame from entry", "Bytes on a link were not a valid frame; the link was closed.", "Check that the peer is an entry of this release."},
	{GrantRefused, Info, "grant refused", "A grant was refused before its start; the entry grants the task again.", "None."},
}
