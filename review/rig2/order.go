package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = order }

// order: two loads of one key come 80 ms apart on two resting connections of one broker. The first one's statement has 3
// KB. With trouble, bad clients have each begun a message that never ends.
func order(l *lab) bool {
	const (
		rounds     = 12
		badClients = 150    // under a third of 1,024 descriptors
		announced  = 60_000 // bytes of each bad client's message
		begun      = 30_000 // of which it sends so many
	)
	l.engines.work = func(a *attempt) (time.Duration, string) {
		if a.class == "survey-load" {
			return 400 * time.Millisecond, "OK"
		}
		return 5 * time.Millisecond, "OK"
	}
	l.newEngines(4)
	b := l.newBroker("n1", settings(usualClasses(), 1), 192, 1024)
	b.start(l.rec)
	b.ready()
	broken := 0
	for round := range rounds {
		pair := []*session{usedSession(b), usedSession(b)}
		var bad []*session
		if l.trouble {
			bad = neverEnding(l, b, badClients, announced, begun)
			time.Sleep(60 * time.Millisecond)
		}
		if !l.inOrder(round, pair) {
			broken++
		}
		for _, s := range append(bad, pair...) {
			s.close()
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.rec.say("%d of %d rounds out of order", broken, rounds)
	return broken > 0
}

// inOrder sends the two loads and reports whether the second one began only after the first one's final answer.
func (l *lab) inOrder(round int, pair []*session) bool {
	rows := []int{140, 2}
	key := fmt.Sprintf("%016x", 0x7f3a9c21e0b4d000+round)
	var wait sync.WaitGroup
	answers, refs, taken := make([]outcome, 2), make([]string, 2), make([]time.Time, 2)
	for i, s := range pair {
		refs[i] = newRef()
		r := request{
			class: "survey-load", ref: refs[i], allow: 8 * time.Second, tenant: "harbour-office", key: key,
			once: refs[i] + refs[i], statement: soundings(17, rows[i]),
		}
		text := r.text()
		if _, err := s.conn.Write(query(text)); err != nil {
			fatal(err)
		}
		taken[i] = time.Now()
		l.rec.linef(taken[i], "client: round %d, load %d: %s, key %s, %d bytes", round, i+1, r.ref, key, len(text))
		wait.Go(func() {
			s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			answers[i] = s.answer()
			l.rec.linef(answers[i].at, "client: answer to %s: %s", r.ref, answers[i])
		})
		time.Sleep(80 * time.Millisecond)
	}
	wait.Wait()
	var began time.Time // of the second one
	for _, a := range l.engines.list() {
		if a.id == refs[1] && began.IsZero() {
			began = a.begun
		}
	}
	if began.IsZero() || !began.Before(answers[0].at) {
		l.rec.say("round %d: in order; answers %s, %s", round, answers[0].kind, answers[1].kind)
		return true
	}
	l.rec.say("round %d: %s was taken %.0f ms after %s, and began %.0f ms before the answer to that one (%s)", round, refs[1],
		ms(taken[1].Sub(taken[0])), refs[0], ms(answers[0].at.Sub(began)), answers[0].kind)
	return false
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// usedSession returns a session on which a request was served.
func usedSession(b *broker) *session {
	s, err := connect(b.listen)
	if err != nil {
		fatal(err)
	}
	r := request{
		class: "lookup", ref: newRef(), allow: 1800 * time.Millisecond, tenant: "fishing-fleet",
		statement: "SELECT day, count(*), max(note) FROM charts_3.depths GROUP BY day",
	}
	if got := s.ask(r.text(), 4*time.Second); got.kind != "served" {
		fatal("a lookup ahead of the case was not served: " + got.String())
	}
	return s
}

// soundings returns a load of some soundings.
func soundings(group, rows int) string {
	values := make([]string, rows)
	for i := range values {
		values[i] = fmt.Sprintf("(%d,%.2f,'s')", 1000+i, 3.5+float64(i%40)/4)
	}
	return fmt.Sprintf("INSERT INTO soundings_%d.points VALUES %s", group, strings.Join(values, ","))
}

// neverEnding opens sessions of bad clients: each logs in, announces a message and sends a part of it.
func neverEnding(l *lab, b *broker, count, announced, begun int) (sessions []*session) {
	for range count {
		s, err := connect(b.listen)
		if err != nil {
			l.rec.linef(time.Now(), "bad client not let in: %v", err)
			continue
		}
		sessions = append(sessions, s)
	}
	message := query("/* service=lookup,ref=" + newRef() + " */ SELECT '" + strings.Repeat("x", announced) + "'")
	for _, s := range sessions {
		s.conn.Write(message[:begun])
	}
	l.rec.linef(time.Now(), "%d bad clients have sent %d bytes of a message that never ends", len(sessions), begun)
	return sessions
}
