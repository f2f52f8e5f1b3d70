// Package wire implements the line protocol between a simulator and the instances of the decision module that an
// adapter hosts: Reader decodes batches of events, and Writer encodes replies. It makes no decisions.
package wire

// Names of incoming messages.
const (
	messageClock              = "CLOCK"
	messageInstance           = "SWITCH_TO"
	messageEndBatch           = "GO"
	messageEndpointList       = "SHEET"
	messageEndpoint           = "ROW"
	messageCreate             = "CREATE"
	messageCrash              = "CRASH_NOW"
	messageEndpointUpdate     = "DISCOVERY"
	messageRequestReceived    = "INGRESS"
	messageClientDisconnected = "CANCELLED_BY_CLIENT"
	messageResponseStarted    = "FLOWING"
	messageAttemptProgress    = "UPDATE_OF"
	messageGossipReceived     = "NEIGHBOUR_SAYS"
	messageProbeResult        = "CHECK_RESULT"
	messageAttemptEnded       = "ANSWER"
	messageTimerFired         = "WAKE"
)

// Names of outgoing messages.
const (
	messageReplyOf           = "AS"
	messageInternalError     = "INTERNAL_ERROR"
	messageEndReply          = "OK"
	messageSendAttempt       = "DELIVER"
	messageReject            = "SHED"
	messageFail              = "REPORT_FAILURE"
	messageCancelAttempt     = "ABORT_ATTEMPT"
	messageSetAttemptOptions = "EQUIP"
	messageSetTimer          = "TIMER"
	messageProbeLoad         = "SAMPLE"
	messageSendGossip        = "SHARE"
	messageWatchEndpoints    = "TRACK"
	messageLog               = "NOTE_DOWN"
)

// Names of message fields. Fields whose names end in Ns are in nanoseconds, those in Mb in megabytes.
const (
	fieldNow             = "SimTimeNs"
	fieldInstance        = "Who"
	fieldSeed            = "RngSeed"
	fieldSettings        = "ProfileData"
	fieldText            = "What"
	fieldListMembers     = "Members"
	fieldListNumber      = "Sheet"
	fieldUpdateKind      = "Kind"
	fieldEngine          = "Executor"
	fieldZone            = "FailureDomain"
	fieldEngineKind      = "FamilyType"
	fieldCell            = "UnitGroup"
	fieldEngineState     = "Availability"
	fieldStartedAt       = "StartedAtNs"
	fieldRequestID       = "Rid"
	fieldClass           = "Profile"
	fieldTenant          = "Project"
	fieldOrderKey        = "Key"
	fieldDataSet         = "TableGroup"
	fieldDeadline        = "DropDeadNs"
	fieldEstimatedWork   = "PlanCostNs"
	fieldEstimatedMemory = "RamMb"
	fieldAttempt         = "RoundNo"
	fieldProgressKind    = "Topic"
	fieldProgressValue   = "Value"
	fieldFromBroker      = "SrcPeer"
	fieldToBroker        = "Dest"
	fieldDatagram        = "Octets"
	fieldStatus          = "Reason"
	fieldDuration        = "WaitTimeNs"
	fieldReport          = "Telemetry"
	fieldRequestClosed   = "Last"
	fieldCost            = "Stats"
	fieldTimerToken      = "Mark"
	fieldTimeout         = "CapNs"
	fieldRetryAfter      = "RetryInNs"
	fieldGrant           = "AllotMb"
	fieldPriority        = "Priority"
	fieldTimerAfter      = "AfterNs"
	fieldWatch           = "Enable"
)

// textFields is the set of fields whose value extends to the end of the line, including spaces.
var textFields = map[string]bool{fieldSettings: true, fieldText: true}
