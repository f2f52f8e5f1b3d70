package server

import (
	"testing"
	"time"

	"wheatlane/internal/socktest"
)

// neverExpires is a timeout that is longer than any test.
const neverExpires = time.Hour

// DisableConnectionTimeouts raises the silence threshold and the idle and connect timeouts of a running broker's engine
// connections beyond the duration of any test, so that a pause of an engine or of this process doesn't end them.
func DisableConnectionTimeouts(s *Server) {
	s.loop.inbox <- func() {
		poolConfig := s.pool.Config()
		poolConfig.SilenceThreshold = neverExpires
		poolConfig.IdleTimeout = neverExpires
		poolConfig.ConnectTimeout = neverExpires
		s.pool.Reconfigure(poolConfig)
	}
}

// PausedLoop is the paused event loop of a broker. No timer expires while events from the sockets queue in its inbox.
// After Resume they are applied in order, before the next loop iteration.
type PausedLoop struct {
	t       *testing.T
	server  *Server
	resumed chan struct{}
}

// PauseLoop pauses the loop of a broker until Resume is called.
func PauseLoop(t *testing.T, s *Server) *PausedLoop {
	t.Helper()
	paused, loop := make(chan struct{}), &PausedLoop{t, s, make(chan struct{})}
	s.loop.inbox <- func() {
		close(paused)
		<-loop.resumed
	}
	socktest.Receive(t, paused, "the pause of the loop")
	return loop
}

// WaitForEvents waits until the inbox holds at least count events.
func (l *PausedLoop) WaitForEvents(count int) {
	l.t.Helper()
	socktest.WaitUntil(l.t, "the events are in the inbox", func() bool { return len(l.server.loop.inbox) >= count })
}

// Resume resumes the loop.
func (l *PausedLoop) Resume() { close(l.resumed) }
