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
	made     uint64
}

func newIntervalSource() *intervalSource {
	limits := metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, IdleTimeout: time.Hour}
	return &intervalSource{registry: metrics.NewRegistry(limits, 0, 0)}
}

func (s *intervalSource) next() *metrics.Interval {
	s.now += 10 * time.Second
	s.made++
	class := s.registry.Slot(metrics.Class, "lookup")
	s.registry.Add(metrics.Requests, class, 0, 1)
	s.registry.Observe(metrics.AnswerTime, class, float64(s.made))
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

func (r *harness) record(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Connect:
			r.actions = append(r.actions, fmt.Sprintf("connect %d", a.Conn))
		case Write:
			r.actions = append(r.actions,
				fmt.Sprintf("write %d of %d from %d", a.Interval.Sequence, a.Interval.MergedCount, a.FirstRecord))
		case Close:
			r.actions = append(r.actions, fmt.Sprintf("close %d", a.Conn))
		case Stopped:
			r.actions = append(r.actions, "stopped")
		}
	}
}

func (r *harness) apply(events ...Event) {
	for _, ev := range events {
		r.record(r.machine.Apply(r.now, ev))
	}
}

func (r *harness) offer(n int) {
	for range n {
		r.apply(IntervalAdded{r.source.next()})
	}
}

// advance advances the time and ticks the machine at each deadline until then.
func (r *harness) advance(d time.Duration) {
	end := r.now + d
	for {
		at, ok := r.machine.NextDeadline()
		if !ok || at > end {
			break
		}
		r.now = max(r.now, at)
		before := len(r.actions)
		r.record(r.machine.Tick(r.now))
		if len(r.actions) == before {
			break // no further action is due at this time
		}
	}
	r.now = end
}

// expect compares the actions since the last call with want.
func (r *harness) expect(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.actions); diff != "" {
		t.Fatal(diff)
	}
	r.actions = nil
}
