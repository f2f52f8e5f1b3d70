package delivery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

// model tracks the state of a destination and its collector while a machine receives random events, and checks each
// action against that state.
type model struct {
	t       *rapid.T
	harness *harness
	cfg     Config

	conn        int // 0: no connection
	established bool
	writing     *Write
	sent        map[*metrics.Interval]int // number of records sent of each partly sent interval
	delivered   uint64                    // intervals written, counting a merged one as its originals
}

func (m *model) check(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Connect:
			if m.conn != 0 {
				m.t.Fatal("Connect while a connection is open")
			}
			m.conn, m.established = a.Conn, false
		case Write:
			if m.writing != nil || !m.established || a.Conn != m.conn {
				m.t.Fatalf("Write without an established, idle connection: %+v", a)
			}
			if a.FirstRecord < m.sent[a.Interval] {
				m.t.Fatalf("Write from record %d, though %d were sent already", a.FirstRecord, m.sent[a.Interval])
			}
			m.writing = &a
		}
	}
}

func (m *model) apply(event Event) { m.check(m.harness.machine.Apply(m.harness.now, event)) }

func (m *model) tick() { m.check(m.harness.machine.Tick(m.harness.now)) }

// connect reports the connection that is being established as connected. It returns false if there is none.
func (m *model) connect() bool {
	if m.conn == 0 || m.established || m.harness.machine.state != connecting {
		return false
	}
	m.established = true
	m.apply(Connected{m.conn})
	return true
}

// completeWrite reports the current write as completed. It returns false if there is none.
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

// disconnect reports that the connection, if there is one, ended after moreRecords further records.
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

// step advances the time and applies a random event.
func (m *model) step() {
	pauses := []time.Duration{0, ms, 100 * ms, 10 * time.Second}
	m.harness.now += rapid.SampledFrom(pauses).Draw(m.t, "pause")
	m.tick()
	switch rapid.IntRange(0, 5).Draw(m.t, "event") {
	case 0, 1:
		m.apply(IntervalAdded{m.harness.source.next()})
	case 2:
		m.connect()
	case 3:
		if m.harness.machine.state == connected {
			m.completeWrite()
		}
	case 4:
		m.disconnect(func() int { return rapid.IntRange(0, 5).Draw(m.t, "records") })
	case 5:
		m.apply(Disconnected{Conn: 999, Records: 3}) // unknown connection
	}
}

// checkStats checks that each interval is counted exactly once, as delivered, lost or waiting, and that the queue is
// within its memory budget.
func (m *model) checkStats() {
	stats, produced := m.harness.machine.Stats(), m.harness.source.produced
	total := stats.DeliveredIntervals + stats.LostIntervals + stats.WaitingIntervals
	if m.delivered != stats.DeliveredIntervals || total != produced {
		m.t.Fatalf("counts don't match %d intervals produced and %d written: %+v", produced, m.delivered, stats)
	}
	if stats.HeldBytes > m.cfg.MemoryBudget {
		m.t.Fatalf("queue holds %d bytes, budget is %d", stats.HeldBytes, m.cfg.MemoryBudget)
	}
}

// serve simulates a working collector until no deadline of the machine remains.
func (m *model) serve() {
	for range 10_000 {
		if m.connect() {
			continue
		}
		if m.conn != 0 && m.harness.machine.state == closing {
			m.disconnect(func() int { return 0 })
			continue
		}
		if m.completeWrite() {
			continue
		}
		at, ok := m.harness.machine.NextDeadline()
		if !ok {
			return
		}
		m.harness.now = max(m.harness.now, at)
		m.tick()
	}
}

// For any behaviour of the collector: each interval is counted exactly once, as delivered, lost or waiting; the queue
// stays within its memory budget; records are not sent twice to the same collector; and once the collector works, all
// waiting intervals are delivered.
func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.MemoryBudget = rapid.SampledFrom([]int{3 << 10, 16 << 10, 1 << 20}).Draw(t, "budget")
		cfg.MaxWaitingIntervals = rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "max waiting")
		m := &model{t: t, harness: newHarness(cfg), cfg: cfg, sent: map[*metrics.Interval]int{}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.checkStats()
		}
		m.serve()
		stats := m.harness.machine.Stats()
		if stats.WaitingIntervals != 0 || stats.DeliveredIntervals+stats.LostIntervals != m.harness.source.produced {
			t.Fatalf("intervals still wait after the collector recovered: %+v", stats)
		}
	})
}
