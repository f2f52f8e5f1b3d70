package enginepool

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/resp"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

// sentCommands ends a connection and returns what leaves on it, as command and request id.
func sentCommands(t *testing.T, p *idlePool) (commands []string) {
	t.Helper()
	p.transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown})
	p.run(t)
	sent, err := io.ReadAll(p.far)
	if err != nil {
		t.Fatal(err)
	}
	for len(sent) > 0 {
		parts, size, err := resp.Parse(sent)
		if err != nil || size == 0 {
			t.Fatalf("the engine can't parse %q", sent)
		}
		commands = append(commands, string(parts[0])+" "+string(parts[1]))
		sent = sent[size:]
	}
	return commands
}

// What waits behind other bytes on its way to an engine is withdrawn, with its later commands, when its
// client has left, it is cancelled, or its engine drains; its neighbours leave.
func TestUnsentAttemptsAreWithdrawn(t *testing.T) {
	neverSent := func(id broker.AttemptID) broker.Event {
		return broker.AttemptEnded{Attempt: id, Status: control.NeverSent}
	}
	for name, tt := range map[string]struct {
		act    func(p *idlePool)
		sent   []string
		events []broker.Event
	}{
		"client left": {
			func(p *idlePool) { p.WithdrawAttempt(firstAttempt) },
			[]string{"want 2"},
			[]broker.Event{neverSent(firstAttempt)},
		},
		"cancelled": {
			func(p *idlePool) { p.CancelAttempt(firstAttempt) },
			[]string{"want 2"},
			[]broker.Event{neverSent(firstAttempt)},
		},
		"engine drains": {
			func(p *idlePool) { p.Drain("e1") },
			nil,
			[]broker.Event{neverSent(firstAttempt), neverSent(secondAttempt)},
		},
		"another engine drains": {
			func(p *idlePool) { p.Drain("e2") },
			[]string{"want 1", "want 2", "hurry 1"},
			nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.start(firstAttempt, "lookup", time.Second)
			p.start(secondAttempt, "lookup", time.Second)
			p.SetPriority(broker.SetPriority{Attempt: firstAttempt, Priority: 3})
			tt.act(p)
			if diff := cmp.Diff(tt.sent, sentCommands(t, p)); diff != "" {
				t.Errorf("sent: %s", diff)
			}
			if diff := cmp.Diff(tt.events, p.host.events); diff != "" {
				t.Errorf("events of the reducer: %s", diff)
			}
		})
	}
}

// With no idle connection to evict, an attempt never leaves, which is no evidence against its engine.
func TestNoCapacityForAnotherConnection(t *testing.T) {
	p := newIdlePool(t)
	p.start(firstAttempt, "lookup", time.Second)
	p.connCount = testSockets
	p.StartAttempt(broker.StartAttempt{
		Attempt: secondAttempt, Engine: "e2", Addr: "b", RequestID: "2", Class: "lookup",
		Timeout: time.Second, Priority: 1,
	})
	want := []broker.Event{broker.AttemptEnded{Attempt: secondAttempt, Status: control.AtCapacity}}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Fatalf("events of the reducer: %s", diff)
	}
}

// A connection is closed by the broker as a request is on its way to the goroutine that writes: what is
// reported as never sent, and may be sent elsewhere for that, does not leave any more. What has begun to
// leave counts as sent.
func TestClosedConnectionSendsNothing(t *testing.T) {
	p := newIdlePool(t)
	p.start(firstAttempt, "once", time.Second)
	firstBytes := len(p.transport.NextBytes()) // they are being written as the connection is closed
	p.start(secondAttempt, "once", time.Second)
	p.CloseConnections("e1", 0)
	want := []broker.Event{
		broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
		broker.AttemptEnded{Attempt: secondAttempt, Status: control.ConnectFailed, SharedCause: true},
	}
	if diff := cmp.Diff(want, p.host.events); diff != "" {
		t.Errorf("events of the reducer: %s", diff)
	}
	p.transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown}) // the writer comes to it ahead of the close
	p.run(t)
	if sent, err := io.ReadAll(p.far); err != nil || len(sent) != firstBytes {
		t.Errorf("the engine got %q, %v", sent, err)
	}
}

// A message that has waited behind a blocked write for longer than its timeout may be off is made anew, with the
// time that is left and the priority of now; one whose time is over does not leave.
func TestExpiredMessagesAreMadeAnew(t *testing.T) {
	const timeout, waited = time.Second, 300 * time.Millisecond
	p := newIdlePool(t)
	p.config.ConnectTimeout = timeout
	p.start(firstAttempt, "lookup", timeout)
	p.start(secondAttempt, "lookup", waited)
	p.SetPriority(broker.SetPriority{Attempt: firstAttempt, Priority: 3})
	for _, id := range []broker.AttemptID{firstAttempt, secondAttempt} {
		stream := p.inFlight[id]
		stream.startedAt = stream.startedAt.Add(-waited)
	}
	p.clock = func() time.Time { return time.Now().Add(waited) }
	if next := p.transport.NextBytes(); strings.Contains(string(next), "want") {
		t.Fatalf("%q leaves though it is out of date", next)
	}
	p.transport.MarkSent(0) // the system takes nothing of what is left
	p.clock = time.Now      // what is made anew has not waited
	p.resendExpired()
	ended := []broker.Event{broker.AttemptEnded{Attempt: secondAttempt, Status: control.NeverSent}}
	if diff := cmp.Diff(ended, p.host.events); diff != "" {
		t.Errorf("events of the reducer: %s", diff)
	}
	if left := p.inFlight[firstAttempt].timeLeft(time.Now()); left > timeout-waited {
		t.Errorf("%v are left of %v after %v", left, timeout, waited)
	}
	if diff := cmp.Diff([]string{"want 1", "hurry 1"}, sentCommands(t, p)); diff != "" {
		t.Errorf("sent: %s", diff)
	}
}

// A message that expired and was not made anew yet is withdrawn as one that never left, by whatever ends it.
func TestExpiredMessageNeverLeft(t *testing.T) {
	for name, end := range map[string]func(p *idlePool){
		"cancelled": func(p *idlePool) { p.CancelAttempt(firstAttempt) },
		"withdrawn": func(p *idlePool) { p.WithdrawAttempt(firstAttempt) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.start(firstAttempt, "lookup", time.Second)
			p.clock = func() time.Time { return time.Now().Add(staleAfter) }
			p.transport.NextBytes()
			end(p)
			want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.NeverSent}}
			if diff := cmp.Diff(want, p.host.events); diff != "" {
				t.Errorf("events of the reducer: %s", diff)
			}
		})
	}
}

// A connection is used for a fraction of the engines' idle timeout only, but for as long as something is in flight.
func TestIdleTooLong(t *testing.T) {
	const timeout = time.Second
	for name, tt := range map[string]struct {
		idle    time.Duration
		streams int
		want    bool
	}{
		"fresh":                   {0, 0, false},
		"within the fraction":     {590 * time.Millisecond, 0, false},
		"beyond it":               {610 * time.Millisecond, 0, true},
		"with something on it":    {time.Minute, 1, false},
		"closed by its engine":    {time.Minute, 0, true},
		"for exactly as it may":   {600 * time.Millisecond, 0, false},
		"for one nanosecond more": {600*time.Millisecond + 1, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			conn := newEngineConn("e1", "a")
			conn.lastUsed = now.Add(-tt.idle)
			for i := range tt.streams {
				conn.streams[fmt.Sprint(i)] = &stream{}
			}
			if got := conn.idleTooLong(now, timeout); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// An attempt does not go on a connection that was idle for long, however seldom these are looked for.
func TestIdleConnectionIsNotUsed(t *testing.T) {
	for name, tt := range map[string]struct {
		idle  time.Duration
		dials uint64
	}{
		"fresh":         {0, 0},
		"idle for long": {testIdleTimeout * 7 / 10, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.conn.lastUsed = p.conn.lastUsed.Add(-tt.idle)
			p.start(firstAttempt, "lookup", time.Second)
			if got := p.Stats().Dials; got != tt.dials {
				t.Errorf("%d connections begun, want %d", got, tt.dials)
			}
		})
	}
}

// Only connections that were dialed before an engine's restart lead to the process that is gone.
func TestCloseConnectionsDialledBefore(t *testing.T) {
	for name, tt := range map[string]struct {
		before func(dialed time.Duration) time.Duration
		open   int
	}{
		"any":                  {func(time.Duration) time.Duration { return 0 }, 0},
		"dialed before":        {func(dialed time.Duration) time.Duration { return dialed + 1 }, 0},
		"dialed in the moment": {func(dialed time.Duration) time.Duration { return dialed }, 1},
		"dialed since":         {func(dialed time.Duration) time.Duration { return dialed - 1 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newIdlePool(t)
			p.CloseConnections("e1", tt.before(clock.At(p.conn.dialStarted)))
			if got := p.Stats().Connections; got != tt.open {
				t.Errorf("%d connections are open, want %d", got, tt.open)
			}
		})
	}
}
