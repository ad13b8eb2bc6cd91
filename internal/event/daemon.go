package event

// Events of settings and of the start and stop of daemons.
const (
	DaemonStarted      ID = 4001
	SettingsRefused    ID = 4002
	Listening          ID = 4003
	ListenFailed       ID = 4004
	SettingsReloaded   ID = 4005
	StopRequested      ID = 4010
	DrainWaiting       ID = 4011
	Drained            ID = 4012
	DrainTimedOut      ID = 4013
	DaemonStopped      ID = 4014
	SecondStopIgnored  ID = 4015
	RequestRefused     ID = 4020
	TokenRefused       ID = 4021
	ConnectionsAtLimit ID = 4022
	ActorFailed        ID = 4030
	LinesDropped       ID = 4031
	MachineSuspended   ID = 4032
)

var daemonEvents = []Description{
	{DaemonStarted, Info, "daemon started", "The settings were accepted and the daemon begins its work.", "None."},
	{SettingsRefused, Fault, "settings refused", "The settings file has faults; the daemon did not listen and ends. The fields list every fault.", "Mend the file at the lines given."},
	{Listening, Info, "listening", "An address accepts connections.", "None."},
	{ListenFailed, Fault, "listen failed", "An address of the settings can't be used; the daemon ends.", "Look for another process on the address."},
	{SettingsReloaded, Info, "settings reloaded", "The platform's settings were read again.", "None."},
	{StopRequested, Info, "stop requested", "A planned stop begins: nothing new is taken, and what was accepted is finished.", "Wait for the event drained."},
	{DrainWaiting, Info, "drain waiting", "The planned stop waits for work that is still in progress.", "None; the fields say how much is left."},
	{Drained, Info, "drained", "The planned stop has finished everything that was accepted.", "None."},
	{DrainTimedOut, Fault, "drain timed out", "The bound on the planned stop was reached with work in progress; its callers see a failure.", "Raise drain_timeout_ms, or leave it at 0."},
	{DaemonStopped, Info, "daemon stopped", "The daemon ends.", "None."},
	{SecondStopIgnored, Warning, "second stop ignored", "Another stop was asked for during a planned stop; it changes nothing.", "Wait, or end the process if its work may be lost."},
	{RequestRefused, Info, "request refused", "An HTTP request was refused before it reached a job.", "None; the fields give the kind of failure."},
	{TokenRefused, Warning, "token refused", "A request came without a valid token.", "Check the caller's token if it repeats."},
	{ConnectionsAtLimit, Warning, "connections at limit", "New HTTP connections are refused because max_connections are open.", "Raise max_connections or add an entry."},
	{ActorFailed, Fault, "actor failed", "A part of the daemon ended for an internal fault; the daemon ends.", "Report it with the fields of the event."},
	{LinesDropped, Warning, "lines dropped", "More lines came than the bounds allow, or the reader of the log was too slow; the fields count what is missing.", "Look at the metrics for that second."},
	{MachineSuspended, Warning, "machine suspended", "The machine stood still for a time that the steady clock doesn't show; links were given up or grants held back for a moment.", "Look at the host if it repeats."},
}
