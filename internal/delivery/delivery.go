// Package delivery decides how figures get to one collector: when to connect, what to write next, what to hold and
// how to fold it while the collector is away, how fast to catch up, and what to call lost. It performs no I/O,
// reads no clock and starts no goroutine: events go in, actions come out. Times are by a clock that is never set.
package delivery

import (
	"math/rand/v2"
	"time"

	"wheatlane/internal/metrics"
)

// Config is what a destination keeps to.
type Config struct {
	Budget       int           // bytes of figures held; what is under way counts
	Most         int           // intervals that may wait; 0: as many as the budget takes
	LeastPause   time.Duration // before a second try to connect; doubled with each further one
	MostPause    time.Duration
	WriteTimeout time.Duration // without a line taken
	ReplayRate   int           // bytes a second of what has waited, at full speed
}

const (
	// mostSpan bounds what is folded into one interval. It is well under the time for which a name that left goes on
	// where it was, so that no interval holds two lives of one series.
	mostSpan = time.Hour
	// Catching up starts at the rate over slowStart and doubles as intervals are taken, once each rampEvery at the
	// most: a collector just back has others to take in as well.
	slowStart = 8
	rampEvery = time.Second
)

// Event is one thing that happened; see the types below. Conn is the number of the connection that it is of.
type Event interface{ event() }

type (
	// Offer is a new interval.
	Offer struct{ Interval *metrics.Interval }
	// Opened says that a connection is up.
	Opened struct{ Conn int }
	// Progress says that lines of the interval under way were taken, so many of it in all.
	Progress struct{ Conn, Lines int }
	// Wrote says that the interval under way was written whole.
	Wrote struct{ Conn int }
	// Broken says that a connection is no more, or did not come up. Of the interval under way so many lines in all
	// are out: the next connection goes on behind them.
	Broken struct{ Conn, Lines int }
	// Move says that the collector has another address. What was written in part is written there from its start.
	Move struct{}
	// Stop asks for an end within a time.
	Stop struct{ Within time.Duration }
)

func (Offer) event()    {}
func (Opened) event()   {}
func (Progress) event() {}
func (Wrote) event()    {}
func (Broken) event()   {}
func (Move) event()     {}
func (Stop) event()     {}

// Action is one thing to do; see the types below.
type Action interface{ action() }

type (
	// Open brings up a connection. Opened or Broken follows.
	Open struct{ Conn int }
	// Write writes an interval from a line on. Wrote or Broken follows.
	Write struct {
		Conn     int
		Interval *metrics.Interval
		From     int
	}
	// Close ends a connection. Broken follows.
	Close struct{ Conn int }
	// Done says that nothing more will be done.
	Done struct{}
)

func (Open) action()  {}
func (Write) action() {}
func (Close) action() {}
func (Done) action()  {}

// Stats is what a destination tells of itself.
type Stats struct {
	Held        int     // bytes
	Waiting     uint64  // intervals, each of those folded into one counted
	Delivered   uint64  // intervals written, each of those folded into one counted
	Lost        uint64  // intervals that will never be written
	LostSamples float64 // values of distributions that will never be written
	Breaks      uint64
}

// item is an interval that waits.
type item struct {
	v     *metrics.Interval
	bytes int
	from  int  // lines of it that are out
	fresh bool // it came last and was not tried yet
}

type state int

const (
	down state = iota
	opening
	up
	closing // it was told to end
)

// Machine decides for one destination. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	out   []Action
	queue []*item // oldest first
	under *item   // what is being written; it stays in the queue
	stats Stats

	state    state
	conn     int
	tries    int           // to connect, since something was last written
	moved    bool          // it is told to end as the collector has another address
	retryAt  time.Duration // when to connect again
	heardAt  time.Duration // when a line was last taken, or the write began
	replayAt time.Duration // when what has waited may go on
	rampAt   time.Duration // when the rate next doubles
	rate     float64

	stopping bool
	stopAt   time.Duration
	done     bool
}

// New returns a machine whose jitter is drawn from a seed.
func New(cfg Config, seed uint64) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Stats are the figures of the moment.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Held = m.held()
	for _, it := range m.queue {
		s.Waiting += it.v.Of
	}
	return s
}

func (m *Machine) held() (n int) {
	for _, it := range m.queue {
		n += it.bytes
	}
	return n
}

// Next is when Tick has something to do; ok is false if there is nothing.
func (m *Machine) Next() (at time.Duration, ok bool) {
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if m.done {
		return 0, false
	}
	if m.stopping {
		sooner(m.stopAt)
	}
	switch {
	case m.state == down && len(m.queue) > 0:
		sooner(m.retryAt)
	case m.state == up && m.under != nil:
		sooner(m.heardAt + m.cfg.WriteTimeout)
	case m.state == up && len(m.queue) > 0:
		sooner(m.replayAt)
	}
	return at, ok
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) []Action {
	m.decide(now)
	return m.take()
}

// Apply takes one event.
func (m *Machine) Apply(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Offer:
		m.offer(ev.Interval)
	case Opened:
		if ev.Conn == m.conn && m.state == opening {
			m.state = up
			m.replayAt, m.rampAt = now, now+rampEvery
			m.rate = max(1, float64(m.cfg.ReplayRate)/slowStart)
		}
	case Progress:
		if ev.Conn == m.conn && m.under != nil {
			m.heardAt = now
		}
	case Wrote:
		if ev.Conn == m.conn && m.under != nil {
			m.wrote(now)
		}
	case Broken:
		if ev.Conn == m.conn && m.state != down {
			m.broken(now, ev.Lines)
		}
	case Move:
		for _, it := range m.queue {
			it.from = 0
		}
		m.tries, m.retryAt = 0, now
		m.moved = m.state != down
		m.end()
	case Stop:
		m.stopping, m.stopAt = true, now+ev.Within
		m.tries, m.retryAt, m.replayAt = 0, now, now // the last try is made at once
	}
	m.decide(now)
	return m.take()
}

func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

// offer holds a new interval and makes room for it.
func (m *Machine) offer(v *metrics.Interval) {
	if m.done {
		m.lose(v)
		return
	}
	for _, it := range m.queue {
		it.fresh = false
	}
	m.queue = append(m.queue, &item{v: v, bytes: v.Bytes(), fresh: true})
	m.fit()
}

// fit keeps what is held within bounds. Intervals are folded before any are thinned, and thinned before any are
// lost; those that are out in part stay as they are, as their lines are counted.
func (m *Machine) fit() {
	for over := true; over; {
		waiting := len(m.queue)
		if m.under != nil {
			waiting--
		}
		over = m.held() > m.cfg.Budget || m.cfg.Most > 0 && waiting > m.cfg.Most
		over = over && (m.fold() || m.thin() || m.drop())
	}
}

// fixed tells whether an interval must stay as it is.
func (m *Machine) fixed(it *item) bool { return it == m.under || it.from > 0 }

// fold makes one of the two neighbours that are the least together, the oldest such: so an outage is told at an
// even grain that coarsens as it lasts. The newest interval is folded only where no more than one may be held.
func (m *Machine) fold() bool {
	best, least := -1, uint64(0)
	last := len(m.queue) - 1
	if m.cfg.Most == 1 {
		last++
	}
	for i := 0; i+1 < last; i++ {
		a, b := m.queue[i], m.queue[i+1]
		if m.fixed(a) || m.fixed(b) || a.v.Took+b.v.Took > mostSpan {
			continue
		}
		if n := a.v.Of + b.v.Of; best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 {
		return false
	}
	a, b := m.queue[best], m.queue[best+1]
	v, err := metrics.Fold(a.v, b.v)
	if err != nil { // guards against a sketch that can't be read; what it told is lost, the counts are not
		m.stats.LostSamples += a.v.Samples()
		if v, err = metrics.Fold(a.v.WithoutSpreads(), b.v); err != nil {
			return false
		}
	}
	m.queue[best] = &item{v: v, bytes: v.Bytes(), fresh: b.fresh}
	m.queue = append(m.queue[:best+1], m.queue[best+2:]...)
	return true
}

// thin takes the distributions off the oldest interval that has some. The newest one goes last.
func (m *Machine) thin() bool {
	if m.held() <= m.cfg.Budget { // too many intervals are not helped by thinner ones
		return false
	}
	for _, it := range m.queue {
		if m.fixed(it) || len(it.v.Spreads) == 0 {
			continue
		}
		m.stats.LostSamples += it.v.Samples()
		it.v = it.v.WithoutSpreads()
		it.bytes = it.v.Bytes()
		return true
	}
	return false
}

// drop lets the oldest interval go that is not under way.
func (m *Machine) drop() bool {
	for i, it := range m.queue {
		if it != m.under {
			m.lose(it.v)
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (m *Machine) lose(v *metrics.Interval) {
	m.stats.Lost += v.Of
	m.stats.LostSamples += v.Samples()
}

// wrote lets go of what was under way.
func (m *Machine) wrote(now time.Duration) {
	it := m.under
	m.under = nil
	for i, o := range m.queue {
		if o == it {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			break
		}
	}
	m.stats.Delivered += it.v.Of
	m.tries = 0
	if now >= m.rampAt {
		m.rate, m.rampAt = min(2*m.rate, float64(m.cfg.ReplayRate)), now+rampEvery
	}
	m.replayAt = now + time.Duration(float64(it.bytes)/m.rate*float64(time.Second))
}

// broken waits before the next try, longer each time, by a part drawn at random so that brokers don't come back all
// at once.
func (m *Machine) broken(now time.Duration, lines int) {
	moved := m.moved
	if m.under != nil && !moved {
		m.under.from = max(m.under.from, lines)
	}
	m.under, m.state, m.moved = nil, down, false
	if moved { // no fault of the collector's
		return
	}
	m.stats.Breaks++
	pause := min(m.cfg.MostPause, m.cfg.LeastPause<<min(m.tries, 20))
	m.tries++
	m.retryAt = now + pause/2 + time.Duration(m.rng.Int64N(int64(pause/2)+1))
	m.fit()
}

// end closes the connection.
func (m *Machine) end() {
	if m.state == opening || m.state == up {
		m.state = closing
		m.do(Close{m.conn})
	}
}

// decide does whatever is due.
func (m *Machine) decide(now time.Duration) {
	switch {
	case m.done:
	case m.stopping && (now >= m.stopAt || len(m.queue) == 0):
		m.finish()
	case m.state == down && len(m.queue) > 0 && now >= m.retryAt:
		m.conn++
		m.state = opening
		m.do(Open{m.conn})
	case m.state == up && m.under != nil && now >= m.heardAt+m.cfg.WriteTimeout:
		m.end() // it takes nothing
	case m.state == up && m.under == nil && len(m.queue) > 0:
		m.write(now)
	}
}

// write starts the newest interval if it was not tried yet, else the oldest when its time has come: what is going
// on now is worth more than what was.
func (m *Machine) write(now time.Duration) {
	it := m.queue[len(m.queue)-1]
	if !it.fresh {
		if now < m.replayAt && !m.stopping {
			return
		}
		it = m.queue[0]
	}
	it.fresh = false
	m.under, m.heardAt = it, now
	m.do(Write{m.conn, it.v, it.from})
}

// finish counts as lost what is left.
func (m *Machine) finish() {
	for _, it := range m.queue {
		m.lose(it.v)
	}
	m.queue, m.under = nil, nil
	m.end()
	m.done = true
	m.do(Done{})
}
