package control

import (
	"time"

	"wheatlane/control/keyorder"
)

const (
	tickInterval      = 100 * time.Millisecond // time between two ticks
	minTimerDelay     = time.Nanosecond        // no timer expires in the batch that starts it
	tickToken         = 1                      // token of the tick's timer
	lastReservedToken = 16                     // highest reserved token; only tickToken is in use
)

// timer is the operation that is due when a timer expires. All implementations are in this file.
type timer interface{ expire(c *Controller) }

type (
	// responseDue ends a request that has no final response shortly before its deadline.
	responseDue struct{ request *request }
	// attemptOverdue evaluates an attempt that is still in flight after its timeout.
	attemptOverdue struct{ attempt *attempt }
	// lostAttemptStopped releases the threads of an attempt that is presumed lost and has probably
	// stopped.
	lostAttemptStopped struct{ attempt *attempt }
	// endedAttemptStopped releases the threads of an attempt that timed out, could not be cancelled and
	// has probably stopped.
	endedAttemptStopped struct{ attempt *attempt }
	// orderKeyIdle drops an order key without requests after its cooldown.
	orderKeyIdle struct{ queue *keyorder.Queue[*request] }
	// loadProbesDue ends the wait for the load probes of a request that is not queued yet.
	loadProbesDue struct {
		request *request
		avoid   *engine
	}
	// candidateProbesDue ends the wait for the load probes of a request that leaves the pool.
	candidateProbesDue struct{ request *request }
)

func (t responseDue) expire(c *Controller)    { c.rejectOrFail(t.request) }
func (t attemptOverdue) expire(c *Controller) { c.evaluateOverdue(t.attempt) }
func (t orderKeyIdle) expire(c *Controller)   { c.requests.keyQueues.DropIfIdle(t.queue, c.now) }

func (t lostAttemptStopped) expire(*Controller) {
	if t.attempt.inFlight {
		t.attempt.releaseThreads()
	}
}

func (t endedAttemptStopped) expire(*Controller) { t.attempt.releaseThreads() }

func (t loadProbesDue) expire(c *Controller) {
	if !t.request.closed {
		c.enqueue(t.request, t.avoid)
	}
}

func (t candidateProbesDue) expire(c *Controller) { c.finishCandidateProbes(t.request) }

// timerSet holds the timers that have not expired, by their tokens.
type timerSet struct {
	byToken   map[uint64]timer
	lastToken uint64
}

func newTimerSet() timerSet {
	return timerSet{byToken: map[uint64]timer{}, lastToken: lastReservedToken}
}

// add stores a timer and returns its token.
func (s *timerSet) add(t timer) uint64 {
	s.lastToken++
	s.byToken[s.lastToken] = t
	return s.lastToken
}

// take removes and returns the timer of a token, or nil if there is none.
func (s *timerSet) take(token uint64) timer {
	t := s.byToken[token]
	delete(s.byToken, token)
	return t
}

// TimerPending reports whether the timer of a token has something to do when it expires. A timer that has not may be
// dropped.
func (c *Controller) TimerPending(token uint64) bool {
	return token <= lastReservedToken || c.timers.byToken[token] != nil
}
