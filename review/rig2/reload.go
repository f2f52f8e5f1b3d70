package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["reload"] = reload }

// figure returns a whole number from the environment, or the usual one.
func figure(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// reload: new configurations in a row, which change the deadlines of the classes to and fro, under light traffic. The
// platform kills a broker that takes more memory than its limit, and so does this case.
func reload(l *lab) bool {
	limit, reloads := figure("MEMORY_MB", 32), figure("RELOADS", 30)
	const every = 1500 * time.Millisecond
	l.engines.work = func(*attempt) (time.Duration, string) {
		return time.Duration(20+rand.IntN(60)) * time.Millisecond, "OK"
	}
	l.newEngines(7)
	b := l.newBroker("n1", settings(usualClasses(), 1), limit, 512)
	b.start(l.rec)
	b.ready()
	traffic := &load{classes: []string{"lookup", "lookup", "lookup", "lookup", "route-report", "survey-load"}, clients: 10,
		pause: 200 * time.Millisecond}
	traffic.begin(l, b)
	peak, over := 0, 0
	for i := range reloads {
		if l.trouble {
			classes := usualClasses()
			for j := range classes {
				classes[j].giveUp += time.Duration((i+1)%2) * time.Second
			}
			b.settings = settings(classes, 1)
			b.write()
			b.signal(syscall.SIGHUP)
			l.rec.linef(time.Now(), "SIGHUP %d", i+1)
		}
		for end := time.Now().Add(every); time.Now().Before(end) && over < 3; time.Sleep(50 * time.Millisecond) {
			memory := heldKB([]*broker{b})
			peak = max(peak, memory)
			if over++; memory <= limit<<10 {
				over = 0
			}
		}
		l.rec.say("%d: %d KB, peak %d KB of %d", i+1, heldKB([]*broker{b}), peak, limit<<10)
		if !b.running() || over >= 3 {
			break
		}
	}
	crashed := !b.running() || over >= 3
	if crashed && b.running() {
		l.rec.say("over its limit in three samples running: killed, as by the platform")
		b.signal(syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
	}
	l.rec.say("answers: %v", traffic.end())
	return crashed
}
