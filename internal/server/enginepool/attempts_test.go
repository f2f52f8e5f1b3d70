package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
)

// A cancelled attempt that has been sent ends once its cancel command has been sent as well. Its id is not reused on
// the connection until the last client that may use it has timed out.
func TestCancelledAttemptEndsWhenCommandIsSent(t *testing.T) {
	p := newIdlePool(t)
	p.start(firstAttempt, "lookup", time.Second)
	p.sendAll()
	p.CancelAttempt(firstAttempt)
	p.CancelAttempt(firstAttempt) // has no effect
	if len(p.host.events) > 0 || len(p.host.posted) > 0 {
		t.Fatalf("ended before the command was sent: %v", p.host.events)
	}
	p.sendAll()
	p.host.runPosted("the end of the cancellation")
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.Cancelled}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Error(diff)
	}
	if p.conn.accepts("1", "a", testConfig.MaxStreams) {
		t.Error("the id is accepted again before MaxClientTimeout")
	}
	p.conn.expireRetiredIDs(time.Now().Add(testConfig.MaxClientTimeout + time.Second))
	if !p.conn.accepts("1", "a", testConfig.MaxStreams) {
		t.Error("the id is not accepted again after MaxClientTimeout")
	}
}

// When an attempt is cancelled, its connection is suspected if both the silence of the connection and the age of the
// attempt exceed the threshold.
func TestCancelSuspectsSilentConnection(t *testing.T) {
	const justLonger = SilenceThreshold + time.Millisecond
	for name, tt := range map[string]struct {
		silent, age time.Duration
		suspect     bool
	}{
		"silent, old attempt":   {justLonger, justLonger, true},
		"silent, young attempt": {justLonger, 0, false},
		"recently received":     {0, justLonger, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.start(firstAttempt, "lookup", time.Minute)
			p.sendAll()
			p.inFlight[firstAttempt].startedAt = time.Now().Add(-tt.age)
			p.conn.lastReceived = time.Now().Add(-tt.silent)
			p.CancelAttempt(firstAttempt)
			if suspect := !p.conn.suspectSince.IsZero(); suspect != tt.suspect {
				t.Errorf("suspected %v, want %v", suspect, tt.suspect)
			}
		})
	}
}

// An attempt that is sent with a timeout that exceeds the client's remaining time by more than the rules allow is
// reported. This can happen if the operating system delays the write after the message was taken from the queue.
func TestLateWriteIsReported(t *testing.T) {
	for name, tt := range map[string]struct {
		late time.Duration
		want []string
	}{
		"within the slack": {invariant.TimeoutSlack - 10*time.Millisecond, nil},
		"late":             {invariant.TimeoutSlack + 10*time.Millisecond, []string{"late write to e1"}},
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

// When an engine drains, a connection that is being dialed is closed, and the attempts that wait for it end.
func TestDrainClosesConnectionBeingDialed(t *testing.T) {
	p := newIdlePool(t)
	p.conn.transport = nil
	p.start(firstAttempt, "lookup", time.Second)
	p.Drain("e1")
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Error(diff)
	}
	if got := p.Stats().Connections; got != 0 {
		t.Errorf("%d connections are open, want 0", got)
	}
}

// At the limit of connections, the one that has been idle longest is closed for a new one.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	p := newIdlePool(t)
	p.config.MaxConns = 2
	young := newEngineConn("e2", "b")
	young.transport, young.cancel, young.lastUsed = p.transport, func(error) {}, time.Now().Add(time.Second)
	p.connsByEngine["e2"], p.connCount = []*engineConn{young}, 2
	if !p.ensureDialCapacity("e3") || !p.conn.closed || young.closed {
		t.Errorf("longest idle connection closed: %v, want true; the other closed: %v, want false",
			p.conn.closed, young.closed)
	}
}
