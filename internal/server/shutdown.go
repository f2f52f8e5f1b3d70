package server

import (
	"time"

	"wheatlane/control"
)

// Timing of a graceful shutdown.
const (
	// By the protocol, SIGKILL follows SIGTERM after the longest client timeout, capped at clientTimeoutCap, plus
	// shutdownGrace.
	clientTimeoutCap = 3 * time.Second
	shutdownGrace    = 700 * time.Millisecond
	// finalAnswerReserve is the time between the final answers to open requests and SIGKILL.
	finalAnswerReserve = 400 * time.Millisecond
	// finalFlushTimeout is the time allowed for sending the final answers before the process exits.
	finalFlushTimeout = 200 * time.Millisecond
	// shutdownAcceptWindow is the time after SIGTERM in which new requests are served. By the protocol, clients may
	// send them for 0.4 s.
	shutdownAcceptWindow = time.Second
)

// shutdownStep is the next step of a graceful shutdown. The steps are, in order:
//
//  1. Requests that arrive within shutdownAcceptWindow after SIGTERM are served as usual.
//  2. Final reads: connections in the kernel's accept queue are accepted and served, the listener closes, and each
//     client socket is read until it is empty, so that no request remains in the kernel or on its way to the reducer.
//  3. Once all requests are answered and the replies are sent, the sessions close. The reader of each stops first, so
//     that every request that was read is answered. The broker then shuts down the write side of the connection and
//     waits for the client to close the other, as closing a socket with unread bytes could discard the last replies.
//
// In any step, the reducer sends the final answers to open requests once answerWithin has elapsed
// (broker.Shutdown.GracePeriod).
type shutdownStep int

const (
	shutdownWait            shutdownStep = iota // nothing is due until the next loop iteration
	shutdownBeginFinalReads                     // returned once
	shutdownCloseSessions                       // returned once
	shutdownExit                                // the shutdown is complete, or SIGKILL is imminent
)

// gracefulShutdown is the state of a shutdown and decides its steps. In the zero value none is requested.
type gracefulShutdown struct {
	requestedAt       time.Time
	answerWithin      time.Duration // from requestedAt until open requests get their final answer
	acceptWindow      time.Duration // from requestedAt, in which new requests are served
	finalReadsStarted bool
	sessionsClosing   bool
}

// newGracefulShutdown returns the shutdown requested at requestedAt. The final answers are sent before SIGKILL, whose
// time follows from the client timeouts of the current classes: those before a reload may have been longer.
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

// requested reports whether a shutdown was requested.
func (g *gracefulShutdown) requested() bool { return !g.requestedAt.IsZero() }

// shutdownProgress is the input by which a shutdown decides its next step.
type shutdownProgress struct {
	openRequests int
	clients      int
	allRead      bool // the final reads are complete, and all replies to clients are sent
}

// next returns the next step of a requested shutdown and records it as taken. The caller calls it until it returns
// shutdownWait or shutdownExit.
func (g *gracefulShutdown) next(now time.Time, progress shutdownProgress) shutdownStep {
	elapsed := now.Sub(g.requestedAt)
	answered := progress.openRequests == 0
	switch {
	case !g.finalReadsStarted && elapsed >= g.acceptWindow:
		g.finalReadsStarted = true
		return shutdownBeginFinalReads
	case answered && elapsed >= g.answerWithin+finalFlushTimeout: // SIGKILL is imminent
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
