// Package wire is the codec of the line protocol between the simulator's bench and the instances of the
// decision module that an adapter hosts: Reader decodes batches of events, Writer encodes replies. It decides
// nothing.
package wire

// The names of the messages that come in.
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

// The names of the messages that go out.
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

// The names of the fields of messages. Those that end in Ns hold nanoseconds, those in Mb megabytes.
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

// textFields are the fields whose value extends to the end of its line, blanks included.
var textFields = map[string]bool{fieldSettings: true, fieldText: true}
