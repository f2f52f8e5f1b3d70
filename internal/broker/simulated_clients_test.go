package broker

import (
	"fmt"
	"slices"
	"time"

	"wheatlane/control/idempotency"
)

type simulatedClient struct {
	session  Session
	admitted bool
	waiting  int // number of unanswered commands
}

func (s *simulation) client(id Session) *simulatedClient {
	for _, c := range s.clients {
		if c.session == id {
			return c
		}
	}
	return nil
}

// anyClient returns a random admitted session, usually one without unanswered commands; 0 if none was found.
func (s *simulation) anyClient() Session {
	for range 4 {
		if len(s.clients) == 0 {
			return 0
		}
		c := s.clients[s.rng.IntN(len(s.clients))]
		if c.admitted && (c.waiting <= 0 || s.chance(10)) {
			return c.session
		}
	}
	return 0
}

func (s *simulation) removeClient(id Session) {
	s.clients = slices.DeleteFunc(s.clients, func(c *simulatedClient) bool { return c.session == id })
}

func (s *simulation) connect() {
	s.lastSession++
	s.clients = append(s.clients, &simulatedClient{session: s.lastSession})
	s.apply(SessionOpened{s.lastSession})
}

// exceedSessionLimit opens sessions up to the limit, makes all of them busy and connects two more clients.
func (s *simulation) exceedSessionLimit() {
	s.apply(UpdateSettings{s.settings.Settings})
	for s.broker.SessionCount() < s.maxSessions {
		s.connect()
	}
	for _, c := range slices.Clone(s.clients) {
		s.apply(SubmitRequest{Session: c.session, Request: s.request()})
	}
	s.connect()
	s.connect()
}

// request returns a valid random request.
func (s *simulation) request() Request {
	class := s.settings.Classes[s.rng.IntN(len(s.settings.Classes))]
	s.lastRequest++
	r := Request{
		RequestID:         fmt.Sprintf("%016x", s.lastRequest),
		Class:             class.Name,
		DataSet:           s.rng.IntN(6),
		SentAt:            s.now - s.between(0, 10*ms),
		FirstOnConnection: s.chance(20),
		Timeout:           time.Duration(float64(class.ClientTimeout) * (0.2 + 0.8*s.rng.Float64())),
		IsRetry:           s.chance(10),
		Body:              "SELECT 1",
	}
	if len(s.settings.Tenants) > 0 {
		r.Tenant = s.settings.Tenants[s.rng.IntN(len(s.settings.Tenants))].Name
	}
	if class.Idempotency.Kind == idempotency.IdempotentWithKey {
		r.IdempotencyKey = fmt.Sprint("op-", s.lastRequest)
	}
	if class.Ordered {
		r.OrderKey = fmt.Sprint("key-", s.rng.IntN(12))
	}
	if s.chance(40) {
		r.EstimatedWork, r.EstimatedMemoryMB = s.between(5*ms, 80*ms), float64(s.rng.IntN(300))
	}
	return r
}

// submit sends a request, occasionally with an invalid field or a short timeout.
func (s *simulation) submit(client Session) {
	r := s.request()
	switch s.rng.IntN(60) {
	case 0:
		r.Class = "nonsense"
	case 1:
		r.Tenant = "nobody"
	case 2:
		r.Timeout = time.Hour
	case 3:
		r.IdempotencyKey = ""
	case 4:
		r.RequestID = fmt.Sprintf("%016x", s.lastRequest-1-s.rng.IntN(3))
	case 5:
		r.Timeout = s.between(0, 20*ms)
	case 6:
		r.SentAt -= s.between(0, 100*ms)
	}
	s.apply(SubmitRequest{Session: client, Request: r})
}

// kill kills the requests of a session, occasionally of one that does not exist.
func (s *simulation) kill(target Session) {
	if s.chance(20) {
		target += 1000
	}
	s.apply(Kill{
		RequestedBy:     s.anyClient(),
		Target:          target,
		CloseConnection: s.chance(30),
		SentAt:          s.now - s.between(0, 5*ms),
	})
}
