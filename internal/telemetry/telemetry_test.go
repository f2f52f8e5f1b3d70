package telemetry

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	diff "github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/collectd"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server"
)

const patience = 30 * time.Second // a test that waits so long has failed

// host is a reducer that is looked at as a node lets it be, and whose recorder the test tells what happens.
type host struct {
	mu  sync.Mutex
	b   *broker.Broker
	rec *Recorder
	cut uint64 // how often it was looked at, which is once an interval
}

func (h *host) Inspect(_ context.Context, f func(*broker.Broker, server.ConnectionCounts)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.b, server.ConnectionCounts{})
	h.cut++
	return true
}

// wall is a clock on the wall that goes ten seconds on whenever it is looked at, and that a test may set.
type wall struct {
	mu sync.Mutex
	at time.Duration
}

func (w *wall) now() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at += 10 * time.Second
	return w.at
}

func (w *wall) set(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at += d
}

// rig is a reporter with what it reports of.
type rig struct {
	t              *testing.T
	host           *host
	wall           *wall
	reporter       *Reporter
	tick           chan time.Time
	stopping, over chan struct{}
	done           chan error
	told           map[string]int // requests by class, as the test knows them
}

func file(cfgs ...any) *operatorconfig.Telemetry {
	t := &operatorconfig.Telemetry{IntervalMS: 10_000, Cardinality: operatorconfig.CardinalityLimits{Classes: 4, Tenants: 8, Engines: 4, DataSets: 4, IdleS: 3600}}
	for _, c := range cfgs {
		switch c := c.(type) {
		case operatorconfig.Graphite:
			c.Prefix, c.Protocol = "w", cmp.Or(c.Protocol, "plaintext")
			c.WriteTimeoutMS = 300
			c.BudgetKB, c.ReplayKBps = cmp.Or(c.BudgetKB, 512), 1<<16
			t.Graphite = append(t.Graphite, c)
		case operatorconfig.Collectd:
			c.BudgetKB = 256
			t.Collectd = append(t.Collectd, c)
		}
	}
	return t
}

func start(t *testing.T, f *operatorconfig.Telemetry) *rig {
	t.Helper()
	return startAt(t, f, 1_750_000_000*time.Second)
}

func startAt(t *testing.T, f *operatorconfig.Telemetry, at time.Duration) *rig {
	t.Helper()
	// The machine may be too busy to do in stopWait what a test wants done.
	return startWith(t, f, at, patience)
}

// startWith starts one whose destinations have a time to write what is left at their end.
func startWith(t *testing.T, f *operatorconfig.Telemetry, at, within time.Duration) *rig {
	t.Helper()
	b, err := broker.New(control.Settings{Brokers: 1, MinBatchInterval: time.Millisecond,
		Classes: []control.Class{{Name: "lookup", LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1, Threads: 1}}}, 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, host: &host{b: b}, wall: &wall{at: at}, tick: make(chan time.Time),
		stopping: make(chan struct{}), over: make(chan struct{}), done: make(chan error, 1), told: map[string]int{}}
	clock := SystemClock()
	clock.Wall = r.wall.now
	clock.Tick = func(time.Duration) (<-chan time.Time, func(time.Duration), func()) {
		return r.tick, func(time.Duration) {}, func() {}
	}
	r.reporter, r.host.rec = New("n1", f.Cardinality, r.host, clock, 1, zap.NewNop())
	if r.reporter.stopTimeout != stopTimeout {
		t.Fatalf("a destination that ends has %v", r.reporter.stopTimeout)
	}
	r.reporter.stopTimeout = within
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		<-r.done
	})
	go func() {
		r.done <- r.reporter.Run(ctx, f, r.stopping, r.over)
		close(r.done)
	}()
	return r
}

// load tells of n requests of a class that end one way or another.
func (r *rig) load(class string, n int) {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	for i := range n {
		r.told[class]++
		r.host.rec.RequestAccepted(&broker.Request{Class: class, Tenant: fmt.Sprint(i % 3), DataSet: i % 5})
		r.host.rec.RequestEnded(broker.RequestSummary{Class: class, Tenant: fmt.Sprint(i % 3), Kind: broker.ReplyResult, Duration: time.Duration(i) * time.Millisecond,
			Objective: 400 * time.Millisecond, Attempts: 1})
	}
}

// sequence is how many intervals were cut.
func (r *rig) sequence() uint64 {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	return r.host.cut
}

// intervals lets n intervals go by under load.
func (r *rig) intervals(n int) {
	r.t.Helper()
	for range n {
		r.load("lookup", 7)
		was := r.sequence()
		select {
		case r.tick <- time.Time{}:
		case <-time.After(patience):
			r.t.Fatal("the reporter does not cut")
		}
		for r.sequence() == was { // it has the tick
			runtime.Gosched()
		}
	}
}

// finish ends the reporter as a broker does that has answered all.
func (r *rig) finish() {
	r.t.Helper()
	close(r.over)
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Fatal(err)
		}
	case <-time.After(patience):
		r.t.Fatal("the reporter does not end")
	}
}

// carbon starts a stand-in.
func carbonAt(t *testing.T, pickle bool) (*collector.Carbon, *collector.Reconciler, operatorconfig.Graphite) {
	t.Helper()
	ledger := collector.NewReconciler(nil)
	c, err := collector.NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "w"}, pickle, ledger)
	if err != nil {
		t.Fatal(err)
	}
	run(t, c.Run)
	g := operatorconfig.Graphite{Name: "carbon", Address: c.Addr()}
	if pickle {
		g.Protocol = "pickle"
	}
	return c, ledger, g
}

func run(t *testing.T, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// await waits until a ledger holds what is wanted.
func await(t *testing.T, l *collector.Reconciler, what string, ok func(*collector.Findings) bool) *collector.Findings {
	t.Helper()
	late := time.After(patience)
	for {
		changed := l.Changed()
		f := l.Reconcile()
		if ok(f) {
			return f
		}
		select {
		case <-changed:
			select { // the rest of a burst: judging is not for each sample
			case <-time.After(10 * time.Millisecond):
			case <-late:
			}
		case <-late:
			t.Fatalf("%s: not seen: %d samples, %d runs, %v", what, f.Samples, len(f.Runs), f.Faults)
		}
	}
}

// exact wants all that was told to be there, and no rule broken.
func (r *rig) exact(l *collector.Reconciler) *collector.Findings {
	r.t.Helper()
	want := float64(r.told["lookup"])
	f := await(r.t, l, "every count", func(f *collector.Findings) bool {
		if len(f.Runs) != 1 || f.Runs[0].Last != r.sequence() {
			return false
		}
		// The newest interval comes first: one before it may have the last words of a name that has left.
		for _, id := range []metrics.ID{metrics.Requests, metrics.RequestsByTenant, metrics.RequestsByDataSet, metrics.Answers,
			metrics.AnswersByTenant} {
			if got := f.Runs[0].Total(id); got > want {
				r.t.Fatalf("%s: %v of %v", metrics.Catalogue[id].Name, got, want)
			} else if got < want {
				return false
			}
		}
		return true
	})
	if !f.OK() {
		r.t.Fatalf("faults %v, unknown %v, broken %v", f.Faults, f.Unknown, f.Malformed)
	}
	return f
}

// all waits for every interval that was cut.
func all(f *collector.Findings) bool {
	return len(f.Runs) == 1 && f.Runs[0].Missing() == 0 && f.Incomplete == 0
}

func TestFiguresArrive(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		_, ledger, g := carbonAt(t, pickle)
		r := start(t, file(g))
		r.intervals(5)
		r.finish()
		r.exact(ledger)
		f := await(t, ledger, "each interval", all)
		if f.Duplicated > 0 || len(f.Runs[0].Intervals) < 5 {
			t.Fatalf("pickle %v: %+v", pickle, f)
		}
		last := f.Runs[0].Intervals[len(f.Runs[0].Intervals)-2]
		told := last.Spreads[metrics.Series{Figure: metrics.AnswerTime, Name: "lookup"}]
		if diff := diff.Diff([]string{"count", "max", "min", "p50", "p95", "p99", "sum"}, sorted(told)); diff != "" {
			t.Fatal(diff)
		}
	}
}

func sorted(m map[string]float64) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// A collector is away for six hundred seconds by its own clock, under load. Memory stays within the budget, and after
// its return every counter sums to what the broker counted: nothing is missing, and of distributions nothing is lost.
func TestACollectorThatIsDown(t *testing.T) {
	c, ledger, g := carbonAt(t, false)
	g.BudgetKB = 64 // so that folding is needed
	r := start(t, file(g))
	r.intervals(3)
	await(t, ledger, "the first intervals", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Last == 3 })
	c.Set(collector.Unreachable)
	for range 60 {
		r.intervals(1)
		if held := r.reporter.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.Set(collector.Serve)
	await(t, ledger, "the backlog", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Last == 63 })
	r.finish()
	f := r.exact(ledger)
	folded, samples := false, 0.0
	for _, v := range f.Runs[0].Intervals {
		folded = folded || v.Of > 1
		samples += v.Spreads[metrics.Series{Figure: metrics.AnswerTime, Name: "lookup"}]["count"]
	}
	if !folded {
		t.Error("the budget held all without folding: the test shows nothing")
	}
	if samples != float64(r.told["lookup"]) || f.Duplicated > 0 {
		t.Errorf("distributions hold %v of %d answers, %d came twice", samples, r.told["lookup"], f.Duplicated)
	}
}

// It accepts and never reads: the connection is given up, again and again, and memory stays within the budget.
func TestACollectorThatNeverReads(t *testing.T) {
	c, ledger, g := carbonAt(t, false)
	g.BudgetKB = 64
	c.Set(collector.Silent)
	r := start(t, file(g))
	for range 100 {
		r.intervals(1)
		if held := r.reporter.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.Set(collector.Serve)
	r.intervals(2)
	await(t, ledger, "a new interval", func(f *collector.Findings) bool { return len(f.Runs) == 1 && f.Runs[0].Last == 102 })
	r.finish()
	r.exact(ledger)
}

// It is reset in the middle of lines, again and again: none is torn, and none comes twice.
func TestACollectorThatTearsLines(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		c, ledger, g := carbonAt(t, pickle)
		r := start(t, file(g))
		c.Set(collector.Truncating)
		r.intervals(40)
		c.Set(collector.Serve)
		r.intervals(2)
		r.finish()
		if f := r.exact(ledger); f.Duplicated > 0 {
			t.Fatalf("pickle %v: %d lines came twice", pickle, f.Duplicated)
		}
	}
}

func TestACollectorThatReadsSlowly(t *testing.T) {
	c, ledger, g := carbonAt(t, false)
	r := start(t, file(g))
	c.Set(collector.Slow)
	r.intervals(20)
	c.Set(collector.Serve)
	r.intervals(2)
	await(t, ledger, "the backlog", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Last == 22 })
	r.finish()
	r.exact(ledger)
}

// The clock on the wall steps back an hour and forward a day: intervals go on at their pace and nothing is lost.
func TestTheClockOnTheWallSteps(t *testing.T) {
	_, ledger, g := carbonAt(t, false)
	r := start(t, file(g))
	r.intervals(5)
	r.wall.set(-time.Hour - 5*time.Second) // between the stamps that are there
	r.intervals(5)
	r.wall.set(25 * time.Hour)
	r.intervals(5)
	await(t, ledger, "each interval", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Last == 15 })
	r.finish()
	r.exact(ledger)
	if f := await(t, ledger, "each interval", all); f.Runs[0].Last != 16 {
		t.Fatalf("%+v", f.Runs[0])
	}
}

// Two destinations, one dead: the other misses nothing, and is told each interval by itself.
func TestADeadDestinationTakesNothingFromTheOther(t *testing.T) {
	c, _, dead := carbonAt(t, false)
	c.Set(collector.Silent)
	dead.Name = "dead"
	_, ledger, g := carbonAt(t, false)
	r := start(t, file(dead, g))
	r.intervals(40)
	await(t, ledger, "each interval", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Last == 40 })
	r.finish()
	r.exact(ledger)
	f := await(t, ledger, "the last one", all)
	if len(f.Runs[0].Intervals) != int(f.Runs[0].Last) {
		t.Fatalf("%d intervals of %d", len(f.Runs[0].Intervals), f.Runs[0].Last)
	}
}

// A reload names another address while a backlog waits: it goes there.
func TestAReloadMovesTheBacklog(t *testing.T) {
	c, old, g := carbonAt(t, false)
	r := start(t, file(g))
	r.intervals(3)
	await(t, old, "a first interval", func(f *collector.Findings) bool { return len(f.Runs) == 1 })
	c.Set(collector.Unreachable)
	r.intervals(10)
	_, ledger, moved := carbonAt(t, false)
	r.reporter.Reload(t.Context(), file(moved))
	r.intervals(2)
	await(t, ledger, "what waited", func(f *collector.Findings) bool { return len(f.Runs) == 1 && f.Runs[0].Of >= 10 })
	r.finish()
	r.exact(ledger)
}

// A reload that takes a destination away ends it, and one that adds one begins it. The first gets each interval from
// before the reload and none from after it, however late its collector comes to read, and though the writing takes
// longer than stopWait, as it does on a machine that is busy.
func TestAReloadEndsAndBeginsDestinations(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode collector.Mode // until it serves
	}{
		{"it reads at once", collector.Serve},
		{"it reads after the end", collector.Silent},
		{"it comes back late", collector.Unreachable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, one, g := carbonAt(t, false)
			c.Set(tt.mode)
			_, two, h := carbonAt(t, true)
			h.Name = "second"
			r := start(t, file(g))
			r.intervals(2)
			ended := r.reporter.destinations["carbon"]
			r.reporter.Reload(t.Context(), file(h))
			r.intervals(3)
			if tt.mode == collector.Unreachable {
				defer time.AfterFunc(2*stopTimeout, func() { c.Set(collector.Serve) }).Stop()
			}
			r.finish()
			if st := ended.stats.Load(); st.DeliveredIntervals != 2 || st.Lost != 0 || st.WaitingIntervals != 0 {
				t.Fatalf("the first destination ended with %+v", st)
			}
			r.exact(two)
			if tt.mode == collector.Silent { // all is acknowledged, and nothing is read yet
				if f := one.Reconcile(); f.Samples != 0 {
					t.Fatalf("a collector that does not read has %d samples", f.Samples)
				}
				c.Set(collector.Serve)
			}
			f := await(t, one, "what came before the reload", func(f *collector.Findings) bool { return all(f) && f.Runs[0].Of == 2 })
			if f.Runs[0].Last != 2 || two.Reconcile().Runs[0].Last != r.sequence() {
				t.Fatalf("the first was told of %+v", f.Runs)
			}
		})
	}
}

// At the end the last interval leaves, or is counted lost, within its time.
func TestTheLastIntervalLeavesOrIsCounted(t *testing.T) {
	c, ledger, g := carbonAt(t, false)
	r := start(t, file(g))
	r.intervals(3)
	close(r.stopping)
	r.load("lookup", 5)
	r.finish()
	r.exact(ledger)
	await(t, ledger, "each interval", all)

	c.Set(collector.Silent)
	r = startWith(t, file(g), 1_750_000_000*time.Second, stopTimeout)
	r.intervals(200) // more than the sockets take
	r.finish()
	d := r.reporter.destinations["carbon"]
	st := d.stats.Load()
	if st.WaitingIntervals != 0 || st.DeliveredIntervals+st.Lost != r.sequence() || st.Lost == 0 {
		t.Fatalf("%d cut: %+v", r.sequence(), st)
	}
}

// A broker that is killed and starts again counts from zero; a collector can tell that from a counter that fell.
func TestARestartIsNoCounterThatFell(t *testing.T) {
	_, ledger, g := carbonAt(t, false)
	first := start(t, file(g))
	first.intervals(5)
	first.finish()
	second := startAt(t, file(g), first.wall.now()+time.Minute)
	second.intervals(3)
	second.finish()
	f := await(t, ledger, "both lives", func(f *collector.Findings) bool {
		return len(f.Runs) == 2 && f.Runs[0].Last == first.sequence() && f.Runs[1].Last == second.sequence()
	})
	if !f.OK() {
		t.Fatalf("%+v", f)
	}
	for i, r := range []*rig{first, second} {
		if got := f.Runs[i].Total(metrics.Requests); got != float64(r.told["lookup"]) {
			t.Errorf("run %d: %v of %d", i, got, r.told["lookup"])
		}
	}
}

// Datagrams get lost and come out of order: counters are whole all the same.
func TestCollectd(t *testing.T) {
	ledger := collector.NewReconciler(nil)
	reader := collectd.Reader{Demand: collectd.Encrypt, Passwords: func(u string) (string, bool) { return "secret", u == "chart" }}
	c, err := collector.NewCollectd("127.0.0.1:0", reader, 1, ledger)
	if err != nil {
		t.Fatal(err)
	}
	run(t, c.Run)
	r := start(t, file(operatorconfig.Collectd{Name: "c", Address: c.Addr(), Security: "encrypt", User: "chart", Password: "secret"}))
	r.intervals(3)
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); runtime.Gosched() {
			r.intervals(1)
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	c.Set(collector.Lossy)
	until("no datagram is lost", func() bool { _, lost := c.Packets(); return lost > 5 })
	c.Set(collector.Reordering)
	came, _ := c.Packets()
	until("no datagram comes", func() bool { now, _ := c.Packets(); return now > came+20 })
	c.Set(collector.Unreachable)
	until("it is not noticed that nothing listens", func() bool { return r.reporter.destinations["c"].stats.Load().ConnectionFailures > 0 })
	r.intervals(10)
	c.Set(collector.Serve)
	r.intervals(1)
	last := r.sequence()
	await(t, ledger, "an interval after its return", func(f *collector.Findings) bool { return len(f.Runs) == 1 && f.Runs[0].Last == last })
	r.finish()
	r.exact(ledger)
}

// 100,000 names in a second make no more series than may be, cost no memory to speak of, and every request is counted.
func TestABurstOfNames(t *testing.T) {
	_, ledger, g := carbonAt(t, false)
	r := start(t, file(g))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 100_000 {
		r.host.mu.Lock()
		name := fmt.Sprintf("tenant;%d.x", i)
		r.host.rec.RequestAccepted(&broker.Request{Class: "lookup", Tenant: name, DataSet: i})
		r.host.rec.RequestEnded(broker.RequestSummary{Class: "lookup", Tenant: name, Kind: broker.ReplyRejected})
		r.host.mu.Unlock()
		r.told["lookup"]++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("%d bytes for the names", grown)
	}
	r.intervals(2)
	r.finish()
	f := r.exact(ledger)
	for _, v := range f.Runs[0].Intervals {
		tenants := map[string]bool{}
		for s := range v.Values {
			if s.Figure == metrics.RequestsByTenant && !s.Other {
				tenants[s.Name] = true
			}
		}
		if len(tenants) > 8 {
			t.Fatalf("%d tenants have series, 8 may", len(tenants))
		}
	}
}

// The list of reasons in the catalogue is the one in the log.
func TestReasons(t *testing.T) {
	var got []string
	for _, r := range server.Reasons {
		got = append(got, string(r))
	}
	if diff := diff.Diff(metrics.EndReasons, got); diff != "" {
		t.Fatal(diff)
	}
}

// held is what a destination holds, in bytes.
func (r *Reporter) held(name string) int { return r.destinations[name].stats.Load().Held }
