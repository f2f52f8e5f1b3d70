package wire

import (
	"strings"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/outlier"
)

func TestWriteEveryAction(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.BeginInstance(3)
	for _, action := range []control.Action{
		control.SendAttempt{RequestID: "q", Engine: "e:1", Timeout: 80},
		control.SendAttempt{RequestID: "q", Engine: "e:1"},
		control.Reject{RequestID: "q", RetryAfter: 5},
		control.Reject{RequestID: "q"},
		control.Fail{RequestID: "q"},
		control.CancelAttempt{RequestID: "q", Number: 2},
		control.SetAttemptOptions{RequestID: "q", GrantMB: 640, Priority: 2},
		control.SetTimer{After: 500, Token: 77},
		control.ProbeLoad{Engine: "e:1"},
		control.SendGossip{Broker: 2, Reports: []control.GossipedLoad{
			{Engine: 0x0a0b0c0d, Load: 0.5, Age: 40 * time.Millisecond},
		}},
		control.WatchEndpoints{},
		control.EngineEjected{Engine: "e\n1", Reason: outlier.Silent},
		control.EngineRestored{Engine: "e:1"},
	} {
		w.Action(action)
	}
	w.InternalError("it\nbroke")
	if err := w.EndReply(); err != nil {
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
NOTE_DOWN What=engine e 1 is ejected: silent
NOTE_DOWN What=engine e:1 is restored
INTERNAL_ERROR What=it broke
OK
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
