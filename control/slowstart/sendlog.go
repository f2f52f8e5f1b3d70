package slowstart

import (
	"slices"
	"time"

	"wheatlane/control/units"
)

// SendLog records the work that this broker sent to an engine within an overload window.
type SendLog struct{ sends []send }

type send struct {
	sentAt time.Duration
	work   units.ThreadSeconds
}

// Add records work sent now.
func (l *SendLog) Add(now time.Duration, work units.ThreadSeconds) {
	l.sends = append(l.sends, send{now, work})
}

// WorkSince returns the work sent after a time plus the work of the next request. It removes earlier sends.
func (l *SendLog) WorkSince(since time.Duration, next units.ThreadSeconds) units.ThreadSeconds {
	l.sends = slices.DeleteFunc(l.sends, func(s send) bool { return s.sentAt <= since })
	work := next
	for _, s := range l.sends {
		work += s.work
	}
	return work
}
