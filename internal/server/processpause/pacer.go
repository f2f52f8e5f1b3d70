package processpause

import "time"

// catchUpDuration is how long the sockets are read after a process pause before any timeout is evaluated.
const catchUpDuration = 5 * time.Millisecond

// Pacer determines when the loop runs an iteration. After a process pause it first reserves time to read pending data:
// no timeout may be evaluated before the responses that arrived in time are read, and requests of one order key, which
// clients send one after another, must not be accepted in a different order. Times are those of the reducer.
type Pacer struct {
	timer      *time.Timer
	due        time.Duration // when the next wake-up is due
	catchingUp bool          // pending data is being read after a process pause
}

// NewPacer returns a pacer whose first wake-up is due now.
func NewPacer(now time.Duration) *Pacer { return &Pacer{timer: time.NewTimer(0), due: now} }

// WakeUps returns the channel on which wake-ups arrive.
func (p *Pacer) WakeUps() <-chan time.Time { return p.timer.C }

// Stop stops the wake-ups.
func (p *Pacer) Stop() { p.timer.Stop() }

// Lag returns the time since the wake-up was due. It is negative before that time.
func (p *Pacer) Lag(now time.Duration) time.Duration { return now - p.due }

// Ready reports whether the loop may run an iteration now. If not, a later wake-up is scheduled.
func (p *Pacer) Ready(now time.Duration) bool {
	switch {
	case !p.catchingUp && p.Lag(now) > pauseThreshold:
		p.catchingUp = true
		p.WakeIn(now, catchUpDuration)
		return false
	case p.catchingUp && now < p.due:
		return false
	}
	p.catchingUp = false
	return true
}

// WakeIn schedules the next wake-up for the time now plus wait.
func (p *Pacer) WakeIn(now, wait time.Duration) {
	p.due = now + wait
	p.timer.Reset(wait)
}
