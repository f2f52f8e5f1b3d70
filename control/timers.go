package control

import "time"

const (
	tickInterval = 100 * time.Millisecond // time between two looks at what waits
	tickToken    = 1                      // token of the controller's own tick
	lastOwnToken = 16                     // tokens up to it are kept for the controller itself
	logInterval  = 5 * time.Second        // no line about one subject is logged sooner again
)

// timerSet holds what is to be called when a timer fires, by token.
type timerSet struct {
	callbacks map[uint64]func()
	lastToken uint64
}

func newTimerSet() timerSet {
	return timerSet{callbacks: map[uint64]func(){}, lastToken: lastOwnToken}
}

// add stores a callback and returns its token.
func (t *timerSet) add(callback func()) uint64 {
	t.lastToken++
	t.callbacks[t.lastToken] = callback
	return t.lastToken
}

// fire calls what was stored under a token, once; unknown tokens are passed over.
func (t *timerSet) fire(token uint64) {
	if callback := t.callbacks[token]; callback != nil {
		delete(t.callbacks, token)
		callback()
	}
}

// logSubject is what a line for the operators is about.
type logSubject struct {
	event  engineEvent
	engine string
}

// engineEvent is what happened to an engine.
type engineEvent int

const (
	ejected engineEvent = iota
	restored
)

// logThrottle keeps lines about one subject apart.
type logThrottle struct{ lastAt map[logSubject]time.Duration }

func newLogThrottle() logThrottle { return logThrottle{lastAt: map[logSubject]time.Duration{}} }

// allows reports whether a line about a subject may be logged now, and counts it as logged if so.
func (l *logThrottle) allows(subject logSubject, now time.Duration) bool {
	if at, logged := l.lastAt[subject]; logged && now-at < logInterval {
		return false
	}
	l.lastAt[subject] = now
	return true
}

// forgetEngine drops what is known of an engine that is gone.
func (l *logThrottle) forgetEngine(engine string) {
	delete(l.lastAt, logSubject{ejected, engine})
	delete(l.lastAt, logSubject{restored, engine})
}
