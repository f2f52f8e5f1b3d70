package delivery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

// model is what a destination and its collector know while a machine is driven at random, and checks each
// action against that.
type model struct {
	t   *rapid.T
	rig *rig
	cfg Config

	conn        int // 0: there is none
	established bool
	writing     *Write
	sent        map[*metrics.Interval]int // records that were sent, of intervals sent in part
	delivered   uint64                    // intervals written, each of those folded into one counted
}

func (m *model) check(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Connect:
			if m.conn != 0 {
				m.t.Fatal("two connections at once")
			}
			m.conn, m.established = a.Conn, false
		case Write:
			if m.writing != nil || !m.established || a.Conn != m.conn {
				m.t.Fatalf("writes out of turn: %+v", a)
			}
			if a.FirstRecord < m.sent[a.Interval] {
				m.t.Fatalf("record %d again, %d were sent", a.FirstRecord, m.sent[a.Interval])
			}
			m.writing = &a
		}
	}
}

func (m *model) apply(event Event) { m.check(m.rig.machine.Apply(m.rig.now, event)) }

func (m *model) tick() { m.check(m.rig.machine.Tick(m.rig.now)) }

// connect reports the connection that is being established as connected, if there is one.
func (m *model) connect() bool {
	if m.conn == 0 || m.established || m.rig.machine.state != connecting {
		return false
	}
	m.established = true
	m.apply(Connected{m.conn})
	return true
}

// completeWrite reports the write that is under way as completed, if there is one.
func (m *model) completeWrite() bool {
	if m.writing == nil {
		return false
	}
	m.delivered += m.writing.Interval.MergedCount
	delete(m.sent, m.writing.Interval)
	m.writing = nil
	m.apply(WriteCompleted{m.conn})
	return true
}

// disconnect reports the connection as ended after some more records, if there is one.
func (m *model) disconnect(moreRecords func() int) {
	if m.conn == 0 {
		return
	}
	records := 0
	if m.writing != nil {
		records = m.writing.FirstRecord + moreRecords()
		m.sent[m.writing.Interval] = records
	}
	ended := m.conn
	m.conn, m.writing = 0, nil
	m.apply(Disconnected{ended, records})
}

// step lets time pass and something happen.
func (m *model) step() {
	pauses := []time.Duration{0, ms, 100 * ms, 10 * time.Second}
	m.rig.now += rapid.SampledFrom(pauses).Draw(m.t, "pause")
	m.tick()
	switch rapid.IntRange(0, 5).Draw(m.t, "what") {
	case 0, 1:
		m.apply(IntervalAdded{m.rig.source.next()})
	case 2:
		m.connect()
	case 3:
		if m.rig.machine.state == connected {
			m.completeWrite()
		}
	case 4:
		m.disconnect(func() int { return rapid.IntRange(0, 5).Draw(m.t, "records") })
	case 5:
		m.apply(Disconnected{Conn: 999, Records: 3}) // of no connection that there is
	}
}

// checkStats wants each interval delivered, lost or held, and never two of these, and no more held than may
// be.
func (m *model) checkStats() {
	stats, made := m.rig.machine.Stats(), m.rig.source.made
	total := stats.DeliveredIntervals + stats.LostIntervals + stats.WaitingIntervals
	if m.delivered != stats.DeliveredIntervals || total != made {
		m.t.Fatalf("%d made, %d written: %+v", made, m.delivered, stats)
	}
	if stats.HeldBytes > m.cfg.MemoryBudget {
		m.t.Fatalf("%d bytes held, %d may be", stats.HeldBytes, m.cfg.MemoryBudget)
	}
}

// serve lets the collector do its part until nothing is due.
func (m *model) serve() {
	for range 10_000 {
		if m.connect() {
			continue
		}
		if m.conn != 0 && m.rig.machine.state == closing {
			m.disconnect(func() int { return 0 })
			continue
		}
		if m.completeWrite() {
			continue
		}
		at, ok := m.rig.machine.NextDeadline()
		if !ok {
			return
		}
		m.rig.now = max(m.rig.now, at)
		m.tick()
	}
}

// Whatever a collector does: each interval is delivered once, lost or held, and never two of these; no more
// is held than may be; records that were sent are not sent again to the same collector; and once it serves,
// all is delivered.
func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.MemoryBudget = rapid.SampledFrom([]int{3 << 10, 16 << 10, 1 << 20}).Draw(t, "budget")
		cfg.MaxWaiting = rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "max waiting")
		m := &model{t: t, rig: newRig(cfg), cfg: cfg, sent: map[*metrics.Interval]int{}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.checkStats()
		}
		m.serve()
		stats := m.rig.machine.Stats()
		if stats.WaitingIntervals != 0 || stats.DeliveredIntervals+stats.LostIntervals != m.rig.source.made {
			t.Fatalf("still waiting: %+v", stats)
		}
	})
}
