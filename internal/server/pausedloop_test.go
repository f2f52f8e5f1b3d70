package server

import (
	"testing"
	"time"

	"wheatlane/internal/socktest"
)

// neverExpires is longer than any test.
const neverExpires = time.Hour

// DisableConnectionTimeouts has a running broker take no connection to an engine for dead or idle, nor give one up
// while it is established, however long the other end or this process stands still.
func DisableConnectionTimeouts(s *Server) {
	s.loop.inbox <- func() {
		poolConfig := s.pool.Config()
		poolConfig.SilenceThreshold, poolConfig.IdleTimeout, poolConfig.ConnectTimeout = neverExpires, neverExpires, neverExpires
		s.pool.Reconfigure(poolConfig)
	}
}

// PausedLoop is the loop of a broker that stands still, so that no timer expires while what came to the
// sockets gathers in its inbox. All of that is applied in its order, ahead of the next round.
type PausedLoop struct {
	t        *testing.T
	server   *Server
	released chan struct{}
}

// PauseLoop holds the loop of a broker until Release.
func PauseLoop(t *testing.T, s *Server) *PausedLoop {
	t.Helper()
	held, h := make(chan struct{}), &PausedLoop{t, s, make(chan struct{})}
	s.loop.inbox <- func() {
		close(held)
		<-h.released
	}
	socktest.Receive(t, held, "the loop")
	return h
}

// WaitForEvents waits until the inbox holds a number of events.
func (h *PausedLoop) WaitForEvents(count int) {
	h.t.Helper()
	socktest.WaitUntil(h.t, "the events are in the inbox", func() bool { return len(h.server.loop.inbox) >= count })
}

// Resume lets the loop go on.
func (h *PausedLoop) Resume() { close(h.released) }
