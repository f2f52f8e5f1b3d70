package processpause

import "time"

// catchUpDuration is how long the sockets are read after a standstill before any timeout is judged.
const catchUpDuration = 5 * time.Millisecond

// Pacer decides when the loop runs a round. After a standstill it first leaves time to read what arrived meanwhile: no
// timeout may be judged before the answers that came within it are read, and requests of one order key, which clients
// space, must not be taken in another order. Times are those of the reducer.
type Pacer struct {
	timer      *time.Timer
	due        time.Duration // when the next wake-up is due
	catchingUp bool
}

// NewPacer returns a pacer whose first wake-up is due now.
func NewPacer(now time.Duration) *Pacer { return &Pacer{timer: time.NewTimer(0), due: now} }

// WakeUps is where the wake-ups arrive.
func (p *Pacer) WakeUps() <-chan time.Time { return p.timer.C }

// Stop ends the wake-ups.
func (p *Pacer) Stop() { p.timer.Stop() }

// Lag returns how long ago the wake-up was due; it is negative ahead of that.
func (p *Pacer) Lag(now time.Duration) time.Duration { return now - p.due }

// Ready reports whether the loop may run a round now. Where it may not, another wake-up is set.
func (p *Pacer) Ready(now time.Duration) bool {
	switch {
	case !p.catchingUp && p.Lag(now) > standstillThreshold:
		p.catchingUp = true
		p.WakeIn(now, catchUpDuration)
		return false
	case p.catchingUp && now < p.due:
		return false
	}
	p.catchingUp = false
	return true
}

// WakeIn sets the next wake-up to a time after now.
func (p *Pacer) WakeIn(now, wait time.Duration) {
	p.due = now + wait
	p.timer.Reset(wait)
}
