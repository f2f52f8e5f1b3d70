package server

import (
	"context"
	"testing"
	"time"

	"wheatlane/internal/broker"
)

// recordingMeter hands on what a meter is told.
type recordingMeter struct {
	nopMeter
	events chan string
}

func (m recordingMeter) RequestAccepted(r *broker.Request)    { m.events <- "taken " + r.Class }
func (m recordingMeter) RequestEnded(o broker.RequestSummary) { m.events <- "over " + o.Class }
func (m recordingMeter) DuplicateResponse(engine string)      { m.events <- "second copy from " + engine }
func (m recordingMeter) DrainStarted()                        { m.events <- "drain told" }
func (m recordingMeter) DrainCompleted(took time.Duration)    { m.events <- "drained" }

func (m recordingMeter) expect(t *testing.T, all ...string) {
	t.Helper()
	for _, w := range all {
		if got := receive(t, m.events, w); got != w {
			t.Fatalf("told %q, want %q", got, w)
		}
	}
}

// The meter is told of what only sockets know: answers that nothing waits for, and drains, once each however often the
// change log repeats them. Connections that ended are counted by their reasons.
func TestMeterEvents(t *testing.T) {
	e := newFakeEngine(t)
	m := recordingMeter{events: make(chan string, 100)}
	s := startMeasured(t, m, 30*time.Second, 1024, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 7, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	c.expect("rows x|y|z|")
	m.expect(t, "taken lookup", "over lookup")
	w.reply(w.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	m.expect(t, "second copy from e1")
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0)), 2)
	s.publish(pageJSON(3, false, endpointJSON("e1", e.addr, "terminating", 0)), 3)
	m.expect(t, "drain told", "drained")
	c.socket.Close()
	s.publish(pageJSON(4, false, endpointJSON("e1", "", "terminated", 0)), 4)
	for end := time.Now().Add(testTimeout); ; {
		ended := map[Side]uint64{}
		if !s.server.Inspect(context.Background(), func(_ *broker.Broker, sockets ConnectionCounts) {
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
	case more := <-m.events:
		t.Fatalf("told %q as well", more)
	default:
	}
}

// A node that has ended can be looked at still, for the last figures.
func TestInspectAfterRun(t *testing.T) {
	s := startServer(t)
	close(s.stopSignal)
	if err := receive(t, s.ended, "the end"); err != nil {
		t.Fatal(err)
	}
	s.ended <- nil // for the cleanup
	looked := false
	if !s.server.Inspect(context.Background(), func(*broker.Broker, ConnectionCounts) { looked = true }) || !looked {
		t.Fatal("it can't be looked at")
	}
}
