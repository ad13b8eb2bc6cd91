package event

// Events of the platform's table and of the configuration.
const (
	TableUnavailable            ID = 3001
	TableAvailable              ID = 3002
	InstanceRegistered          ID = 3003
	LeaseLapsed                 ID = 3004
	LeaseRestored               ID = 3005
	RegistrationRemoved         ID = 3006
	RegistrationNotRemoved      ID = 3007
	ExpiredInstanceRemoved      ID = 3008
	BadInstanceRow              ID = 3009
	PeersChanged                ID = 3010
	ChangeHistoryCompacted      ID = 3011
	RegistrationFailed          ID = 3012
	ConfigurationAdopted        ID = 3020
	StoredConfigurationOutdated ID = 3021
	BadConfigurationRow         ID = 3022
	ConfigurationUnavailable    ID = 3023
	ConfigurationAvailable      ID = 3024
	ConfigurationInForce        ID = 3025
	ConfigurationBehind         ID = 3026
	NoteAccepted                ID = 3030
	NoteRefused                 ID = 3031
	NoteOutcomeUnknown          ID = 3032
)

var platformEvents = []Description{
	{TableUnavailable, Warning, "table unavailable", "A table can't be read; what was read last stays in use and dispatch continues. A field gives the time since the last answer.", "Check the platform's table service if this persists."},
	{TableAvailable, Info, "table available", "A table can be read again; the fields give the length of the outage and the number of failed calls.", "None."},
	{InstanceRegistered, Info, "instance registered", "This instance wrote its row to the table.", "None."},
	{LeaseLapsed, Warning, "lease lapsed", "This instance could not renew its row in time because the table was unavailable or the process was paused. Its jobs continue.", "Check for a paused or overloaded machine if the table was available."},
	{LeaseRestored, Info, "lease restored", "This instance renewed its row after its lease had lapsed.", "None."},
	{RegistrationRemoved, Info, "registration removed", "This instance removed its row at its planned stop.", "None."},
	{RegistrationNotRemoved, Warning, "registration not removed", "This instance could not remove its row when it stopped; the row expires, or is replaced at the next start.", "None."},
	{ExpiredInstanceRemoved, Info, "expired instance removed", "The row of an instance that ended long ago was removed.", "None."},
	{BadInstanceRow, Fault, "bad instance row", "A row under instances/ is not valid and is ignored.", "Find out what else writes to the table, and remove the row."},
	{PeersChanged, Info, "peers changed", "The list of live instances changed.", "None."},
	{ChangeHistoryCompacted, Info, "change history compacted", "The store no longer has the requested changes; all rows are read again.", "None."},
	{RegistrationFailed, Warning, "registration failed", "This instance's row could not be written; the instance will retry.", "Check the platform's store if this repeats."},
	{ConfigurationAdopted, Info, "configuration adopted", "A higher revision of the configuration is in force at this instance.", "None."},
	{StoredConfigurationOutdated, Fault, "stored configuration outdated", "The table has a lower revision than the one in force at this instance, which stays in force.", "Find out who restored or rewrote the table."},
	{BadConfigurationRow, Fault, "bad configuration row", "The configuration's row is not valid; the last known revision stays in force.", "Find out what else writes to the table."},
	{ConfigurationUnavailable, Warning, "configuration unavailable", "The configuration can't be read from the table; the last known revision stays in force.", "Check the platform's table service if this persists."},
	{ConfigurationAvailable, Info, "configuration available", "The configuration can be read from the table again.", "None."},
	{ConfigurationInForce, Info, "configuration in force", "Requests are handled by a higher revision from now on; the fields give the revision that it replaced and the endpoint whose agent sent it, empty if it was read from the store.", "None."},
	{ConfigurationBehind, Warning, "configuration behind", "An agent has had a higher revision for a while than this entry, which has not read it from the store.", "Look for events 3001 and 3022 of this entry before it."},
	{NoteAccepted, Info, "release note accepted", "A release note was committed and takes effect at all instances within seconds.", "None."},
	{NoteRefused, Info, "release note refused", "A release note was invalid or conflicted with a later one; nothing changed.", "None; the answer to the operator gives the reasons."},
	{NoteOutcomeUnknown, Warning, "release note outcome unknown", "The table's answer to a release note was lost, and the table can't be read to determine the outcome.", "Publish the same note again: it is never applied twice."},
}
