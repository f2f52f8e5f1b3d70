package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A connection that was probed and is silent is closed with attempts in flight only where hedging is
// allowed: an engine that is cut off does not see the close and goes on, so that a retry would be a second
// attempt in flight.
func TestSilentConnectionClosesOnlyWithHedging(t *testing.T) {
	for name, tt := range map[string]struct{ probes, hedging, closed bool }{
		"probes and hedging": {true, true, true},
		"probes":             {true, false, false},
		"hedging":            {false, true, false},
		"neither":            {false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.config.LoadProbes, p.config.Hedging = tt.probes, tt.hedging
			p.start(firstAttempt, "lookup", time.Minute)
			p.sendAll() // all of it has left
			p.conn.lastReceived = time.Now().Add(-time.Minute)
			p.conn.suspectSince = time.Now().Add(-2 * livenessTimeout)
			p.checkLiveness()
			if p.conn.closed != tt.closed || (len(p.host.events) > 0) != tt.closed {
				t.Errorf("closed %v, events %v", p.conn.closed, p.host.events)
			}
			p.WithdrawAttempt(firstAttempt) // it has left, so it stays in flight
			if over := len(p.inFlight) == 0; over != tt.closed {
				t.Errorf("the attempt is over: %v", over)
			}
		})
	}
}

// A connection is probed only once an answer on it is overdue and nothing came for long: a long query costs
// its engine no probe before its answer is due.
func TestJudgeLiveness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var never time.Time
	for name, tt := range map[string]struct {
		now, received, suspect time.Time
		overdue                time.Time
		want                   livenessVerdict
	}{
		"nothing in flight":                  {at(5000), at(0), never, never, livenessUnchanged},
		"silent, nothing overdue":            {at(1900), at(0), never, at(2000), livenessUnchanged},
		"silent and overdue":                 {at(2100), at(0), never, at(2000), livenessSuspected},
		"overdue, received lately":           {at(2100), at(1700), never, at(2000), livenessUnchanged},
		"overdue, silent just long enough":   {at(2100), at(1500), never, at(2000), livenessSuspected},
		"probed, and something came":         {at(2200), at(2150), at(2100), at(2000), livenessConfirmed},
		"probed, nothing yet":                {at(2300), at(0), at(2100), at(2000), livenessUnchanged},
		"probed, nothing in time":            {at(2400), at(0), at(2100), at(2000), livenessLost},
		"probed, nothing in flight any more": {at(2400), at(0), at(2100), never, livenessLost},
	} {
		t.Run(name, func(t *testing.T) {
			known := liveness{lastReceived: tt.received, suspectSince: tt.suspect, overdueAt: tt.overdue}
			if got := known.judge(tt.now, SilenceThreshold); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// The first answer due on a connection is the earliest of its streams, each waited for at least as long as
// the silence that makes a connection suspect.
func TestFirstOverdueAt(t *testing.T) {
	start := time.Unix(1000, 0)
	c := &engineConn{streams: map[string]*stream{
		"a": {startedAt: start, overdueAfter: 3 * time.Second},
		"b": {startedAt: start.Add(time.Second), overdueAfter: SilenceThreshold},
	}}
	if diff := cmp.Diff(start.Add(time.Second+SilenceThreshold), c.firstOverdueAt()); diff != "" {
		t.Fatal(diff)
	}
	if got := (&engineConn{}).firstOverdueAt(); !got.IsZero() {
		t.Fatalf("nothing is in flight, and due at %v", got)
	}
}
