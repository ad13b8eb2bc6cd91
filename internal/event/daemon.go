package event

// Events of the settings, start and stop of daemons, and of other parts that all
// daemons have.
const (
	DaemonStarted          ID = 4001
	SettingsRefused        ID = 4002
	Listening              ID = 4003
	ListenFailed           ID = 4004
	SettingsReloaded       ID = 4005
	StopRequested          ID = 4010
	DrainInProgress        ID = 4011
	Drained                ID = 4012
	DrainTimedOut          ID = 4013
	DaemonStopped          ID = 4014
	SecondStopIgnored      ID = 4015
	RequestRefused         ID = 4020
	TokenRefused           ID = 4021
	ConnectionLimitReached ID = 4022
	ActorFailed            ID = 4030
	LogLinesDropped        ID = 4031
	MachineSuspended       ID = 4032
	InboxBehind            ID = 4033
)

var daemonEvents = []Description{
	{DaemonStarted, Info, "daemon started", "The settings are valid and the daemon starts.", "None."},
	{SettingsRefused, Fault, "settings refused", "The settings file has errors; the daemon exits without listening. The fields list every error.", "Correct the file at the given lines."},
	{Listening, Info, "listening", "An address accepts connections.", "None."},
	{ListenFailed, Fault, "listen failed", "The daemon can't listen on a configured address and exits.", "Check whether another process uses the address."},
	{SettingsReloaded, Info, "settings reloaded", "The platform's settings were read again.", "None."},
	{StopRequested, Info, "stop requested", "A planned stop begins: no new work is accepted, and accepted work is finished.", "Wait for the event drained."},
	{DrainInProgress, Info, "drain in progress", "The planned stop waits for work that is still in progress.", "None; the fields give the remaining work."},
	{Drained, Info, "drained", "All accepted work is finished; the planned stop is complete.", "None."},
	{DrainTimedOut, Fault, "drain timed out", "The time limit of the planned stop was reached with work in progress; the callers of that work get a failure.", "Raise drain_timeout_ms, or set it to 0 so that only the jobs' lifetimes limit the stop."},
	{DaemonStopped, Info, "daemon stopped", "The daemon exits.", "None."},
	{SecondStopIgnored, Warning, "second stop ignored", "Another stop was requested during a planned stop; it has no effect.", "Wait, or kill the process if its work may be lost."},
	{RequestRefused, Info, "request refused", "An HTTP request was refused before it was passed to a job.", "None; the fields give the kind of failure."},
	{TokenRefused, Warning, "token refused", "A request had no valid token.", "Check the caller's token if this repeats."},
	{ConnectionLimitReached, Warning, "connection limit reached", "New HTTP connections are refused because max_connections are open.", "Raise max_connections or add an entry."},
	{ActorFailed, Fault, "actor failed", "A component of the daemon stopped because of an internal error; the daemon exits.", "Report it with the fields of the event."},
	{LogLinesDropped, Warning, "lines dropped", "Log lines were dropped because the rate limit was exceeded or the reader of the log was too slow; the fields give the number of missing lines.", "Check the metrics of that second."},
	{MachineSuspended, Warning, "machine suspended", "The machine was suspended for a time that the monotonic clock doesn't count; links were closed, or grants were delayed for a moment.", "Check the host if this repeats."},
	{InboxBehind, Warning, "inbox behind", "A message waited for too long in the inbox of the actor that decides; reported at most once a second. The fields give the wait, the limit and the number of messages that still wait.", "Check whether the process gets enough processor time."},
}
