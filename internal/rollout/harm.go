// Package rollout decides what becomes of a new configuration: whether it is tried, how long, by which test it is kept
// or rolled back, and what happens to a second one meanwhile. It performs no I/O, reads no clock and starts no
// goroutine: events go in, actions come out.
package rollout

import "math"

// Counts are what became of requests of a class in some time.
type Counts struct {
	Ended float64 // requests that ended, clients that left apart
	Bad   float64 // those of them that were refused, late or failed
}

// Add adds up.
func (c *Counts) Add(o Counts) { c.Ended, c.Bad = c.Ended+o.Ended, c.Bad+o.Bad }

// Share is the part that was bad.
func (c Counts) Share() float64 {
	if c.Ended <= 0 {
		return 0
	}
	return c.Bad / c.Ended
}

// bets are the stakes that a test mixes, as parts of the most that can be staked: small ones find small harm late, and
// large ones find large harm soon.
var bets = [...]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7}

// Test is a sequential test of whether the share of bad ends of a class is above a limit. It may be looked at as often
// as one likes: if the share is at or below the limit, the chance that Evidence ever reaches 1/alpha is alpha at the
// most (Ville 1939; testing by betting, Shafer 2021). The zero value has seen nothing.
type Test struct {
	log [len(bets)]float64 // of the capital of each bet
}

// Take takes what ended since the last look, with the limit that holds for it.
func (t *Test) Take(c Counts, limit float64) {
	limit = min(max(limit, 1e-6), 1-1e-6)
	good := max(0, c.Ended-c.Bad)
	for i, b := range bets {
		stake := b / limit // at 1/limit one good end would lose all
		t.log[i] += c.Bad*math.Log1p(stake*(1-limit)) + good*math.Log1p(-stake*limit)
	}
}

// Evidence is by how much the seen speaks for harm: the mean capital of the bets.
func (t *Test) Evidence() float64 {
	sum := 0.0
	for _, l := range t.log {
		sum += math.Exp(min(l, 700)) // e^700 is beyond any level that is asked for
	}
	return sum / float64(len(bets))
}

// Limit is the share of bad ends that a class may have on trial: what it had before, as far up as chance may have hidden
// (the upper bound of Wilson's interval at z standard deviations), and a margin. The margin grows with the load where
// that is above what it was: a busier hour alone must not pass for harm.
func Limit(before Counts, z, margin, load float64) float64 {
	upper := 1.0
	if n := before.Ended; n > 0 {
		p, zz := before.Share(), z*z
		upper = (p + zz/(2*n) + z*math.Sqrt(p*(1-p)/n+zz/(4*n*n))) / (1 + zz/n)
	}
	return min(1, upper+margin+loadMargin*max(0, load-1))
}

// loadMargin is the part of the requests that may end badly for each doubling of the load.
const loadMargin = 0.2
