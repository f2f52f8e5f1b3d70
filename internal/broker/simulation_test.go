package broker

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"wheatlane/control"
)

// simulation runs a broker with simulated clients, engines, other brokers and a change log, all driven by one seed.
type simulation struct {
	recorder
	t           *testing.T
	rng         *rand.Rand
	broker      *Broker
	settings    deployment
	now         time.Duration
	maxSessions int
	clients     []*simulatedClient
	lastSession Session
	lastRequest int
	engines     []*simulatedEngine
	lastEngine  int
	revision    int64
	attempts    []simulatedAttempt
	scheduled   []scheduledEvent // ordered by time, then by the order of scheduling
	seen        map[string]int   // numbers of effects, replies and closes by kind
}

type scheduledEvent struct {
	at    time.Duration
	event Event
}

// newSimulation starts a broker with a number of engines and a client for each session that the broker allows. It
// records to sum.
func newSimulation(
	t *testing.T, settings deployment, seed uint64, maxSessions, engines int, sum hash.Hash,
) *simulation {
	t.Helper()
	b, err := New(settings.Settings, seed, maxSessions)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{
		recorder:    recorder{sum},
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 17)),
		broker:      b,
		settings:    settings,
		now:         startTime,
		maxSessions: maxSessions,
		seen:        map[string]int{},
	}
	b.SetMeter(s.recorder)
	for range engines {
		s.engines = append(s.engines, s.newEngine())
	}
	s.publish(snapshot(s.nextRevision(), s.endpoints()...))
	for range maxSessions {
		s.connect()
	}
	return s
}

// chance returns true with a probability in percent.
func (s *simulation) chance(percent int) bool { return s.rng.IntN(100) < percent }

// between returns a random duration from low to high.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

// run executes a number of random steps, shuts the broker down and fails if a request is still open afterwards.
func (s *simulation) run(steps int) {
	s.t.Helper()
	for range steps {
		s.step()
		if s.chance(70) {
			s.randomEvent()
		}
	}
	if s.chance(70) {
		s.apply(Shutdown{GracePeriod: 400 * ms})
	} else {
		s.apply(SendFinalAnswers{})
	}
	for range 400 {
		s.step()
		if s.chance(20) {
			s.randomEvent()
		}
	}
	if open := s.broker.OpenRequests(); open != 0 {
		s.t.Errorf("%d requests are open at the end", open)
	}
}

// step advances the time, delivers the events that are due and calls Tick.
func (s *simulation) step() {
	s.now += s.between(0, 5*ms)
	for len(s.scheduled) > 0 && s.scheduled[0].at <= s.now {
		event := s.scheduled[0].event
		s.scheduled = s.scheduled[1:]
		s.apply(event)
	}
	s.handleEffects(s.broker.Tick(s.now))
	next, ok := s.broker.NextDeadline()
	s.record(stateKind, next, ok, s.broker.OpenRequests(), s.broker.Ready(), s.broker.UnavailableEngines(),
		s.broker.EndpointCount(), s.broker.SessionCount(), s.broker.endpoints.Revision(),
		s.broker.EnginesInMaintenance())
}

// randomEvent applies one random event.
func (s *simulation) randomEvent() {
	client := s.anyClient()
	switch draw := s.rng.IntN(1000); {
	case draw < 60:
		s.connect()
	case draw < 750:
		s.submit(client)
	case draw < 800:
		s.apply(Ping{client})
	case draw < 810:
		kind := []ReplyKind{ReplyUnknownCommand, ReplyUnknownDatabase}[s.rng.IntN(2)]
		s.apply(ImmediateReply{client, Reply{Kind: kind, Text: "not known here"}})
	case draw < 840:
		s.kill(client)
	case draw < 865:
		s.apply(SessionClosed{client})
	case draw < 875:
		s.apply(SessionHalfClosed{client})
		s.removeClient(client)
	case draw < 895:
		s.receiveGossip()
	case draw < 925:
		s.changeEndpoints()
	case draw < 980:
		s.engines[s.rng.IntN(len(s.engines))].mode = engineMode(max(0, s.rng.IntN(7)-3))
	case draw < 990:
		s.changeMaintenance()
	case draw < 993:
		s.reload()
	case draw < 995:
		s.exceedSessionLimit()
	default:
		s.now += s.between(0, 300*ms)
	}
}

func (s *simulation) apply(event Event) {
	switch ev := event.(type) {
	case SubmitRequest:
		if c := s.client(ev.Session); c != nil {
			c.waiting++
		}
	case AttemptEnded:
		s.endAttempt(ev.Attempt)
	case SessionClosed:
		s.removeClient(ev.Session)
	}
	s.handleEffects(s.broker.Apply(s.now, event))
}

func (s *simulation) schedule(after time.Duration, event Event) {
	at := s.now + after
	i := sort.Search(len(s.scheduled), func(i int) bool { return s.scheduled[i].at > at })
	s.scheduled = slices.Insert(s.scheduled, i, scheduledEvent{at, event})
}

// handleEffects records effects and simulates the reactions of clients and engines.
func (s *simulation) handleEffects(effects []Effect) {
	for _, e := range effects {
		if _, violation := e.(InvariantViolation); violation {
			continue // not recorded: simulated clients send commands on closed sessions
		}
		kind := effectKind(e)
		s.seen[fmt.Sprint("effect ", kind)]++
		if kind == logLineKind {
			s.record(kind)
			continue
		}
		s.record(kind, e)
		s.handleClientEffect(e)
		s.handleEngineEffect(e)
	}
}

func (s *simulation) handleClientEffect(e Effect) {
	switch e := e.(type) {
	case Reply:
		s.seen[fmt.Sprint("reply ", int(e.Kind))]++
		if c := s.client(e.Session); c != nil {
			c.waiting--
		}
	case AdmitSession:
		if s.chance(90) {
			s.schedule(s.between(0, 20*ms), SessionAuthenticated(e))
		}
		s.client(e.Session).admitted = true
	case CloseSession:
		s.seen[fmt.Sprint("close ", int(e.Reason))]++
		s.removeClient(e.Session)
	}
}

func (s *simulation) handleEngineEffect(e Effect) {
	switch e := e.(type) {
	case StartAttempt:
		s.attempts = append(s.attempts, simulatedAttempt{e.Attempt, e.Engine, s.now})
		s.serve(e)
	case FetchPage:
		s.servePage(e)
	case CancelAttempt:
		if s.chance(95) {
			s.schedule(s.between(0, 4*ms), AttemptEnded{Attempt: e.Attempt, Status: control.Cancelled})
		} else { // the response races with the cancel
			s.schedule(0, FirstPageReceived{Attempt: e.Attempt, PageCount: 1, Work: 5 * ms, Body: s.rows(1)})
			s.schedule(3*ms, AttemptEnded{Attempt: e.Attempt, Status: control.Cancelled})
		}
	case CancelIfUnsent:
		if s.chance(30) {
			s.schedule(0, AttemptEnded{Attempt: e.Attempt, Status: control.NeverSent})
		}
	case ReleaseAttempt:
		s.endAttempt(e.Attempt)
	case ProbeLoad:
		s.answerProbe(e)
	case CancelUnsentAttempts:
		for _, a := range s.attempts {
			if a.engine == e.Engine && s.chance(20) {
				s.schedule(0, AttemptEnded{Attempt: a.id, Status: control.NeverSent})
			}
		}
	case CloseEngineConnections:
		shared := false
		for _, a := range s.attempts {
			if a.engine == e.Engine && (e.DialedBefore == 0 || a.startedAt < e.DialedBefore) {
				s.schedule(0, AttemptEnded{Attempt: a.id, Status: control.ConnectionReset, SharedCause: shared})
				shared = true
			}
		}
	}
}
