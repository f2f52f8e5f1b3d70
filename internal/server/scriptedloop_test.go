package server

import (
	"testing"
	"time"

	"wheatlane/internal/socktest"
)

// untilFar is longer than any test.
const untilFar = time.Hour

// KeepConnectionsFresh has a running broker take no connection to an engine for dead or idle, nor give one up
// while it is established, however long the other end or this process stands still.
func KeepConnectionsFresh(s *Server) {
	s.loop.inbox <- func() {
		poolConfig := s.pool.Config()
		poolConfig.SilenceThreshold, poolConfig.IdleTimeout, poolConfig.ConnectTimeout = untilFar, untilFar, untilFar
		s.pool.Reconfigure(poolConfig)
	}
}

// HeldLoop is the loop of a broker that stands still, so that no timer expires while what came to the
// sockets gathers in its inbox. All of that is applied in its order, ahead of the next round.
type HeldLoop struct {
	t        *testing.T
	server   *Server
	released chan struct{}
}

// HoldLoop holds the loop of a broker until Release.
func HoldLoop(t *testing.T, s *Server) *HeldLoop {
	t.Helper()
	held, h := make(chan struct{}), &HeldLoop{t, s, make(chan struct{})}
	s.loop.inbox <- func() {
		close(held)
		<-h.released
	}
	socktest.Receive(t, held, "the loop")
	return h
}

// WaitForEvents waits until the inbox holds a number of events.
func (h *HeldLoop) WaitForEvents(count int) {
	h.t.Helper()
	socktest.WaitUntil(h.t, "the events are in the inbox", func() bool { return len(h.server.loop.inbox) >= count })
}

// Release lets the loop go on.
func (h *HeldLoop) Release() { close(h.released) }
