package broker

import (
	"time"

	"wheatlane/control"
)

// shutdownState is how far a graceful shutdown has come.
type shutdownState struct {
	started          bool
	finalAnswersSent bool // what comes from then on is rejected
}

// startShutdown lets the broker finish what it has accepted within a time.
func (b *Broker) startShutdown(now, within time.Duration) {
	b.shutdown.started = true
	b.timers.set(now+within, shutdownOver{})
}

// sendFinalAnswers answers what could not be finished, shortly before the broker must end: clients would
// learn nothing from a broken connection.
func (b *Broker) sendFinalAnswers(now time.Duration) {
	b.shutdown.finalAnswersSent = true
	for _, r := range b.requests.openRequests() {
		b.batch.add(control.ClientDisconnected{RequestID: r.moduleID})
		b.answer(now, r, r.finalAnswer(shuttingDownText))
	}
}
