package enginepool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
)

const drainStarted, drainCompleted, drainCompletedLate = "started", "completed, some bytes left late: false",
	"completed, some bytes left late: true"

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
	"bytes on their way": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			next := p.transport.NextBytes()
			p.Drain("e1")
			p.transport.MarkSent(len(next))
			(<-p.host.posted)()
		},
		[]string{drainStarted, drainCompletedLate},
	},
	"bytes still on their way": {
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
	"listed twice": {
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

// The time of a drain is that of the last bytes from before it. What a connection that closes leaves unsent is not
// waited for, and a drain is measured once until its engine is used again.
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

// A message that does not fit into the send queue has not left. A command that does not fit ends the connection: the
// engine would miss it.
func TestFullSendQueueOfAnEngine(t *testing.T) {
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
				t.Errorf("closed %v", p.conn.closed)
			}
		})
	}
}

// An engine with as many connections as it may have, none of which takes more, has no capacity.
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

var endedStreams = map[string]struct {
	act  func(p *idlePool)
	want []broker.Event
}{
	"nothing of it has left": {
		func(p *idlePool) { p.start(firstAttempt, "lookup", time.Second) },
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}},
	},
	"nothing of it has left, for a fault of this machine": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.conn.localFault = true
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.NeverSent}},
	},
	"it has left": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset}},
	},
	"two have left": {
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
	"it was cancelled": {
		func(p *idlePool) {
			p.start(firstAttempt, "lookup", time.Second)
			p.sendAll()
			p.CancelAttempt(firstAttempt)
		},
		[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.Cancelled}},
	},
	"a load probe ahead of an attempt": {
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

// What the end of a connection proves of what was on it, by how far that had come.
func TestStreamsOfAnEndedConnection(t *testing.T) {
	for name, tt := range endedStreams {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			tt.act(p)
			p.disconnected(p.conn)
			p.disconnected(p.conn) // it ends once
			if diff := cmp.Diff(tt.want, p.host.events); diff != "" {
				t.Error(diff)
			}
			if p.connCount != 0 || len(p.connsByEngine) != 0 || len(p.inFlight) != 0 {
				t.Errorf("%d connections, %d attempts", p.connCount, len(p.inFlight))
			}
		})
	}
}

// A load probe without an answer leaves its connection, and its id is not used again there for a while.
func TestUnansweredProbeExpires(t *testing.T) {
	p := newIdlePool(t)
	p.config.MaxClientTimeout = time.Minute
	p.StartProbe(broker.ProbeLoad{ProbeID: 7, Engine: "e1", Addr: "a"})
	probe := p.conn.streams["p7"]
	p.sweepAt(time.Now())
	if p.conn.streams["p7"] == nil {
		t.Fatal("the probe expired at once")
	}
	probe.startedAt = probe.startedAt.Add(-probeExpiry)
	p.sweepAt(time.Now())
	if len(p.conn.streams) != 0 || p.conn.accepts("p7", "a", 1) {
		t.Errorf("%d streams, accepted %v", len(p.conn.streams), p.conn.accepts("p7", "a", 1))
	}
	if !p.conn.accepts("p8", "a", 1) {
		t.Error("the connection takes no other probe")
	}
}

// A suspected connection is used again once something came on it.
func TestSuspectedConnectionRecovers(t *testing.T) {
	p := newIdlePool(t)
	p.conn.suspectSince = time.Now().Add(-time.Millisecond)
	if p.conn.accepts("1", "a", 1) {
		t.Error("a suspected connection takes a stream")
	}
	p.conn.lastReceived = time.Now()
	p.checkLiveness()
	if !p.conn.accepts("1", "a", 1) {
		t.Error("a connection on which something came takes no stream")
	}
}

// A message may leave until it is stale, or until its attempt has waited for as long as it may. A load probe may leave
// at any time.
func TestExpiryOfAMessage(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		stream  stream
		waited  time.Duration
		expires time.Duration // after the start; 0: never
	}{
		"fresh":                     {stream{}, 0, staleAfter},
		"made anew":                 {stream{}, 150 * time.Millisecond, 150*time.Millisecond + staleAfter},
		"made anew, its time nigh":  {stream{}, 250 * time.Millisecond, maxDelay},
		"load probe, at any time":   {stream{probeID: 1}, 0, 0},
		"load probe that waits":     {stream{probeID: 1}, time.Minute, 0},
		"its time is over":          {stream{}, time.Second, maxDelay},
		"as long as it takes to go": {stream{}, maxDelay - staleAfter, maxDelay},
	} {
		t.Run(name, func(t *testing.T) {
			var want time.Time
			if tt.expires > 0 {
				want = start.Add(tt.expires)
			}
			tt.stream.startedAt = start
			if got := tt.stream.expiresAt(start.Add(tt.waited), maxDelay); !got.Equal(want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}
