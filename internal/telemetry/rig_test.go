package telemetry

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server/netconn"
)

const (
	testTimeout    = 30 * time.Second // a test that waits so long has failed
	rigStart       = 1_750_000_000 * time.Second
	rigObjective   = 400 * time.Millisecond
	rigInterval    = 10 * time.Second
	rigWriteLimit  = 300 // ms
	rigReplayKBps  = 1 << 16
	carbonBudgetKB = 512
)

// inspector is a reducer that is inspected as a server lets it be, and whose recorder the test feeds.
type inspector struct {
	mu       sync.Mutex
	broker   *broker.Broker
	recorder *Recorder
	cuts     uint64 // how often it was inspected: once an interval
}

func (i *inspector) Inspect(_ context.Context, f func(*broker.Broker, netconn.ConnectionCounts)) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(i.broker, netconn.ConnectionCounts{})
	i.cuts++
	return true
}

// wallClock advances by an interval whenever it is read, and may be set.
type wallClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (w *wallClock) read() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now += rigInterval
	return w.now
}

func (w *wallClock) step(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now += d
}

// rig is a reporter with what it reports.
type rig struct {
	t                 *testing.T
	inspector         *inspector
	wall              *wallClock
	reporter          *Reporter
	ticks             chan time.Time
	draining, drained chan struct{}
	done              chan error
	requests          map[string]int // by class, as the test knows them
}

// telemetryFile is an operator's file with destinations; settings that they leave out are filled in.
func telemetryFile(destinations ...any) *operatorconfig.Telemetry {
	t := &operatorconfig.Telemetry{
		IntervalMS:  int(rigInterval / time.Millisecond),
		Cardinality: operatorconfig.CardinalityLimits{Classes: 4, Tenants: 8, Engines: 4, DataSets: 4, IdleS: 3600},
	}
	for _, d := range destinations {
		switch d := d.(type) {
		case operatorconfig.Graphite:
			d.Prefix, d.Protocol = "w", cmp.Or(d.Protocol, "plaintext")
			d.WriteTimeoutMS = rigWriteLimit
			d.BudgetKB, d.ReplayKBps = cmp.Or(d.BudgetKB, carbonBudgetKB), rigReplayKBps
			t.Graphite = append(t.Graphite, d)
		case operatorconfig.Collectd:
			d.BudgetKB = 256
			t.Collectd = append(t.Collectd, d)
		}
	}
	return t
}

// startRig starts a reporter whose destinations have as long as they need to write what waits at their end:
// the machine may be too busy to do within stopTimeout what a test expects done.
func startRig(t *testing.T, f *operatorconfig.Telemetry) *rig {
	t.Helper()
	return startRigAt(t, f, rigStart, testTimeout)
}

// startRigAt starts a reporter at a time of the wall clock, with a stop timeout of its own.
func startRigAt(t *testing.T, f *operatorconfig.Telemetry, at, timeout time.Duration) *rig {
	t.Helper()
	class := control.Class{Name: "lookup", LatencyObjective: rigObjective, PriorityWeight: 1, Threads: 1}
	settings := control.Settings{Brokers: 1, MinBatchInterval: time.Millisecond, Classes: []control.Class{class}}
	b, err := broker.New(settings, 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{
		t:         t,
		inspector: &inspector{broker: b},
		wall:      &wallClock{now: at},
		ticks:     make(chan time.Time),
		draining:  make(chan struct{}),
		drained:   make(chan struct{}),
		done:      make(chan error, 1),
		requests:  map[string]int{},
	}
	clock := SystemClock()
	clock.Wall = r.wall.read
	clock.Ticker = func(time.Duration) (<-chan time.Time, func(time.Duration), func()) {
		return r.ticks, func(time.Duration) {}, func() {}
	}
	r.reporter, r.inspector.recorder = New("n1", f.Cardinality, r.inspector, clock, 1, zap.NewNop())
	if r.reporter.stopTimeout != stopTimeout {
		t.Fatalf("a destination that ends has %v", r.reporter.stopTimeout)
	}
	r.reporter.stopTimeout = timeout
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	go func() {
		r.done <- r.reporter.Run(ctx, f, r.draining, r.drained)
		close(r.done)
	}()
	return r
}

// load records n requests of a class, each ended with a result.
func (r *rig) load(class string, n int) {
	for i := range n {
		tenant := fmt.Sprint(i % 3)
		r.record(&broker.Request{Class: class, Tenant: tenant, DataSet: i % 5}, &broker.RequestSummary{
			Class: class, Tenant: tenant, Kind: broker.ReplyResult,
			Duration: time.Duration(i) * time.Millisecond, Objective: rigObjective, Attempts: 1,
		})
	}
}

// record records one request from its start to its end.
func (r *rig) record(q *broker.Request, s *broker.RequestSummary) {
	r.inspector.mu.Lock()
	defer r.inspector.mu.Unlock()
	r.requests[q.Class]++
	r.inspector.recorder.RequestAccepted(q)
	r.inspector.recorder.RequestEnded(*s)
}

// cuts is how many intervals have ended.
func (r *rig) cuts() uint64 {
	r.inspector.mu.Lock()
	defer r.inspector.mu.Unlock()
	return r.inspector.cuts
}

// intervals lets n intervals end under load.
func (r *rig) intervals(n int) {
	r.t.Helper()
	for range n {
		r.load("lookup", 7)
		before := r.cuts()
		select {
		case r.ticks <- time.Time{}:
		case <-time.After(testTimeout):
			r.t.Fatal("the reporter ends no interval")
		}
		for r.cuts() == before { // it has received the tick
			runtime.Gosched()
		}
	}
}

// held is how much memory a destination holds, in bytes. It must be one that is configured.
func (r *rig) held(name string) int { return r.reporter.destinations[name].stats.Load().HeldBytes }

// finish stops the reporter as a broker does that has answered everything.
func (r *rig) finish() {
	r.t.Helper()
	close(r.drained)
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Fatal(err)
		}
	case <-time.After(testTimeout):
		r.t.Fatal("the reporter does not end")
	}
}
