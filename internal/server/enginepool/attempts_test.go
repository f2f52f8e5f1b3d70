package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
)

// A cancelled attempt that has left ends once its cancellation has left as well. Its id is not used on the connection
// until the last client that may know it has timed out.
func TestCancelledAttemptEndsOnceTheCommandHasLeft(t *testing.T) {
	p := newIdlePool(t)
	p.start(firstAttempt, "lookup", time.Second)
	p.sendAll()
	p.CancelAttempt(firstAttempt)
	p.CancelAttempt(firstAttempt) // it is cancelled once
	if len(p.host.events) > 0 || len(p.host.posted) > 0 {
		t.Fatalf("it ended at once: %v", p.host.events)
	}
	p.sendAll()
	p.host.runPosted("the end of the cancellation")
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.Cancelled}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Error(diff)
	}
	if p.conn.accepts("1", "a", testConfig.MaxStreams) {
		t.Error("its id can be used again at once")
	}
	p.conn.expireRetiredIDs(time.Now().Add(testConfig.MaxClientTimeout + time.Second))
	if !p.conn.accepts("1", "a", testConfig.MaxStreams) {
		t.Error("its id can't be used again at all")
	}
}

// A connection that was silent as long as a cancelled attempt is old is suspect.
func TestCancelOnASilentConnection(t *testing.T) {
	const justLonger = SilenceThreshold + time.Millisecond
	for name, tt := range map[string]struct {
		silent, age time.Duration
		suspect     bool
	}{
		"silent, old attempt":   {justLonger, justLonger, true},
		"silent, young attempt": {justLonger, 0, false},
		"received lately":       {0, justLonger, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.start(firstAttempt, "lookup", time.Minute)
			p.sendAll()
			p.inFlight[firstAttempt].startedAt = time.Now().Add(-tt.age)
			p.conn.lastReceived = time.Now().Add(-tt.silent)
			p.CancelAttempt(firstAttempt)
			if suspect := !p.conn.suspectSince.IsZero(); suspect != tt.suspect {
				t.Errorf("suspect %v", suspect)
			}
		})
	}
}

// An attempt whose message leaves with a timeout that is longer than the client's by more than the rules allow is
// reported; the system may take its time between the look at the queue and the write.
func TestLateWriteIsReported(t *testing.T) {
	for name, tt := range map[string]struct {
		late time.Duration
		want []string
	}{
		"just in time": {invariant.TimeoutSlack - 10*time.Millisecond, nil},
		"late":         {invariant.TimeoutSlack + 10*time.Millisecond, []string{"late write to e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			begin := time.Now()
			p.clock = func() time.Time { return begin }
			p.start(firstAttempt, "lookup", time.Minute)
			next := p.transport.NextBytes()
			p.clock = func() time.Time { return p.inFlight[firstAttempt].startedAt.Add(tt.late) }
			p.transport.MarkSent(len(next))
			p.CheckConnections()
			if diff := cmp.Diff(tt.want, p.host.observed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A load probe or an attempt that waits for its connection is withdrawn with the connection as its engine drains.
func TestDrainClosesWhatIsBeingDialled(t *testing.T) {
	p := newIdlePool(t)
	p.conn.transport = nil
	p.start(firstAttempt, "lookup", time.Second)
	p.Drain("e1")
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Error(diff)
	}
	if got := p.Stats().Connections; got != 0 {
		t.Errorf("%d connections", got)
	}
}

// Of all idle connections the one that was used longest ago is closed for another one.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	p := newIdlePool(t)
	p.config.MaxConns = 2
	young := newEngineConn("e2", "b")
	young.transport, young.cancel, young.lastUsed = p.transport, func(error) {}, time.Now().Add(time.Second)
	p.connsByEngine["e2"], p.connCount = []*engineConn{young}, 2
	if !p.mayDial("e3") || !p.conn.closed || young.closed {
		t.Errorf("the one idle longest is closed: %v, the other: %v", p.conn.closed, young.closed)
	}
}
