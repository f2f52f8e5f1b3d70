package server

import (
	"context"
	"testing"
	"time"

	"wheatlane/internal/broker"
)

// tape hands on what a meter is told.
type tape struct {
	nopMeter
	said chan string
}

func (m tape) RequestAccepted(r *broker.Request)    { m.said <- "taken " + r.Class }
func (m tape) RequestEnded(o broker.RequestSummary) { m.said <- "over " + o.Class }
func (m tape) DuplicateResponse(engine string)      { m.said <- "second copy from " + engine }
func (m tape) DrainStarted()                        { m.said <- "drain told" }
func (m tape) DrainCompleted(took time.Duration)    { m.said <- "drained" }

func (m tape) want(t *testing.T, all ...string) {
	t.Helper()
	for _, w := range all {
		if got := next(t, m.said, w); got != w {
			t.Fatalf("told %q, want %q", got, w)
		}
	}
}

// The meter is told of what only sockets know: answers that nothing waits for, and drains, once each however often the
// change log repeats them. Connections that ended are counted by their reasons.
func TestMeterOfSockets(t *testing.T) {
	e := newEngine(t)
	m := tape{said: make(chan string, 100)}
	s := serveMeasured(t, m, 30*time.Second, 1024, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 7, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "sheets=1", "x\ty\tz\n")
	c.want("rows x|y|z|")
	m.want(t, "taken lookup", "over lookup")
	w.reply(w.id(), "OK", "sheets=1", "x\ty\tz\n")
	m.want(t, "second copy from e1")
	s.change(page(2, false, host("e1", e.addr, "terminating", 0)), 2)
	s.change(page(3, false, host("e1", e.addr, "terminating", 0)), 3)
	m.want(t, "drain told", "drained")
	c.nc.Close()
	s.change(page(4, false, host("e1", "", "terminated", 0)), 4)
	for end := time.Now().Add(patience); ; {
		ended := map[Side]uint64{}
		if !s.node.Inspect(context.Background(), func(_ *broker.Broker, sockets ConnectionCounts) {
			for _, side := range allSides {
				sockets.EachEndReason(side, func(r Reason, n uint64) {
					if r == PeerClosed || r == EngineGone {
						ended[side] += n
					}
				})
			}
		}) {
			t.Fatal("it can't be looked at")
		}
		if ended[ClientSide] == 1 && ended[EngineSide] == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("connections ended: %v", ended)
		}
	}
	select {
	case more := <-m.said:
		t.Fatalf("told %q as well", more)
	default:
	}
}

// A node that has ended can be looked at still, for the last figures.
func TestALookAfterTheEnd(t *testing.T) {
	s := serve(t)
	close(s.stop)
	if err := next(t, s.done, "the end"); err != nil {
		t.Fatal(err)
	}
	s.done <- nil // for the cleanup
	looked := false
	if !s.node.Inspect(context.Background(), func(*broker.Broker, ConnectionCounts) { looked = true }) || !looked {
		t.Fatal("it can't be looked at")
	}
}
