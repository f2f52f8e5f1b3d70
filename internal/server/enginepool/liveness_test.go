package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A probed connection that stays silent is closed while attempts are in flight only if hedging is allowed: an engine
// behind a network partition does not detect the close and continues, so that a retry would be a second attempt in
// flight.
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
			p.sendAll()
			p.conn.lastReceived = time.Now().Add(-time.Minute)
			p.conn.suspectSince = time.Now().Add(-2 * livenessTimeout)
			p.checkLiveness()
			if p.conn.closed != tt.closed || (len(p.host.events) > 0) != tt.closed {
				t.Errorf("closed %v, want %v; events %v", p.conn.closed, tt.closed, p.host.events)
			}
			p.WithdrawAttempt(firstAttempt) // no effect, because the attempt has been sent
			if ended := len(p.inFlight) == 0; ended != tt.closed {
				t.Errorf("attempt ended: %v, want %v", ended, tt.closed)
			}
		})
	}
}

// A connection is probed only if a response is overdue and nothing was received for long. Otherwise each long query
// would cause probes to its engine.
func TestEvaluateLiveness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var never time.Time
	for name, tt := range map[string]struct {
		now, received, suspect time.Time
		overdue                time.Time
		want                   livenessChange
	}{
		"nothing in flight":                    {at(5000), at(0), never, never, livenessUnchanged},
		"silent, nothing overdue":              {at(1900), at(0), never, at(2000), livenessUnchanged},
		"silent and overdue":                   {at(2100), at(0), never, at(2000), livenessSuspected},
		"overdue, recently received":           {at(2100), at(1700), never, at(2000), livenessUnchanged},
		"overdue, silence above the threshold": {at(2100), at(1500), never, at(2000), livenessSuspected},
		"probed, response received":            {at(2200), at(2150), at(2100), at(2000), livenessConfirmed},
		"probed, no response before timeout":   {at(2300), at(0), at(2100), at(2000), livenessUnchanged},
		"probed, timed out":                    {at(2400), at(0), at(2100), at(2000), livenessLost},
		"probed, timed out, nothing in flight": {at(2400), at(0), at(2100), never, livenessLost},
	} {
		t.Run(name, func(t *testing.T) {
			state := livenessState{lastReceived: tt.received, suspectSince: tt.suspect, overdueAt: tt.overdue}
			if got := state.evaluate(tt.now, SilenceThreshold); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// The first overdue time of a connection is the earliest over its streams, of their start plus overdueAfter.
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
		t.Fatalf("without a stream in flight the first overdue time is %v, want zero", got)
	}
}
