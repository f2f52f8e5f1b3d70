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

// logThrottle keeps lines about one subject apart.
type logThrottle struct{ lastAt map[string]time.Duration }

func newLogThrottle() logThrottle { return logThrottle{lastAt: map[string]time.Duration{}} }

// allows says whether a line about a subject may be logged now, and counts it as logged if so.
func (l *logThrottle) allows(subject string, now time.Duration) bool {
	if at, logged := l.lastAt[subject]; logged && now-at < logInterval {
		return false
	}
	l.lastAt[subject] = now
	return true
}

// forget drops what is known of a subject that is gone.
func (l *logThrottle) forget(subject string) { delete(l.lastAt, subject) }

// Subjects of the lines about an engine.
func ejectedSubject(engine string) string  { return "ejected " + engine }
func restoredSubject(engine string) string { return "restored " + engine }
