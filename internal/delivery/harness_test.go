package delivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/metrics"
)

const ms = time.Millisecond

func config() Config {
	return Config{
		MemoryBudget:   64 << 10,
		InitialBackoff: 200 * ms,
		MaxBackoff:     15 * time.Second,
		WriteTimeout:   5 * time.Second,
		ReplayRate:     64 << 10,
	}
}

// intervalSource produces consecutive intervals with one request each.
type intervalSource struct {
	registry *metrics.Registry
	now      time.Duration
	produced uint64
}

func newIntervalSource() *intervalSource {
	limits := metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, IdleTimeout: time.Hour}
	return &intervalSource{registry: metrics.NewRegistry(limits, 0, 0)}
}

func (s *intervalSource) next() *metrics.Interval {
	s.now += 10 * time.Second
	s.produced++
	class := s.registry.Slot(metrics.Class, "lookup")
	s.registry.Add(metrics.Requests, class, 0, 1)
	s.registry.Observe(metrics.AnswerTime, class, float64(s.produced))
	return s.registry.EndInterval(s.now, s.now)
}

// harness drives a machine with simulated time and records its actions as text.
type harness struct {
	machine *Machine
	source  *intervalSource
	now     time.Duration
	actions []string
}

func newHarness(cfg Config) *harness {
	return &harness{machine: New(cfg, 1), source: newIntervalSource()}
}

func (h *harness) record(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Connect:
			h.actions = append(h.actions, fmt.Sprintf("connect %d", a.Conn))
		case Write:
			h.actions = append(h.actions,
				fmt.Sprintf("write %d of %d from %d", a.Interval.Sequence, a.Interval.MergedCount, a.FirstRecord))
		case Close:
			h.actions = append(h.actions, fmt.Sprintf("close %d", a.Conn))
		case Stopped:
			h.actions = append(h.actions, "stopped")
		}
	}
}

func (h *harness) apply(events ...Event) {
	for _, ev := range events {
		h.record(h.machine.Apply(h.now, ev))
	}
}

func (h *harness) offer(n int) {
	for range n {
		h.apply(IntervalAdded{h.source.next()})
	}
}

// advance advances the time and ticks the machine at each deadline until then.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for {
		at, ok := h.machine.NextDeadline()
		if !ok || at > end {
			break
		}
		h.now = max(h.now, at)
		before := len(h.actions)
		h.record(h.machine.Tick(h.now))
		if len(h.actions) == before {
			break // no further action is due at this time
		}
	}
	h.now = end
}

// expect compares the actions since the last call with want.
func (h *harness) expect(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, h.actions); diff != "" {
		t.Fatal(diff)
	}
	h.actions = nil
}
