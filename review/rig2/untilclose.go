package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["until-close"] = untilClose }

// untilClose: the body of each answer of the change log ends with the connection, and a quarter of the engines drain.
func untilClose(l *lab) bool {
	l.engines.work = func(*attempt) (time.Duration, string) {
		return time.Duration(10+rand.IntN(30)) * time.Millisecond, "OK"
	}
	l.log.untilClose = l.trouble
	l.newEngines(8)
	b := l.newBroker("n1", settings(usualClasses(), 1), 192, 1024)
	b.start(l.rec)
	b.ready()
	traffic := &load{classes: []string{"lookup"}, clients: 10, pause: 60 * time.Millisecond}
	traffic.begin(l, b)
	time.Sleep(2 * time.Second)
	event := told{engines: l.engines.all[:2], at: time.Now(), back: time.Now().Add(time.Hour)}
	l.log.tell(host{event.engines[0], "terminating", 0}, host{event.engines[1], "terminating", 0})
	time.Sleep(12 * time.Second)
	l.rec.say("answers: %v", traffic.end())
	count, latest := l.lateSends([]told{event})
	l.rec.say("%d attempts began at draining engines more than 550 ms after the event, the latest after %.0f ms", count, ms(latest))
	return count > 0
}
