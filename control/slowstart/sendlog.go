package slowstart

import (
	"slices"
	"time"

	"wheatlane/control/units"
)

// SendLog is the work that this broker has sent an engine within an overload window.
type SendLog struct{ sends []send }

type send struct {
	sentAt time.Duration
	work   units.ThreadSeconds
}

// Add records work that is sent now.
func (l *SendLog) Add(now time.Duration, work units.ThreadSeconds) {
	l.sends = append(l.sends, send{now, work})
}

// WorkSince is the work sent after a time, and that of one more request. It drops what was sent before.
func (l *SendLog) WorkSince(since time.Duration, next units.ThreadSeconds) units.ThreadSeconds {
	l.sends = slices.DeleteFunc(l.sends, func(s send) bool { return s.sentAt <= since })
	work := next
	for _, s := range l.sends {
		work += s.work
	}
	return work
}
