package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/control/loadreport"
)

const settingsJSON = `{"PeersTotal": 3, "Zone": "room-b", "RoundNs": 5000000, "Unknown": {"x": [1]},
 "MachineTypes": ["std-16"], "Discovery": "on_request", "OverShareWorth": 0.2,
 "Domain": {"ClassLoad": [false, true], "GrantCap": 0.4, "Grants": true, "KindMemoryMb": [32768.0],
 "Priorities": true, "ProgressPaceNs": 2000000000, "SaysCost": true, "SizeCores": [16], "WidthByClass": [1, 4],
 "YieldsToLoads": [true, false]},
 "Limits": {"Cancel": true, "MaxAttempts": 3, "MaxRetryAfterNs": 500000000, "Probing": true, "RetryAfter": true,
 "ParallelTries": true},
 "RequestClasses": [{"AimStretch": 1.5, "Effect": "repeatable", "GiveUpNs": 3000000000, "KeyScope": "all",
 "Name": "lookup", "PromiseNs": 600000000, "Worth": 1.0, "ByArrival": true, "AllowedIn": ["room-a"]},
 {"Effect": "by_key", "KeyScope": "cell", "Name": "load", "WindowNs": 25000000000, "Worth": 12.0, "LateWorth": 0.6,
 "AllowedOn": ["std-16"]}],
 "Rules": {"AskEveryNs": 10000000000, "ColdFrom": 0.39, "DrainGraceNs": 500000000, "FallMultiple": 2.5,
 "FallNs": 2000000000, "WarmAfterNs": 14000000000, "KeyRestNs": 7, "BudgetSpanNs": 8, "FurtherRatio": 0.5,
 "ExtraFree": 9},
 "Stats": {"Fields": ["util", "x1"], "Source": "piggyback"},
 "Tenants": [{"Name": "alpen-linie", "QuotaPerS": 71.0, "Share": 0.32}]}`

// everyMessage is a batch that contains every incoming message.
var everyMessage = "CLOCK SimTimeNs=8412250000\nSWITCH_TO Who=3\nCREATE RngSeed=18446744073709551615 ProfileData=" +
	strings.ReplaceAll(settingsJSON, "\n", " ") + `
SHEET Sheet=0 Members=2
ROW Executor=10.18.74.7:11203 FailureDomain=room-a FamilyType=std-16 UnitGroup=4 Availability=on Weight=1 New=1
ROW Executor=b:1 FailureDomain=room-b FamilyType=std-16 UnitGroup=0 Availability=fading StartedAtNs=6100000000
DISCOVERY Sheet=0 Epoch=41 Kind=cached
SHEET Sheet=0 Members=1
ROW Executor=b:1 Availability=off
DISCOVERY Sheet=0 Epoch=42 Kind=delta
DISCOVERY Epoch=42 Kind=failed
INGRESS Rid=rq_b Key=91f03b7c55d20a64 RamMb=384.5 TableGroup=11 Profile=lookup Project=alpen DropDeadNs=9 PlanCostNs=12
INGRESS Rid=rq_c Profile=lookup Project=0 DropDeadNs=9
CANCELLED_BY_CLIENT Rid=rq_a
FLOWING Rid=rq_b RoundNo=0 WaitTimeNs=9 Executor=b:1
UPDATE_OF Rid=rq_b RoundNo=1 Executor=b:1 Topic=1 Value=0.5
NEIGHBOUR_SAYS SrcPeer=2 Octets=68692037
CHECK_RESULT Executor=b:1 Reason=completed WaitTimeNs=14 Telemetry=0.62,3
ANSWER Rid=rq_b Reason=completed Stats=69728 WaitTimeNs=185 RoundNo=2 Executor=b:1 Last=1 Telemetry=0.62,3,1.25,0.4
WAKE Mark=77
SWITCH_TO Who=5
CRASH_NOW
GO
`

// everyEvent lists the events of everyMessage between the creation and the crash. Its gossip datagram is ignored, as
// it comes from another program.
var everyEvent = []control.Event{
	control.EndpointUpdate{Kind: control.EndpointSnapshot, Engines: []control.Engine{
		{ID: "10.18.74.7:11203", Zone: "room-a", Kind: "std-16", Cell: 4},
		{ID: "b:1", Zone: "room-b", Kind: "std-16", State: control.Draining, StartedAt: 6100000000},
	}},
	control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{
		{ID: "b:1", State: control.Removed},
	}},
	control.EndpointUpdate{Kind: control.EndpointWatchFailed},
	control.RequestReceived{Request: control.Request{
		ID: "rq_b", Class: "lookup", Tenant: "alpen", OrderKey: "91f03b7c55d20a64", DataSet: 11, Deadline: 9,
		EstimatedWork: 12, EstimatedMemoryMB: 384.5,
	}},
	control.RequestReceived{Request: control.Request{ID: "rq_c", Class: "lookup", Deadline: 9}},
	control.ClientDisconnected{RequestID: "rq_a"},
	control.ResponseStarted{RequestID: "rq_b"},
	control.AttemptProgress{
		RequestID: "rq_b", Number: 1, Engine: "b:1", Kind: control.ProgressFraction, Value: 0.5,
	},
	control.ProbeResult{Engine: "b:1", Duration: 14, Report: loadreport.Report{Reported: true, Utilization: 3}},
	control.AttemptEnded{
		RequestID: "rq_b", Number: 2, Engine: "b:1", Duration: 185, RequestClosed: true,
		Work: 17 * time.Millisecond, MemoryMB: 384, // no report, as its values do not match the layout in the settings
	},
	control.TimerFired{Token: 77},
}

// readBatch decodes the first batch of a text.
func readBatch(text string) (Batch, error) { return NewReader(strings.NewReader(text)).Read() }

func TestReadEveryEvent(t *testing.T) {
	batch, err := readBatch(everyMessage)
	if err != nil {
		t.Fatal(err)
	}
	if batch.Now != 8412250000 {
		t.Fatalf("got clock %v, want 8.41225s", batch.Now)
	}
	if len(batch.Inputs) != len(everyEvent)+2 {
		t.Fatalf("got %d inputs, want %d", len(batch.Inputs), len(everyEvent)+2)
	}
	for i, want := range everyEvent {
		input := batch.Inputs[i+1]
		if diff := cmp.Diff(want, input.Event); diff != "" || input.Instance != 3 {
			t.Errorf("event %d of instance %d: %s", i, input.Instance, diff)
		}
	}
	if last := batch.Inputs[len(batch.Inputs)-1]; last.Instance != 5 || !last.Crash {
		t.Errorf("last input is %+v, want the crash of instance 5", last)
	}
}

func TestReadCreate(t *testing.T) {
	batch, err := readBatch(everyMessage)
	if err != nil {
		t.Fatal(err)
	}
	create := batch.Inputs[0].Create
	if create == nil || create.Seed != 1<<64-1 || batch.Inputs[0].Instance != 3 {
		t.Fatalf("got input %+v, want the creation of instance 3 with the largest seed", batch.Inputs[0])
	}
	settings := create.Settings
	lookup, load := settings.Classes[0], settings.Classes[1]
	if lookup.LatencyObjective != 600*time.Millisecond || !lookup.Ordered ||
		lookup.AllowedZones[0] != "room-a" || !lookup.BlockedByDataSetLock {
		t.Errorf("got class lookup %+v, want objective 600ms, ordered, allowed in room-a, blocked by data-set locks", lookup)
	}
	if load.Idempotency.Kind != idempotency.IdempotentWithKey || load.Idempotency.DedupScope != idempotency.ScopeCell ||
		load.Threads != 4 || !load.HoldsDataSetLock || load.AllowedKinds[0] != "std-16" {
		t.Errorf("got class load %+v, want key with scope cell, 4 threads, a data-set lock, allowed on std-16", load)
	}
	if kind := settings.EngineKinds["std-16"]; !settings.WatchEndpointList ||
		kind != (control.EngineKind{Cores: 16, MemoryMB: 32768}) {
		t.Errorf("got settings %+v, want a watched endpoint list and std-16 with 16 cores, 32768 MB", settings)
	}
	wantRules := control.Rules{
		MaxPollInterval: 10 * time.Second, SlowStartInitial: 0.39, SlowStartDuration: 14 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second, KeyCooldown: 7,
		RetryBudgetWindow: 8, RetryBudgetRatio: 0.5, RetryBudgetReserve: 9,
	}
	if diff := cmp.Diff(wantRules, settings.Rules); diff != "" {
		t.Error(diff)
	}
	wantLimits := control.Limits{
		MaxAttempts: 3, MaxRetryAfter: 500 * time.Millisecond, RetryAfter: true, Cancellation: true, Hedging: true,
		LoadProbes: true,
	}
	if diff := cmp.Diff(wantLimits, settings.Limits); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedInputErrorIncludesLineNumber(t *testing.T) {
	const begun = "CLOCK SimTimeNs=1\nSWITCH_TO Who=1\n"
	for name, c := range map[string]struct{ text, want string }{
		"no clock":        {"GO\n", "line 1: expected CLOCK"},
		"time missing":    {"CLOCK\nGO\n", "SimTimeNs is missing"},
		"invalid time":    {"CLOCK SimTimeNs=x\nGO\n", "not a whole number"},
		"unended batch":   {"CLOCK SimTimeNs=1\n", "GO is missing"},
		"truncated line":  {"CLOCK SimTimeNs=1\nGO", "lacks a line feed"},
		"unknown message": {"CLOCK SimTimeNs=1\nHELLO A=1\n", "line 2: unknown message"},
		"no instance":     {"CLOCK SimTimeNs=1\nWAKE Mark=1\n", "before any SWITCH_TO"},
		"no field value":  {begun + "WAKE Mark\n", "not a name=value pair"},
		"unknown list":    {begun + "DISCOVERY Sheet=4 Kind=full\n", "no SHEET 4"},
		"unknown status":  {begun + "ANSWER Rid=a Reason=odd\n", "unknown Reason"},
		"no request id":   {begun + "INGRESS Profile=a DropDeadNs=1\n", "Rid is missing"},
		"truncated list":  {"CLOCK SimTimeNs=1\nSHEET Sheet=0 Members=1\nGO\n", "expected ROW"},
		"unknown state": {
			"CLOCK SimTimeNs=1\nSHEET Sheet=0 Members=1\nROW Executor=a Availability=maybe\n",
			"unknown Availability",
		},
		"datagram not hex":  {begun + "NEIGHBOUR_SAYS SrcPeer=1 Octets=7\n", "Octets"},
		"settings not JSON": {begun + "CREATE RngSeed=1 ProfileData={\n", "settings"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := readBatch(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// TestReadGossip guards against gossip of another program being delivered as an event: its datagrams are ignored.
func TestReadGossip(t *testing.T) {
	for name, c := range map[string]struct {
		message string
		want    []control.Event
	}{
		"from a broker": {"NEIGHBOUR_SAYS SrcPeer=4 Octets=77010a0b0c0d3202\n", []control.Event{control.GossipReceived{
			Broker:  4,
			Reports: []control.GossipedLoad{{Engine: 0x0a0b0c0d, Load: 0.5, Age: 40 * time.Millisecond}},
		}}},
		"from another program": {"NEIGHBOUR_SAYS SrcPeer=4 Octets=68692037\n", []control.Event{}},
	} {
		t.Run(name, func(t *testing.T) {
			batch, err := readBatch("CLOCK SimTimeNs=1\nSWITCH_TO Who=1\n" + c.message + "GO\n")
			if err != nil {
				t.Fatal(err)
			}
			got := make([]control.Event, 0, len(batch.Inputs))
			for _, input := range batch.Inputs {
				got = append(got, input.Event)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReadEndOfInput(t *testing.T) {
	if _, err := readBatch(""); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: got error %v, want %v", err, io.EOF)
	}
}
