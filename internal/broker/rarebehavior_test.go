package broker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
)

// transitionKind is the number in the hash for a transition.
const transitionKind = 300

// TestRareBehaviorIsUnchanged compares with a recorded hash the behavior that TestBehaviorIsUnchanged does not cover:
// overflowing command queues, requests that may have been sent before SentAt, many order keys, many engines that are
// added and removed, steps of the wall clock, maintenance mode that is ended twice, and the transitions passed to the
// tracer.
func TestRareBehaviorIsUnchanged(t *testing.T) {
	t.Parallel()
	const (
		want  = "9c7b43a624f32424b2abfb0d37767761e11145437e1e8ab5660e43c3a395988d"
		seeds = 4
		steps = 2500
	)
	sum := sha256.New()
	for seed := range uint64(seeds) {
		s := newSimulation(t, smallDeployment(t), seed, 16, 6, sum)
		s.broker.SetTracer(func(transition Transition) { s.record(transitionKind, transition) })
		for range steps {
			s.step()
			if s.chance(60) {
				s.randomEvent()
			}
			if s.chance(20) {
				s.rareEvent()
			}
		}
		s.run(0)
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("hash of all effects: got %s, want %s", got, want)
	}
}

// rareEvent applies one random event of a kind that randomEvent does not generate.
func (s *simulation) rareEvent() {
	client := s.anyClient()
	switch draw := s.rng.IntN(100); {
	case draw < 1:
		s.overflowQueue(client)
	case draw < 2:
		s.replaceManyEngines()
	case draw < 45:
		r := s.request()
		s.apply(SubmitRequest{Session: client, Request: r, EarliestSentAt: s.now - s.between(0, 60*ms)})
	case draw < 70:
		r := s.request()
		r.OrderKey = fmt.Sprint("rare-key-", s.lastRequest)
		s.apply(SubmitRequest{Session: client, Request: r})
	case draw < 80:
		r := s.request()
		r.IdempotencyKey = ""
		r.Timeout = s.between(0, 300*ms)
		s.apply(SubmitRequest{Session: client, Request: r})
	case draw < 85:
		s.apply(EndMaintenance{s.engines[s.rng.IntN(len(s.engines))].ID})
	case draw < 90:
		e := s.engines[s.rng.IntN(len(s.engines))]
		e.State, e.StartedAt = control.Ready, s.now-s.between(0, 50*ms)
		page := delta(s.nextRevision(), e.Endpoint)
		page.WallOffset = time.Duration(s.rng.IntN(3)-1) * s.between(0, 10*time.Second)
		s.apply(page)
	default:
		s.apply(FirstPageReceived{Attempt: s.anyAttempt(), PageCount: s.rng.IntN(70), Body: []byte("no row")})
	}
}

// overflowQueue sends more commands before an answer than a session may queue.
func (s *simulation) overflowQueue(client Session) {
	s.apply(SubmitRequest{Session: client, Request: s.request()})
	for range maxQueuedRequests + 2 {
		s.apply(SubmitRequest{Session: client, Request: s.request()})
	}
	for range maxQueuedCommands {
		s.apply(Ping{client})
	}
}

// replaceManyEngines adds and removes a quarter of the engines whose ids the endpoint list stores.
func (s *simulation) replaceManyEngines() {
	const storedIDs = 4096
	for range storedIDs / 4 {
		e := s.newEngine()
		s.apply(delta(s.nextRevision(), e.Endpoint))
		e.State = control.Removed
		s.apply(delta(s.nextRevision(), e.Endpoint))
	}
}

// anyAttempt returns the id of a random attempt in flight; the zero id if there is none.
func (s *simulation) anyAttempt() AttemptID {
	if len(s.attempts) == 0 {
		return AttemptID{}
	}
	return s.attempts[s.rng.IntN(len(s.attempts))].id
}
