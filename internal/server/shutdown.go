package server

import (
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// A graceful shutdown has three steps.
//
//  1. Requests go on coming for a while after SIGTERM and are served as before.
//  2. The listeners close: connections that the system has accepted are served, the listener closes, and
//     the socket of each client is read until it is empty once, so that nothing is left in the kernel or
//     on its way to the reducer.
//  3. Once all requests are answered and the answers have left, the sessions close: the reader of each stops
//     first, so that all that was read is answered; then the broker ends its direction of the connection and
//     waits for the client to end the other, as closing a socket with bytes unread could destroy the last
//     answers.

// shutdownState is how far a graceful shutdown has come. The goroutine that owns the reducer owns it.
type shutdownState struct {
	requestedAt          time.Time     // zero: no shutdown was requested
	answerWithin         time.Duration // from requestedAt: what is left then gets its final answer
	acceptWindow         time.Duration // from requestedAt: until then new requests are served
	closingListeners     bool
	closingSessionsSince time.Time
}

// beginShutdown begins a graceful shutdown.
func (s *Server) beginShutdown() {
	within := s.answerWindow()
	s.shutdown = shutdownState{
		requestedAt: time.Now(), answerWithin: within, acceptWindow: min(shutdownAcceptWindow, within),
	}
	s.log.Info("stopping", zap.Int("open", s.reducer.OpenRequests()), zap.Duration("within", within))
	s.apply(broker.Shutdown{Within: within})
}

// answerWindow is how long after SIGTERM the last answers leave, ahead of SIGKILL. That follows from the
// client timeouts of the classes in force; those from before a reload may have been longer.
func (s *Server) answerWindow() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.cfg.Settings.Control.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	if longest == 0 || longest > maxCountedTimeout {
		longest = maxCountedTimeout
	}
	return longest + shutdownExtra - finalAnswerMargin
}

// shutdownComplete moves a graceful shutdown to its next step where it can, and reports whether it has ended:
// all requests are answered, and the last answers have left.
func (s *Server) shutdownComplete() bool {
	state := &s.shutdown
	if state.requestedAt.IsZero() {
		return false
	}
	elapsed := time.Since(state.requestedAt)
	if !state.closingListeners && elapsed >= state.acceptWindow {
		state.closingListeners = true
		s.frontend.BeginFinalReads()
	}
	open := s.reducer.OpenRequests() > 0
	if !open && elapsed >= state.answerWithin+finalFlushTimeout {
		return true // SIGKILL is near
	}
	if !state.closingListeners || open || !s.frontend.ListenerClosed() || !s.frontend.AllRead() {
		return false
	}
	if state.closingSessionsSince.IsZero() {
		state.closingSessionsSince = time.Now()
		s.closeSessions()
	}
	return s.frontend.Len() == 0
}

// closeSessions ends all clients' connections. The reducer rejects what is read until their readers stop.
func (s *Server) closeSessions() {
	s.apply(broker.SendFinalAnswers{})
	s.frontend.CloseAll(netconn.Shutdown)
}
