// Package delivery decides how intervals are delivered to one collector: when to connect and how long to back off,
// which interval to write next, which intervals to hold and merge while the collector is unavailable, how fast to
// replay a backlog, and what to count as lost. It performs no I/O, reads no clock and starts no goroutine: events go
// in, actions come out. Times are of a monotonic clock.
package delivery

import (
	"math/rand/v2"
	"time"

	"wheatlane/internal/metrics"
)

// Config configures the delivery to one destination.
type Config struct {
	MemoryBudget        int           // bytes of intervals held, including the one being written
	MaxWaitingIntervals int           // maximum number of waiting intervals; 0: limited by MemoryBudget only
	InitialBackoff      time.Duration // between connections after the first failure; doubles with each further one
	MaxBackoff          time.Duration // upper limit of the backoff
	WriteTimeout        time.Duration // a write without progress for this long closes the connection
	ReplayRate          int           // bytes per second of a backlog after slow start
}

// Stats holds counters of a destination and the size of its queue. A merged interval counts as the intervals that it
// was merged from.
type Stats struct {
	HeldBytes          int     // bytes
	WaitingIntervals   uint64  // held, including the one being written
	DeliveredIntervals uint64  // written completely
	LostIntervals      uint64  // intervals that will never be written
	LostSamples        float64 // samples of distributions that will never be written
	ConnectionFailures uint64  // connections that failed or were not established
}

type connectionState int

const (
	disconnected connectionState = iota
	connecting
	connected
	closing // Close was emitted; Disconnected follows
)

// Machine is the state machine of one destination. It is not safe for concurrent use.
type Machine struct {
	writeTimeout time.Duration
	actions      []Action
	queue        queue
	delivered    uint64
	failures     uint64

	state        connectionState
	conn         int  // number of the current or last connection
	moving       bool // the connection is being closed as the collector's address changed
	backoff      backoff
	replay       replayPacer
	lastProgress time.Duration // last time that records were sent or a write started

	stopping     bool
	stopDeadline time.Duration
	stopped      bool
}

// New returns a machine whose backoff jitter is seeded with seed.
func New(cfg Config, seed uint64) *Machine {
	return &Machine{
		writeTimeout: cfg.WriteTimeout,
		queue:        queue{memoryBudget: cfg.MemoryBudget, maxWaiting: cfg.MaxWaitingIntervals},
		backoff:      backoff{initial: cfg.InitialBackoff, max: cfg.MaxBackoff, rng: rand.New(rand.NewPCG(seed, 0))},
		replay:       replayPacer{maxRate: float64(cfg.ReplayRate)},
	}
}

// Stats returns the current counts.
func (m *Machine) Stats() Stats {
	return Stats{
		HeldBytes:          m.queue.heldBytes(),
		WaitingIntervals:   m.queue.intervalCount(),
		DeliveredIntervals: m.delivered,
		LostIntervals:      m.queue.lostIntervals,
		LostSamples:        m.queue.lostSamples,
		ConnectionFailures: m.failures,
	}
}

// NextDeadline returns the time at which Tick must be called next; ok is false if no action is pending.
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
	case m.state == connected && m.queue.inFlight != nil:
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

// Apply processes an event and returns the resulting actions.
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
		if ev.Conn == m.conn && m.queue.inFlight != nil {
			m.lastProgress = now
		}
	case WriteCompleted:
		if ev.Conn == m.conn && m.queue.inFlight != nil {
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
		m.backoff.reset(now) // makes a last attempt immediately
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

// writeCompleted counts the interval that was being written as delivered.
func (m *Machine) writeCompleted(now time.Duration) {
	written := m.queue.complete()
	m.delivered += written.interval.MergedCount
	m.backoff.succeeded()
	m.replay.sent(now, written.memoryBytes)
}

// disconnected starts the backoff, unless the connection was closed because the address changed.
func (m *Machine) disconnected(now time.Duration, records int) {
	moving, inFlight := m.moving, m.queue.inFlight
	m.queue.inFlight, m.state, m.moving = nil, disconnected, false
	if moving {
		return
	}
	if inFlight != nil {
		inFlight.recordsSent = max(inFlight.recordsSent, records)
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

// advance emits the actions that are due.
func (m *Machine) advance(now time.Duration) {
	switch {
	case m.stopped:
	case m.stopping && (now >= m.stopDeadline || m.queue.empty()):
		m.stop()
	case m.state == disconnected && !m.queue.empty() && now >= m.backoff.retryAt:
		m.conn++
		m.state = connecting
		m.emit(Connect{m.conn})
	case m.state == connected && m.queue.inFlight != nil && now >= m.lastProgress+m.writeTimeout:
		m.closeConnection() // no progress within the write timeout
	case m.state == connected && m.queue.inFlight == nil && !m.queue.empty():
		m.startWrite(now)
	}
}

// startWrite writes the newest interval if no write of it was started yet, as current values matter more than old ones.
// Otherwise it writes the oldest interval once the replay rate allows it.
func (m *Machine) startWrite(now time.Duration) {
	next := m.queue.newest()
	if !next.unattempted {
		if now < m.replay.next && !m.stopping {
			return
		}
		next = m.queue.oldest()
	}
	next.unattempted = false
	m.queue.inFlight = next
	m.lastProgress = now
	m.emit(Write{Conn: m.conn, Interval: next.interval, FirstRecord: next.recordsSent})
}

func (m *Machine) stop() {
	m.queue.dropAll()
	m.closeConnection()
	m.stopped = true
	m.emit(Stopped{})
}
