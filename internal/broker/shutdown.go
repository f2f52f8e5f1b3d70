package broker

import (
	"time"

	"wheatlane/control"
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	started          bool
	finalAnswersSent bool // later requests are rejected
}

// startShutdown lets the broker finish its open requests within a time; those still open then get their final answer.
func (b *Broker) startShutdown(now, within time.Duration) {
	b.shutdown.started = true
	b.timers.Set(now+within, shutdownTimedOut{})
}

// sendFinalAnswers answers all open requests, shortly before the process must end. From a closed connection alone a
// client could not tell whether a retry is harmless.
func (b *Broker) sendFinalAnswers(now time.Duration) {
	b.shutdown.finalAnswersSent = true
	for _, request := range b.requests.openRequests() {
		b.batch.add(control.ClientDisconnected{RequestID: request.moduleID})
		b.answer(now, request, request.finalAnswer(shuttingDownText), EndFinalAnswer)
	}
}
