package wire

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
)

const profileJSON = `{"PeersTotal": 3, "Zone": "room-b", "RoundNs": 5000000, "Unknown": {"x": [1]},
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

func read(t *testing.T, text string) Batch {
	t.Helper()
	b, err := NewReader(strings.NewReader(text)).Read()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestEveryEventIsRead(t *testing.T) {
	b := read(t, "CLOCK SimTimeNs=8412250000\nSWITCH_TO Who=3\nCREATE RngSeed=18446744073709551615 ProfileData="+
		strings.ReplaceAll(profileJSON, "\n", " ")+`
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
`)
	if b.Now != 8412250000 {
		t.Fatalf("clock %v", b.Now)
	}
	c := b.Items[0].Create
	if c == nil || c.Seed != 1<<64-1 || b.Items[0].Who != 3 {
		t.Fatalf("create %+v", b.Items[0])
	}
	lookup, load := c.Settings.Classes[0], c.Settings.Classes[1]
	if lookup.LatencyObjective != 600*time.Millisecond || !lookup.Ordered || lookup.AllowedZones[0] != "room-a" || !lookup.BlockedByDataSetLock ||
		load.Idempotency != control.IdempotentWithKey || load.DedupScope != control.DedupScopeCell || load.Threads != 4 || !load.HoldsDataSetLock ||
		load.AllowedKinds[0] != "std-16" {
		t.Errorf("classes %+v", c.Settings.Classes)
	}
	if s := c.Settings; !s.PollEndpointList || s.EngineKinds["std-16"] != (control.EngineKind{Cores: 16, MemoryMB: 32768}) ||
		s.Rules != (control.Rules{MaxPollInterval: 10 * time.Second, SlowStartInitial: 0.39,
			SlowStartDuration: 14 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second, KeyCooldown: 7, RetryBudgetWindow: 8,
			RetryBudgetRatio: 0.5, RetryBudgetReserve: 9}) || s.Limits != (control.Limits{MaxAttempts: 3,
		MaxRetryAfter: 500 * time.Millisecond, RetryAfter: true, Cancellation: true, Hedging: true, LoadProbes: true}) {
		t.Errorf("settings %+v", s)
	}
	want := []control.Event{
		control.EndpointUpdate{Kind: control.EndpointSnapshot, Engines: []control.Engine{
			{ID: "10.18.74.7:11203", Zone: "room-a", Kind: "std-16", Cell: 4},
			{ID: "b:1", Zone: "room-b", Kind: "std-16", State: control.Draining, StartedAt: 6100000000}}},
		control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{{ID: "b:1", State: control.Removed}}},
		control.EndpointUpdate{Kind: control.EndpointPollFailed},
		control.RequestReceived{Request: control.Request{ID: "rq_b", Class: "lookup", Tenant: "alpen", OrderKey: "91f03b7c55d20a64",
			DataSet: 11, Deadline: 9, EstimatedWork: 12, EstimatedMemoryMB: 384.5}},
		control.RequestReceived{Request: control.Request{ID: "rq_c", Class: "lookup", Deadline: 9}},
		control.ClientDisconnected{RequestID: "rq_a"},
		control.ResponseStarted{RequestID: "rq_b"},
		control.AttemptProgress{RequestID: "rq_b", Number: 1, Engine: "b:1", Kind: control.ProgressFraction, Value: 0.5},
		control.ProbeResult{Engine: "b:1", Duration: 14, Report: []float64{0.62, 3}},
		control.AttemptEnded{RequestID: "rq_b", Number: 2, Engine: "b:1", Duration: 185, RequestClosed: true, Work: 17 * time.Millisecond,
			MemoryMB: 384, Report: []float64{0.62, 3, 1.25, 0.4}},
		control.TimerFired{Token: 77},
	}
	for i, w := range want {
		if got := b.Items[i+1].Event; !reflect.DeepEqual(got, w) {
			t.Errorf("event %d: got %+v, want %+v", i, got, w)
		}
	}
	if last := b.Items[len(b.Items)-1]; len(b.Items) != len(want)+2 || last.Who != 5 || !last.Crash {
		t.Errorf("%d items, last %+v", len(b.Items), last)
	}
}

func TestMalformedInputIsToldWithItsLine(t *testing.T) {
	for text, part := range map[string]string{
		"GO\n":                             "line 1: expected CLOCK",
		"CLOCK\nGO\n":                      "SimTimeNs is missing",
		"CLOCK SimTimeNs=x\nGO\n":          "not a whole number",
		"CLOCK SimTimeNs=1\n":              "GO is missing",
		"CLOCK SimTimeNs=1\nGO":            "has no end",
		"CLOCK SimTimeNs=1\nHELLO A=1\n":   "line 2: unknown message",
		"CLOCK SimTimeNs=1\nWAKE Mark=1\n": "before any SWITCH_TO",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nWAKE Mark\n":                                 "not a name=value pair",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nDISCOVERY Sheet=4 Kind=full\n":               "no SHEET 4",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nANSWER Rid=a Reason=odd\n":                   "unknown Reason",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nINGRESS Profile=a DropDeadNs=1\n":            "Rid is missing",
		"CLOCK SimTimeNs=1\nSHEET Sheet=0 Members=1\nGO\n":                                "expected ROW",
		"CLOCK SimTimeNs=1\nSHEET Sheet=0 Members=1\nROW Executor=a Availability=maybe\n": "unknown Availability",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nNEIGHBOUR_SAYS SrcPeer=1 Octets=7\n":         "Octets",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=1\nCREATE RngSeed=1 ProfileData={\n":            "settings",
	} {
		_, err := NewReader(strings.NewReader(text)).Read()
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q: got %v, want %q", text, err, part)
		}
	}
	for text, want := range map[string][]control.Event{ // what another program says to its own is passed over
		"NEIGHBOUR_SAYS SrcPeer=4 Octets=77010a0b0c0d3202\n": {control.GossipReceived{Broker: 4,
			Reports: []control.LoadReport{{Engine: 0x0a0b0c0d, Load: 0.5, Age: 40 * time.Millisecond}}}},
		"NEIGHBOUR_SAYS SrcPeer=4 Octets=68692037\n": nil,
	} {
		b, err := NewReader(strings.NewReader("CLOCK SimTimeNs=1\nSWITCH_TO Who=1\n" + text + "GO\n")).Read()
		var got []control.Event
		for _, it := range b.Items {
			got = append(got, it.Event)
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, %v", text, got, err)
		}
	}
	if _, err := NewReader(strings.NewReader("")).Read(); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func TestEveryActionIsWritten(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.As(3)
	for _, a := range []control.Action{control.SendAttempt{RequestID: "q", Engine: "e:1", Timeout: 80},
		control.SendAttempt{RequestID: "q", Engine: "e:1"}, control.Reject{RequestID: "q", RetryAfter: 5}, control.Reject{RequestID: "q"},
		control.Fail{RequestID: "q"}, control.CancelAttempt{RequestID: "q", Number: 2},
		control.SetAttemptOptions{RequestID: "q", GrantMB: 640, Priority: 2}, control.SetTimer{After: 500, Token: 77},
		control.ProbeLoad{Engine: "e:1"}, control.SendGossip{Broker: 2, Reports: []control.LoadReport{{Engine: 0x0a0b0c0d, Load: 0.5,
			Age: 40 * time.Millisecond}}}, control.WatchEndpoints{}, control.Log{Text: "a\nb"}} {
		w.Action(a)
	}
	w.InternalError("it\nbroke")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `AS Who=3
DELIVER Rid=q Executor=e:1 CapNs=80
DELIVER Rid=q Executor=e:1
SHED Rid=q RetryInNs=5
SHED Rid=q
REPORT_FAILURE Rid=q
ABORT_ATTEMPT Rid=q RoundNo=2
EQUIP Rid=q AllotMb=640 Priority=2
TIMER AfterNs=500 Mark=77
SAMPLE Executor=e:1
SHARE Dest=2 Octets=77010a0b0c0d3202
TRACK Enable=1
NOTE_DOWN What=a b
INTERNAL_ERROR What=it broke
OK
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
