package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["outage"] = outage }

// told is an event that tells that engines drain, until one tells that they are in service again.
type told struct {
	engines  []*engine
	at, back time.Time
}

// lateSends returns how many attempts began at a draining engine later than the grace period and 50 ms, and how long after
// the event the latest one began.
func (l *lab) lateSends(events []told) (count int, latest time.Duration) {
	const grace = 550 * time.Millisecond
	for _, a := range l.engines.list() {
		for _, event := range events {
			for _, e := range event.engines {
				if a.engine == e.id && a.begun.After(event.at.Add(grace)) && a.begun.Before(event.back) {
					count++
					latest = max(latest, a.begun.Sub(event.at))
					l.rec.linef(time.Now(), "late: %s at %s, %.0f ms after the event", a.id, a.engine, ms(a.begun.Sub(event.at)))
				}
			}
		}
	}
	return count, latest
}

// outage: the change log vanishes for 8 s, and soon after its return a quarter of the engines begin to drain.
func outage(l *lab) bool {
	const (
		brokers = 5
		rounds  = 7
		length  = 8 * time.Second
		after   = 30 * time.Millisecond // from the return to the drain
		drained = 2 * time.Second
	)
	l.engines.work = func(*attempt) (time.Duration, string) {
		return time.Duration(10+rand.IntN(30)) * time.Millisecond, "OK"
	}
	l.newEngines(8)
	traffic := &load{classes: []string{"lookup"}, clients: 8, pause: 100 * time.Millisecond}
	for i := range brokers {
		s := settings(usualClasses(), brokers)
		s["Position"] = i
		b := l.newBroker(fmt.Sprintf("n%d", i+1), s, 192, 1024)
		b.start(l.rec)
		b.ready()
		traffic.begin(l, b)
	}
	time.Sleep(time.Second)
	var events []told
	for round := range rounds {
		if l.trouble {
			l.log.vanish()
		}
		time.Sleep(length + time.Duration(rand.IntN(500))*time.Millisecond)
		if l.trouble {
			l.log.appear()
		}
		time.Sleep(after)
		quarter := l.engines.all[round%4*2:][:2]
		event := told{engines: quarter, at: time.Now()}
		l.log.tell(host{quarter[0], "terminating", 0}, host{quarter[1], "terminating", 0})
		time.Sleep(drained)
		event.back = time.Now()
		l.log.tell(host{quarter[0], "in_service", 0}, host{quarter[1], "in_service", 0})
		events = append(events, event)
		time.Sleep(time.Second)
	}
	l.rec.say("answers: %v", traffic.end())
	count, latest := l.lateSends(events)
	l.rec.say("%d attempts began at draining engines more than 550 ms after the event, the latest after %.0f ms", count, ms(latest))
	return count > 0
}
