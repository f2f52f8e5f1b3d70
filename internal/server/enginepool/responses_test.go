package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/broker"
	"wheatlane/internal/loadfields"
	"wheatlane/internal/resp"
)

// Attempts may be retried without risk only if the response implies that the query never ran. This holds for two
// response kinds only.
func TestStatusOf(t *testing.T) {
	for _, c := range []struct {
		kind string
		want control.Status
	}{
		{"BUSY", control.AtCapacity},
		{"VOID", control.NeverSent},
		{"ERR", control.Failed},
		{"UP", control.Failed},
		{"DOWN", control.Failed},
	} {
		t.Run(c.kind, func(t *testing.T) {
			response, err := resp.ParseResponse([][]byte{[]byte("id"), []byte(c.kind), []byte("-"), {}})
			if err != nil {
				t.Fatal(err)
			}
			if got := statusOf(response.Kind); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Each kind of response is translated into its event. A response for which no stream is waiting causes no event and is
// reported as a duplicate.
func TestEventsOfResponses(t *testing.T) {
	const probeID = 7
	for name, tt := range map[string]struct {
		response []string
		want     broker.Event // nil: a duplicate
	}{
		"load probe answered": {
			[]string{"p7", "UP", "l=util:0.5", ""},
			broker.ProbeResult{
				ProbeID: probeID, Status: control.OK,
				Report: loadreport.Report{Reported: true, Utilization: 0.5},
			},
		},
		"load probe answered as down": {
			[]string{"p7", "DOWN", "-", ""},
			broker.ProbeResult{ProbeID: probeID, Status: control.Failed},
		},
		"busy": {
			[]string{"1", "BUSY", "-", ""},
			broker.AttemptEnded{Attempt: firstAttempt, Status: control.AtCapacity},
		},
		"page": {
			[]string{"1", "ROWS", "sheet=3", "row"},
			broker.PageReceived{Attempt: firstAttempt, Number: 3, Body: []byte("row")},
		},
		"unknown id": {[]string{"2", "OK", "-", ""}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.config.LoadReport = loadfields.Layout{"util"}
			p.start(firstAttempt, "lookup", time.Second)
			p.StartProbe(broker.ProbeLoad{ProbeID: probeID, Engine: "e1", Addr: "a"})
			parts := make([][]byte, 0, len(tt.response))
			for _, part := range tt.response {
				parts = append(parts, []byte(part))
			}
			response, err := resp.ParseResponse(parts)
			if err != nil {
				t.Fatal(err)
			}
			p.handleResponses(p.conn, []resp.Response{response})
			var want []broker.Event
			var observed []string
			if tt.want != nil {
				want = []broker.Event{tt.want}
			} else {
				observed = []string{"duplicate response of e1"}
			}
			if diff := cmp.Diff(want, p.host.events); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(observed, p.host.observed); diff != "" {
				t.Error(diff)
			}
		})
	}
}
