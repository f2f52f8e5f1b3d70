package broker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
)

// transitionKind is the number of a transition of a request in the hashes.
const transitionKind = 300

// TestRareBehaviorIsUnchanged pins by a hash what TestBehaviorIsUnchanged does not reach: commands beyond a
// session's queue, requests whose clients may have waited since before their statement came, many order keys, many
// engines that come and go, a stepped wall clock, maintenance that ends twice, and the transitions that the
// tracer is given.
func TestRareBehaviorIsUnchanged(t *testing.T) {
	t.Parallel()
	const (
		want  = "bcbf3de074bce9cf1483342cb0098d6bbde4e702807372b26901f547ba1d0ccf"
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

// rareEvent lets one thing happen that randomEvent never draws.
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

// overflowQueue sends more commands ahead of an answer than a session may queue.
func (s *simulation) overflowQueue(client Session) {
	s.apply(SubmitRequest{Session: client, Request: s.request()})
	for range maxQueuedRequests + 2 {
		s.apply(SubmitRequest{Session: client, Request: s.request()})
	}
	for range maxQueuedCommands {
		s.apply(Ping{client})
	}
}

// replaceManyEngines lists and removes a quarter of the engines whose ids are remembered.
func (s *simulation) replaceManyEngines() {
	const rememberedEngines = 4096
	for range rememberedEngines / 4 {
		e := s.newEngine()
		s.apply(delta(s.nextRevision(), e.Endpoint))
		e.State = control.Removed
		s.apply(delta(s.nextRevision(), e.Endpoint))
	}
}

// anyAttempt is an attempt in flight; without one the zero id.
func (s *simulation) anyAttempt() AttemptID {
	if len(s.attempts) == 0 {
		return AttemptID{}
	}
	return s.attempts[s.rng.IntN(len(s.attempts))].id
}
