package server

import (
	"time"

	"wheatlane/control"
)

// Times of a planned restart.
const (
	// By the protocol, SIGKILL follows SIGTERM after the longest client timeout, at most clientTimeoutCap, plus
	// shutdownExtra.
	clientTimeoutCap = 3 * time.Second
	shutdownGrace    = 700 * time.Millisecond
	// finalAnswerReserve is the time before SIGKILL at which open requests get their final answer.
	finalAnswerReserve = 250 * time.Millisecond
	// finalFlushTimeout is the time in which the final answers leave before the process exits.
	finalFlushTimeout = 200 * time.Millisecond
	// shutdownAcceptWindow is the time after SIGTERM in which new requests are served. By the protocol they may come
	// for 0.4 s.
	shutdownAcceptWindow = time.Second
)

// shutdownStep is what a graceful shutdown is to do next. Its steps are, in this order:
//
//  1. Requests that still come after SIGTERM are served as before, within shutdownAcceptWindow.
//  2. The final reads: connections that the system has accepted are served, the listener closes, and the socket of each
//     client is read until it is empty once, so that nothing is left in the kernel or on its way to the reducer.
//  3. Once all requests are answered and the answers have left, the sessions close: the reader of each stops first, so
//     that all that was read is answered; then the broker ends its direction of the connection and waits for the
//     client to end the other, as closing a socket with bytes unread could destroy the last answers.
//
// At answerWithin, whatever the step, the reducer gives what is still open its final answer (broker.Shutdown.GracePeriod).
type shutdownStep int

const (
	shutdownWait            shutdownStep = iota // nothing until the next round
	shutdownBeginFinalReads                     // once
	shutdownCloseSessions                       // once
	shutdownExit                                // all is done, or SIGKILL is near
)

// gracefulShutdown decides the steps of a shutdown. The zero value is that none was requested.
type gracefulShutdown struct {
	requestedAt       time.Time
	answerWithin      time.Duration // from requestedAt: what is left then gets its final answer
	acceptWindow      time.Duration // from requestedAt: until then new requests are served
	finalReadsStarted bool          // they have begun
	sessionsClosing   bool
}

// newGracefulShutdown returns a shutdown that is requested at a time, with the classes in force. The final answers
// leave ahead of SIGKILL, which follows from the client timeouts; those from before a reload may have been longer.
func newGracefulShutdown(requestedAt time.Time, classes []control.Class) gracefulShutdown {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.ClientTimeout)
	}
	if longest == 0 || longest > clientTimeoutCap {
		longest = clientTimeoutCap
	}
	within := longest + shutdownGrace - finalAnswerReserve
	return gracefulShutdown{
		requestedAt: requestedAt, answerWithin: within, acceptWindow: min(shutdownAcceptWindow, within),
	}
}

// requested reports whether there is a shutdown.
func (g *gracefulShutdown) requested() bool { return !g.requestedAt.IsZero() }

// shutdownProgress is what a shutdown decides by.
type shutdownProgress struct {
	openRequests int
	clients      int
	allRead      bool // the final reads are complete, and all that is addressed to the clients has been sent
}

// next returns the next step of a shutdown that was requested. It is called again until it returns shutdownWait or
// shutdownExit.
func (g *gracefulShutdown) next(now time.Time, progress shutdownProgress) shutdownStep {
	elapsed := now.Sub(g.requestedAt)
	answered := progress.openRequests == 0
	switch {
	case !g.finalReadsStarted && elapsed >= g.acceptWindow:
		g.finalReadsStarted = true
		return shutdownBeginFinalReads
	case answered && elapsed >= g.answerWithin+finalFlushTimeout: // SIGKILL is near
		return shutdownExit
	case !g.finalReadsStarted || !answered || !progress.allRead:
		return shutdownWait
	case !g.sessionsClosing:
		g.sessionsClosing = true
		return shutdownCloseSessions
	case progress.clients == 0:
		return shutdownExit
	}
	return shutdownWait
}
