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

// finalReads is how many timeouts show that a socket is empty: the read that a timeout ends does not see
// what comes in that moment, and the next one looks first.
const finalReads = 2

// shutdownState is how far a graceful shutdown has come. The goroutine that owns the reducer owns it.
type shutdownState struct {
	requestedAt          time.Time     // zero: no shutdown was requested
	answerWithin         time.Duration // from requestedAt: what is left then gets its final answer
	acceptWindow         time.Duration // from requestedAt: until then new requests are served
	closingListeners     bool
	listenerClosed       bool // and all connections that had come to it are served
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
		s.closeListeners()
	}
	open := s.reducer.OpenRequests() > 0
	if !open && elapsed >= state.answerWithin+finalFlushTimeout {
		return true // SIGKILL is near
	}
	if !state.closingListeners || open || !s.allRead() {
		return false
	}
	if state.closingSessionsSince.IsZero() {
		state.closingSessionsSince = time.Now()
		s.closeSessions()
	}
	return len(s.clients) == 0
}

// closeSessions ends all clients' connections. The reducer rejects what is read until their readers stop.
func (s *Server) closeSessions() {
	s.apply(broker.SendFinalAnswers{})
	for _, c := range s.clients {
		c.close(&netconn.EndError{Reason: netconn.Shutdown})
	}
}

// closeListeners lets the listener and the reader of each client read once more what has come.
func (s *Server) closeListeners() {
	s.mu.Lock()
	s.readingOut = true
	s.mu.Unlock()
	s.setFinalAcceptDeadline()
	for _, c := range s.clients {
		_ = c.conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only on one that has closed
	}
}

// closingListeners reports whether the listeners are closing. All goroutines may call it.
func (s *Server) closingListeners() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readingOut
}

// allRead reports whether the listener has closed, each client's socket was found empty since, and all that
// is addressed to the clients has been sent.
func (s *Server) allRead() bool {
	if !s.shutdown.listenerClosed {
		return false
	}
	for _, c := range s.clients {
		if !c.fullyRead || !c.conn.AllSent() {
			return false
		}
	}
	return true
}

// listenerTimedOut handles a timeout of the listener while the listeners close, by the number of them so
// far. It returns true once nothing more comes and the listener is closed; until then it is to accept
// again.
func (s *Server) listenerTimedOut(timeouts int) bool {
	if timeouts < finalReads {
		s.setFinalAcceptDeadline()
		return false
	}
	_ = s.listener.Close() // nothing is lost by a failure: the process is about to end
	s.post(s.ctx, func() { s.shutdown.listenerClosed = true })
	return true
}

// setFinalAcceptDeadline bounds the wait of the listener for connections that have come.
func (s *Server) setFinalAcceptDeadline() {
	if ln, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = ln.SetDeadline(time.Now().Add(finalReadTimeout)) // fails only on one that has closed
	}
}
