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
	MaxWaiting   int           // intervals that may wait; 0: as many as the budget takes
	LeastPause   time.Duration // before a second try to connect; doubled with each further one
	MostPause    time.Duration
	WriteTimeout time.Duration // without a line taken
	ReplayRate   int           // bytes a second of what has waited, at full speed
}

const (
	// maxFoldedSpan bounds what is folded into one interval. It is well under the time for which a name that left goes on
	// where it was, so that no interval holds two lives of one series.
	maxFoldedSpan = time.Hour
	// Catching up starts at the rate over slowStart and doubles as intervals are taken, once each rampEvery at the
	// most: a collector just back has others to take in as well.
	slowStartDivisor = 8
	slowStartStep    = time.Second
)

// Event is one thing that happened; see the types below. Conn is the number of the connection that it is of.
type Event interface{ event() }

type (
	// Offer is a new interval.
	Offer struct{ Interval *metrics.Interval }
	// Connected says that a connection is up.
	Connected struct{ Conn int }
	// Progress says that lines of the interval under way were taken, so many of it in all.
	Progress struct{ Conn, Records int }
	// WriteCompleted says that the interval under way was written whole.
	WriteCompleted struct{ Conn int }
	// Disconnected says that a connection is no more, or did not come up. Of the interval under way so many lines in all
	// are out: the next connection goes on behind them.
	Disconnected struct{ Conn, Records int }
	// AddressChanged says that the collector has another address. What was written in part is written there from its start.
	AddressChanged struct{}
	// StopRequested asks for an end within a time.
	StopRequested struct{ Timeout time.Duration }
)

func (Offer) event()          {}
func (Connected) event()      {}
func (Progress) event()       {}
func (WriteCompleted) event() {}
func (Disconnected) event()   {}
func (AddressChanged) event() {}
func (StopRequested) event()  {}

// Action is one thing to do; see the types below.
type Action interface{ action() }

type (
	// Connect brings up a connection. Opened or Broken follows.
	Connect struct{ Conn int }
	// Write writes an interval from a line on. Wrote or Broken follows.
	Write struct {
		Conn        int
		Interval    *metrics.Interval
		FirstRecord int
	}
	// Close ends a connection. Broken follows.
	Close struct{ Conn int }
	// Stopped says that nothing more will be done.
	Stopped struct{}
)

func (Connect) action() {}
func (Write) action()   {}
func (Close) action()   {}
func (Stopped) action() {}

// Stats is what a destination tells of itself.
type Stats struct {
	Held               int     // bytes
	WaitingIntervals   uint64  // intervals, each of those folded into one counted
	DeliveredIntervals uint64  // intervals written, each of those folded into one counted
	Lost               uint64  // intervals that will never be written
	LostSamples        float64 // values of distributions that will never be written
	ConnectionFailures uint64
}

// queuedInterval is an interval that waits.
type queuedInterval struct {
	interval    *metrics.Interval
	bytes       int
	recordsSent int  // lines of it that are out
	untried     bool // it came last and was not tried yet
}

type connectionState int

const (
	disconnected connectionState = iota
	connecting
	connected
	closing // it was told to end
)

// Machine decides for one destination. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	actions []Action
	queue   []*queuedInterval // oldest first
	writing *queuedInterval   // what is being written; it stays in the queue
	stats   Stats

	state            connectionState
	connection       int
	failures         int           // to connect, since something was last written
	addressChanged   bool          // it is told to end as the collector has another address
	retryAt          time.Duration // when to connect again
	lastProgress     time.Duration // when a line was last taken, or the write began
	nextReplay       time.Duration // when what has waited may go on
	nextRateIncrease time.Duration // when the rate next doubles
	replayRate       float64

	stopping     bool
	stopDeadline time.Duration
	stopped      bool
}

// New returns a machine whose jitter is drawn from a seed.
func New(cfg Config, seed uint64) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Stats are the figures of the moment.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Held = m.heldBytes()
	for _, it := range m.queue {
		s.WaitingIntervals += it.interval.FoldedCount
	}
	return s
}

func (m *Machine) heldBytes() (n int) {
	for _, it := range m.queue {
		n += it.bytes
	}
	return n
}

// NextDeadline is when Tick has something to do; ok is false if there is nothing.
func (m *Machine) NextDeadline() (at time.Duration, ok bool) {
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if m.stopped {
		return 0, false
	}
	if m.stopping {
		sooner(m.stopDeadline)
	}
	switch {
	case m.state == disconnected && len(m.queue) > 0:
		sooner(m.retryAt)
	case m.state == connected && m.writing != nil:
		sooner(m.lastProgress + m.cfg.WriteTimeout)
	case m.state == connected && len(m.queue) > 0:
		sooner(m.nextReplay)
	}
	return at, ok
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) []Action {
	m.advance(now)
	return m.takeActions()
}

// Apply takes one event.
func (m *Machine) Apply(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Offer:
		m.add(ev.Interval)
	case Connected:
		if ev.Conn == m.connection && m.state == connecting {
			m.state = connected
			m.nextReplay, m.nextRateIncrease = now, now+slowStartStep
			m.replayRate = max(1, float64(m.cfg.ReplayRate)/slowStartDivisor)
		}
	case Progress:
		if ev.Conn == m.connection && m.writing != nil {
			m.lastProgress = now
		}
	case WriteCompleted:
		if ev.Conn == m.connection && m.writing != nil {
			m.writeCompleted(now)
		}
	case Disconnected:
		if ev.Conn == m.connection && m.state != disconnected {
			m.disconnected(now, ev.Records)
		}
	case AddressChanged:
		for _, it := range m.queue {
			it.recordsSent = 0
		}
		m.failures, m.retryAt = 0, now
		m.addressChanged = m.state != disconnected
		m.closeConnection()
	case StopRequested:
		m.stopping, m.stopDeadline = true, now+ev.Timeout
		m.failures, m.retryAt, m.nextReplay = 0, now, now // the last try is made at once
	}
	m.advance(now)
	return m.takeActions()
}

func (m *Machine) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// add holds a new interval and makes room for it.
func (m *Machine) add(v *metrics.Interval) {
	if m.stopped {
		m.countLost(v)
		return
	}
	for _, it := range m.queue {
		it.untried = false
	}
	m.queue = append(m.queue, &queuedInterval{interval: v, bytes: v.MemoryBytes(), untried: true})
	m.enforceLimits()
}

// enforceLimits keeps what is held within bounds. Intervals are folded before any are thinned, and thinned before any are
// lost; those that are out in part stay as they are, as their lines are counted.
func (m *Machine) enforceLimits() {
	for over := true; over; {
		waiting := len(m.queue)
		if m.writing != nil {
			waiting--
		}
		over = m.heldBytes() > m.cfg.Budget || m.cfg.MaxWaiting > 0 && waiting > m.cfg.MaxWaiting
		over = over && (m.foldNeighbors() || m.dropDistributions() || m.dropOldest())
	}
}

// mustStay tells whether an interval must stay as it is.
func (m *Machine) mustStay(it *queuedInterval) bool { return it == m.writing || it.recordsSent > 0 }

// foldNeighbors makes one of the two neighbours that are the least together, the oldest such: so an outage is told at an
// even grain that coarsens as it lasts. The newest interval is folded only where no more than one may be held.
func (m *Machine) foldNeighbors() bool {
	best, least := -1, uint64(0)
	last := len(m.queue) - 1
	if m.cfg.MaxWaiting == 1 {
		last++
	}
	for i := 0; i+1 < last; i++ {
		a, b := m.queue[i], m.queue[i+1]
		if m.mustStay(a) || m.mustStay(b) || a.interval.Duration+b.interval.Duration > maxFoldedSpan {
			continue
		}
		if n := a.interval.FoldedCount + b.interval.FoldedCount; best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 {
		return false
	}
	a, b := m.queue[best], m.queue[best+1]
	v, err := metrics.Fold(a.interval, b.interval)
	if err != nil { // guards against a sketch that can't be read; what it told is lost, the counts are not
		m.stats.LostSamples += a.interval.SampleCount()
		if v, err = metrics.Fold(a.interval.WithoutDistributions(), b.interval); err != nil {
			return false
		}
	}
	m.queue[best] = &queuedInterval{interval: v, bytes: v.MemoryBytes(), untried: b.untried}
	m.queue = append(m.queue[:best+1], m.queue[best+2:]...)
	return true
}

// dropDistributions takes the distributions off the oldest interval that has some. The newest one goes last.
func (m *Machine) dropDistributions() bool {
	if m.heldBytes() <= m.cfg.Budget { // too many intervals are not helped by thinner ones
		return false
	}
	for _, it := range m.queue {
		if m.mustStay(it) || len(it.interval.Distributions) == 0 {
			continue
		}
		m.stats.LostSamples += it.interval.SampleCount()
		it.interval = it.interval.WithoutDistributions()
		it.bytes = it.interval.MemoryBytes()
		return true
	}
	return false
}

// dropOldest lets the oldest interval go that is not under way.
func (m *Machine) dropOldest() bool {
	for i, it := range m.queue {
		if it != m.writing {
			m.countLost(it.interval)
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (m *Machine) countLost(v *metrics.Interval) {
	m.stats.Lost += v.FoldedCount
	m.stats.LostSamples += v.SampleCount()
}

// writeCompleted lets go of what was under way.
func (m *Machine) writeCompleted(now time.Duration) {
	it := m.writing
	m.writing = nil
	for i, o := range m.queue {
		if o == it {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			break
		}
	}
	m.stats.DeliveredIntervals += it.interval.FoldedCount
	m.failures = 0
	if now >= m.nextRateIncrease {
		m.replayRate, m.nextRateIncrease = min(2*m.replayRate, float64(m.cfg.ReplayRate)), now+slowStartStep
	}
	m.nextReplay = now + time.Duration(float64(it.bytes)/m.replayRate*float64(time.Second))
}

// disconnected waits before the next try, longer each time, by a part drawn at random so that brokers don't come back all
// at once.
func (m *Machine) disconnected(now time.Duration, lines int) {
	moved := m.addressChanged
	if m.writing != nil && !moved {
		m.writing.recordsSent = max(m.writing.recordsSent, lines)
	}
	m.writing, m.state, m.addressChanged = nil, disconnected, false
	if moved { // no fault of the collector's
		return
	}
	m.stats.ConnectionFailures++
	pause := min(m.cfg.MostPause, m.cfg.LeastPause<<min(m.failures, 20))
	m.failures++
	m.retryAt = now + pause/2 + time.Duration(m.rng.Int64N(int64(pause/2)+1))
	m.enforceLimits()
}

// closeConnection closes the connection.
func (m *Machine) closeConnection() {
	if m.state == connecting || m.state == connected {
		m.state = closing
		m.emit(Close{m.connection})
	}
}

// advance does whatever is due.
func (m *Machine) advance(now time.Duration) {
	switch {
	case m.stopped:
	case m.stopping && (now >= m.stopDeadline || len(m.queue) == 0):
		m.stop()
	case m.state == disconnected && len(m.queue) > 0 && now >= m.retryAt:
		m.connection++
		m.state = connecting
		m.emit(Connect{m.connection})
	case m.state == connected && m.writing != nil && now >= m.lastProgress+m.cfg.WriteTimeout:
		m.closeConnection() // it takes nothing
	case m.state == connected && m.writing == nil && len(m.queue) > 0:
		m.startWrite(now)
	}
}

// startWrite starts the newest interval if it was not tried yet, else the oldest when its time has come: what is going
// on now is worth more than what was.
func (m *Machine) startWrite(now time.Duration) {
	it := m.queue[len(m.queue)-1]
	if !it.untried {
		if now < m.nextReplay && !m.stopping {
			return
		}
		it = m.queue[0]
	}
	it.untried = false
	m.writing, m.lastProgress = it, now
	m.emit(Write{m.connection, it.interval, it.recordsSent})
}

// stop counts as lost what is left.
func (m *Machine) stop() {
	for _, it := range m.queue {
		m.countLost(it.interval)
	}
	m.queue, m.writing = nil, nil
	m.closeConnection()
	m.stopped = true
	m.emit(Stopped{})
}
