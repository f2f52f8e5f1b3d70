package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
)

// Notifications that fakeHost records.
const (
	drainStarted       = "drain started"
	drainCompleted     = "drain completed, bytes sent after its start: false"
	drainCompletedLate = "drain completed, bytes sent after its start: true"
)

var drainCases = map[string]struct {
	act  func(p *idlePool)
	want []string
}{
	"nothing to send": {
		func(p *idlePool) { p.Drain("e1") },
		[]string{drainStarted, drainCompleted},
	},
	"no connection": {
		func(p *idlePool) { p.Drain("e2") },
		[]string{drainStarted, drainCompleted},
	},
	"bytes being written are sent": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			next := p.transport.NextBytes()
			p.Drain("e1")
			p.transport.MarkSent(len(next))
			(<-p.host.posted)()
		},
		[]string{drainStarted, drainCompletedLate},
	},
	"bytes being written are not sent yet": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.transport.NextBytes()
			p.Drain("e1")
		},
		[]string{drainStarted},
	},
	"connection closes": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.transport.NextBytes()
			p.Drain("e1")
			p.CloseConnections("e1", 0)
		},
		[]string{drainStarted, drainCompleted},
	},
	"drained twice": {
		func(p *idlePool) {
			p.Drain("e1")
			p.Drain("e1")
		},
		[]string{drainStarted, drainCompleted},
	},
	"used in between": {
		func(p *idlePool) {
			p.Drain("e1")
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
			p.Drain("e1")
		},
		[]string{drainStarted, drainCompleted, drainStarted, drainCompleted},
	},
}

// A drain lasts until the last bytes from before it are sent. Unsent bytes of a connection that closes are ignored, and
// a drain is measured once until its engine is used again.
func TestDrainIsMeasured(t *testing.T) {
	for name, tt := range drainCases {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			tt.act(p)
			if diff := cmp.Diff(tt.want, p.host.observed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An attempt whose message does not fit into the send queue ends with ConnectFailed, because nothing was sent. A
// command that does not fit ends the connection, because the engine would not receive it.
func TestFullSendQueueOfEngine(t *testing.T) {
	fill := func(p *idlePool) {
		for size := maxEngineSendBytes; size > 0; {
			if _, err := p.transport.Write(make([]byte, size)); err != nil {
				size /= 2
			}
		}
	}
	for name, tt := range map[string]struct {
		act    func(p *idlePool)
		status control.Status
		closed bool
	}{
		"attempt": {func(p *idlePool) {
			fill(p)
			p.start(firstAttempt, "lookup", time.Second)
		}, control.ConnectFailed, false},
		"command": {func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
			fill(p)
			p.FetchPage(broker.FetchPage{Attempt: firstAttempt, Page: 1})
		}, control.ConnectionReset, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			tt.act(p)
			want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: tt.status}}
			if diff := cmp.Diff(want, p.host.events); diff != "" {
				t.Error(diff)
			}
			if p.conn.closed != tt.closed {
				t.Errorf("closed %v, want %v", p.conn.closed, tt.closed)
			}
		})
	}
}

// An engine with the maximum number of connections, none of which accepts another stream, has no capacity.
func TestConnectionsOfOneEngineAreBounded(t *testing.T) {
	p := newIdlePool(t)
	p.conn.closing = true
	for len(p.connsByEngine["e1"]) < p.config.maxConnsPerEngine() {
		p.connsByEngine["e1"] = append(p.connsByEngine["e1"], p.conn)
	}
	p.start(firstAttempt, "lookup", time.Second)
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.AtCapacity}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Error(diff)
	}
}

var connectionEndCases = map[string]struct {
	act  func(p *idlePool)
	want []broker.Event
}{
	"attempt not sent": {
		func(p *idlePool) { p.start(firstAttempt, "lookup", time.Second) },
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}},
	},
	"attempt not sent because of a fault of this machine": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.conn.localFault = true
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.NeverSent}},
	},
	"attempt sent": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset}},
	},
	"two attempts sent": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.start(secondAttempt, "lookup", time.Second)
			p.sendAll()
		},
		[]broker.Event{
			broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
			broker.AttemptEnded{Attempt: secondAttempt, Status: control.ConnectionReset, SharedCause: true},
		},
	},
	"attempt cancelled": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
			p.CancelAttempt(firstAttempt)
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.Cancelled}},
	},
	"load probe sent before an attempt": {
		func(p *idlePool) {
			p.StartProbe(broker.ProbeLoad{ProbeID: 7, Engine: "e1", Addr: "a"})
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
		},
		[]broker.Event{
			broker.ProbeResult{ProbeID: 7, Status: control.ConnectionReset},
			broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
		},
	},
}

// When a connection ends, the status of each of its streams depends on whether the stream had been sent.
func TestStreamsOfEndedConnection(t *testing.T) {
	for name, tt := range connectionEndCases {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			tt.act(p)
			p.handleDisconnected(p.conn)
			p.handleDisconnected(p.conn) // has no effect
			if diff := cmp.Diff(tt.want, p.host.events); diff != "" {
				t.Error(diff)
			}
			if p.connCount != 0 || len(p.connsByEngine) != 0 || len(p.inFlight) != 0 {
				t.Errorf("%d connections and %d attempts remain, want none", p.connCount, len(p.inFlight))
			}
		})
	}
}

// A load probe without a response is removed from its connection, and its id is not reused there for a time.
func TestUnansweredProbeExpires(t *testing.T) {
	p := newIdlePool(t)
	p.config.MaxClientTimeout = time.Minute
	p.StartProbe(broker.ProbeLoad{ProbeID: 7, Engine: "e1", Addr: "a"})
	probe := p.conn.streams["p7"]
	p.sweepAt(time.Now())
	if p.conn.streams["p7"] == nil {
		t.Fatal("the probe expired immediately")
	}
	probe.startedAt = probe.startedAt.Add(-probeExpiry)
	p.sweepAt(time.Now())
	if len(p.conn.streams) != 0 || p.conn.accepts("p7", "a", 1) {
		t.Errorf("%d streams, want 0; id accepted again: %v, want false",
			len(p.conn.streams), p.conn.accepts("p7", "a", 1))
	}
	if !p.conn.accepts("p8", "a", 1) {
		t.Error("the connection accepts no other probe")
	}
}

// A suspected connection is used again after a response was received on it.
func TestSuspectedConnectionRecovers(t *testing.T) {
	p := newIdlePool(t)
	p.conn.suspectSince = time.Now().Add(-time.Millisecond)
	if p.conn.accepts("1", "a", 1) {
		t.Error("a suspected connection accepts a stream")
	}
	p.conn.lastReceived = time.Now()
	p.checkLiveness()
	if !p.conn.accepts("1", "a", 1) {
		t.Error("a connection that received a response accepts no stream")
	}
}

// A message expires after staleAfter, or when its attempt has waited for the maximum send delay. The message of a load
// probe never expires.
func TestMessageExpiry(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		stream  stream
		waited  time.Duration
		expires time.Duration // after the start; 0: never
	}{
		"new attempt":                        {stream{}, 0, staleAfter},
		"encoded again":                      {stream{}, 150 * time.Millisecond, 150*time.Millisecond + staleAfter},
		"encoded again, near maximum delay":  {stream{}, 250 * time.Millisecond, maxDelay},
		"new load probe":                     {stream{probeID: 1}, 0, 0},
		"waiting load probe":                 {stream{probeID: 1}, time.Minute, 0},
		"after maximum delay":                {stream{}, time.Second, maxDelay},
		"staleAfter ends with maximum delay": {stream{}, maxDelay - staleAfter, maxDelay},
	} {
		t.Run(name, func(t *testing.T) {
			var want time.Time
			if tt.expires > 0 {
				want = start.Add(tt.expires)
			}
			tt.stream.startedAt = start
			if got := tt.stream.expiresAt(start.Add(tt.waited), maxDelay); !got.Equal(want) {
				t.Errorf("expires at %v, want %v", got, want)
			}
		})
	}
}
