package broker

import (
	"time"

	"wheatlane/control"
)

// shutdownState is the state of a graceful shutdown.
type shutdownState struct {
	started          bool
	finalAnswersSent bool // later requests are rejected
}

// startShutdown starts a graceful shutdown. Requests that are still open after gracePeriod get their final answer.
func (b *Broker) startShutdown(now, gracePeriod time.Duration) {
	b.shutdown.started = true
	b.timers.Set(now+gracePeriod, shutdownTimedOut{})
}

// sendFinalAnswers answers all open requests shortly before the process must end. If the connection were closed without
// an answer, a client could not determine whether a retry is safe.
func (b *Broker) sendFinalAnswers(now time.Duration) {
	b.shutdown.finalAnswersSent = true
	for _, request := range b.requests.openRequests() {
		b.batch.add(control.ClientDisconnected{RequestID: request.moduleID})
		b.answer(now, request, request.finalAnswer(shuttingDownText), EndFinalAnswer)
	}
}
