package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// load is traffic of usual clients, each with a connection of its own.
type load struct {
	classes []string      // drawn at random
	clients int           // of each broker
	pause   time.Duration // mean time between an answer and the next request

	stop   atomic.Bool
	wait   sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int // answers by kind
}

// begin starts the clients of a broker.
func (t *load) begin(l *lab, b *broker) {
	for range t.clients {
		t.wait.Go(func() { t.client(l, b) })
	}
}

// end stops the clients and returns the counts of answers.
func (t *load) end() map[string]int {
	t.stop.Store(true)
	t.wait.Wait()
	return t.counts
}

func (t *load) client(l *lab, b *broker) {
	var s *session
	for !t.stop.Load() {
		if s == nil {
			var err error
			if s, err = connect(b.listen); err != nil {
				s = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		ref := newRef()
		r := request{
			class: t.classes[rand.IntN(len(t.classes))], ref: ref, allow: 1800 * time.Millisecond, tenant: "fishing-fleet",
			statement: fmt.Sprintf("SELECT day, count(*), max(note) FROM charts_%d.depths GROUP BY day", 1+rand.IntN(60)),
		}
		if r.class == "survey-load" {
			r.once, r.key = ref+ref, fmt.Sprintf("7f3a9c21%08x", rand.Uint32())
			r.statement = soundings(1+rand.IntN(60), 5)
		}
		l.rec.linef(time.Now(), "client: %s %s", r.class, ref)
		got := s.ask(r.text(), 4*time.Second)
		l.rec.linef(got.at, "client: answer to %s: %s", ref, got)
		t.mu.Lock()
		if t.counts == nil {
			t.counts = map[string]int{}
		}
		t.counts[got.kind]++
		t.mu.Unlock()
		if got.kind == "lost" {
			s.close()
			s = nil
		}
		time.Sleep(time.Duration(rand.Int64N(int64(2 * t.pause))))
	}
	if s != nil {
		s.close()
	}
}
