// Package delivery decides how intervals get to one collector: when to connect and how long to back off, what
// to write next, what to hold and how to fold it while the collector is away, how fast to replay a backlog,
// and what to count lost. It performs no I/O, reads no clock and starts no goroutine: events go in, actions
// come out. Times are by a monotonic clock.
package delivery

import (
	"math/rand/v2"
	"time"

	"wheatlane/internal/metrics"
)

// Config is how a destination is delivered to.
type Config struct {
	MemoryBudget   int           // bytes of intervals held, with the one being written
	MaxWaiting     int           // intervals that may wait; 0: as many as the budget takes
	InitialBackoff time.Duration // between connections after a failure; doubled with each further one
	MaxBackoff     time.Duration // that it is doubled to
	WriteTimeout   time.Duration // of a connection, without progress
	ReplayRate     int           // bytes a second of a backlog, at full speed
}

// Stats are counts of a destination, and what it holds. Of folded intervals each that was folded counts.
type Stats struct {
	HeldBytes          int     // bytes
	WaitingIntervals   uint64  // held, with the one being written
	DeliveredIntervals uint64  // written completely
	LostIntervals      uint64  // intervals that will never be written
	LostSamples        float64 // values of distributions that will never be written
	ConnectionFailures uint64  // connections that broke or were not established
}

type connectionState int

const (
	disconnected connectionState = iota
	connecting
	connected
	closing // by a Close; Disconnected follows
)

// Machine decides for one destination. It is not safe for concurrent use.
type Machine struct {
	writeTimeout time.Duration
	actions      []Action
	queue        queue
	delivered    uint64
	failures     uint64

	state        connectionState
	conn         int // number of the present or last connection
	moving       bool
	backoff      backoff
	replay       replayPacer
	lastProgress time.Duration // when records were last sent, or the write started

	stopping     bool
	stopDeadline time.Duration
	stopped      bool
}

// New returns a machine whose jitter is drawn from a seed.
func New(cfg Config, seed uint64) *Machine {
	return &Machine{
		writeTimeout: cfg.WriteTimeout,
		queue:        queue{memoryBudget: cfg.MemoryBudget, maxWaiting: cfg.MaxWaiting},
		backoff:      backoff{initial: cfg.InitialBackoff, max: cfg.MaxBackoff, rng: rand.New(rand.NewPCG(seed, 0))},
		replay:       replayPacer{maxRate: float64(cfg.ReplayRate)},
	}
}

// Stats are the counts as they stand.
func (m *Machine) Stats() Stats {
	return Stats{
		HeldBytes:          m.queue.heldBytes(),
		WaitingIntervals:   m.queue.foldedCount(),
		DeliveredIntervals: m.delivered,
		LostIntervals:      m.queue.lostIntervals,
		LostSamples:        m.queue.lostSamples,
		ConnectionFailures: m.failures,
	}
}

// NextDeadline is when Tick has something to do; ok is false if there is nothing.
func (m *Machine) NextDeadline() (at time.Duration, ok bool) {
	if m.stopped {
		return 0, false
	}
	at, ok = m.connectionDeadline()
	if m.stopping && (!ok || m.stopDeadline < at) {
		return m.stopDeadline, true
	}
	return at, ok
}

func (m *Machine) connectionDeadline() (at time.Duration, ok bool) {
	switch {
	case m.state == disconnected && !m.queue.empty():
		return m.backoff.retryAt, true
	case m.state == connected && m.queue.writing != nil:
		return m.lastProgress + m.writeTimeout, true
	case m.state == connected && !m.queue.empty():
		return m.replay.next, true
	}
	return 0, false
}

// Tick returns the actions that are due.
func (m *Machine) Tick(now time.Duration) []Action {
	m.advance(now)
	return m.takeActions()
}

// Apply takes an event and returns the actions that follow.
func (m *Machine) Apply(now time.Duration, event Event) []Action {
	switch ev := event.(type) {
	case IntervalAdded:
		m.offer(ev.Interval)
	case Connected:
		if ev.Conn == m.conn && m.state == connecting {
			m.state = connected
			m.replay.start(now)
		}
	case Progress:
		if ev.Conn == m.conn && m.queue.writing != nil {
			m.lastProgress = now
		}
	case WriteCompleted:
		if ev.Conn == m.conn && m.queue.writing != nil {
			m.writeCompleted(now)
		}
	case Disconnected:
		if ev.Conn == m.conn && m.state != disconnected {
			m.disconnected(now, ev.Records)
		}
	case AddressChanged:
		m.queue.rewind()
		m.backoff.reset(now)
		m.moving = m.state != disconnected
		m.closeConnection()
	case StopRequested:
		m.stopping, m.stopDeadline = true, now+ev.Timeout
		m.backoff.reset(now) // a last attempt is made at once
		m.replay.next = now
	}
	m.advance(now)
	return m.takeActions()
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) offer(interval *metrics.Interval) {
	if m.stopped {
		m.queue.countLost(interval)
		return
	}
	m.queue.add(interval)
}

// writeCompleted counts as delivered what was being written.
func (m *Machine) writeCompleted(now time.Duration) {
	written := m.queue.complete()
	m.delivered += written.interval.MergedCount
	m.backoff.succeeded()
	m.replay.sent(now, written.memoryBytes)
}

// disconnected backs off, unless the connection was closed to move to another address.
func (m *Machine) disconnected(now time.Duration, records int) {
	moving, writing := m.moving, m.queue.writing
	m.queue.writing, m.state, m.moving = nil, disconnected, false
	if moving {
		return
	}
	if writing != nil {
		writing.recordsSent = max(writing.recordsSent, records)
	}
	m.failures++
	m.backoff.failed(now)
	m.queue.enforceLimits()
}

func (m *Machine) closeConnection() {
	if m.state == connecting || m.state == connected {
		m.state = closing
		m.emit(Close{m.conn})
	}
}

// advance starts what is due.
func (m *Machine) advance(now time.Duration) {
	switch {
	case m.stopped:
	case m.stopping && (now >= m.stopDeadline || m.queue.empty()):
		m.stop()
	case m.state == disconnected && !m.queue.empty() && now >= m.backoff.retryAt:
		m.conn++
		m.state = connecting
		m.emit(Connect{m.conn})
	case m.state == connected && m.queue.writing != nil && now >= m.lastProgress+m.writeTimeout:
		m.closeConnection() // the collector reads nothing
	case m.state == connected && m.queue.writing == nil && !m.queue.empty():
		m.startWrite(now)
	}
}

// startWrite writes the newest interval if that was not tried yet, else the oldest when its time has come:
// the present matters more than the past.
func (m *Machine) startWrite(now time.Duration) {
	next := m.queue.newest()
	if !next.untried {
		if now < m.replay.next && !m.stopping {
			return
		}
		next = m.queue.oldest()
	}
	next.untried = false
	m.queue.writing = next
	m.lastProgress = now
	m.emit(Write{Conn: m.conn, Interval: next.interval, FirstRecord: next.recordsSent})
}

func (m *Machine) stop() {
	m.queue.loseAll()
	m.closeConnection()
	m.stopped = true
	m.emit(Stopped{})
}
