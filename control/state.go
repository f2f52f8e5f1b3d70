package control

// State and plumbing of the decision module: what is remembered, how events are handed on, bookkeeping.
// Nothing here decides; decisions and tuned values are in control.go.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"wheatlane/internal/rls"
)

const firstToken = 16 // timer tokens below it are the module's own ticks

type engine struct {
	Engine
	hash      int     // of its ID
	mark      uint32  // of its ID, between gateways
	lot       *engine // holds its queue and bound: itself, or the pool
	listed    bool
	said      EngineState // what the list says; State is what is followed
	cores     float64
	memory    float64 // MB
	threads   int     // of attempts out
	attempts  []*attempt
	queue     queue
	bound     float64 // threads for this gateway here
	reg       *rls.Regulator
	squeeze   float64 // part of the bound that is left in a jam
	slow      float64 // log of slowdown, averaged
	samples   int
	sampledAt time.Duration
	overdue   float64 // age of what is out, over its usual time
	heardAt   time.Duration
	fullAt    time.Duration // when it last said full; negative: never
	fails     float64
	down      bool
	trialAt   time.Duration
	report    float64 // load as reported
	reportAt  time.Duration
	askedAt   time.Duration // when it was probed for a report
	locks     []lock        // data sets that loads seem to hold
	colds     []coldSend
	evidence  float64 // answers that beliefs rest on, fading
	lost      float64 // those of them that never came
	sum, n    float64 // service time over aim in this interval
}

// lock is a data set that is held by a load, as far as is known, and until when that is believed.
type lock struct {
	tables int
	until  time.Duration
}

type coldSend struct {
	at   time.Duration
	work float64
}

type attempt struct {
	q       *query
	n       int
	e       *engine
	sent    time.Duration
	out     bool
	ran     bool    // it may have run
	called  bool    // it was called off
	lost    bool    // its answer is not waited for
	sure    float64 // how sure that is
	dropped bool    // it counts no more against the bound
	heardAt time.Duration
}

type query struct {
	Request
	c        int // class
	t        int // tenant
	taken    time.Duration
	aim      time.Duration // time by which it is wanted
	work     float64       // thread-seconds expected
	attempts []*attempt
	closed   bool
	stream   bool
	at       *engine // where it is queued
	not      *engine // where it just failed
	line     *keyLine
	probed   bool      // engines were probed for it
	drawn    []*engine // where it may go, once their load is known
	prio     int
}

type keyLine struct {
	queue  []*query
	restTo time.Duration
}

type class struct {
	Class
	leaves                float64 // share of clients that leave before their time
	stays                 float64 // how long those stay, seconds
	work                  float64 // thread-seconds, averaged
	seen                  float64 // how many answers taught work
	ratio                 float64 // told work over estimate
	memory                float64 // MB needed, averaged; 0: not told
	needs                 float64 // high quantile of memory needed over estimated
	level                 float64 // log of the low quantile of service time per thread-second
	wait                  float64 // mean time held here, seconds
	spreadMean, spreadVar float64 // of the log of service time over what was expected
	rate                  float64
	leaving               int // queries that leave the pool once engines have told their load
	arrived               int
	latency               float64 // sums over the interval
	done                  float64
	y                     [2]float64
}

type tenant struct {
	Tenant
	arrived int
	rate    float64
}

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	set        Settings
	rng        *rand.Rand
	now        time.Duration
	out        []Action
	classes    []*class
	tenants    []*tenant
	classOf    map[string]int
	tenantOf   map[string]int
	engines    []*engine  // sorted by ID
	one        [1]*engine // the pool
	pool       *engine    // all engines as one, where they are pooled; else nil
	engineOf   map[string]*engine
	queries    map[string]*query
	parked     []*query
	lines      map[string]*keyLine
	alarms     map[uint64]func()
	token      uint64
	started    bool
	intervalT  time.Duration
	share      *rls.Regulator
	shares     []float64
	leastWorth float64
	rate       float64 // queries a second
	meanWork   float64 // of a query, by the rates of the classes
	heaviest   float64 // work of the heaviest class
	longest    float64 // usual time of the longest class of loads, in seconds
	cheapest   float64 // worth a thread-second of the class that earns least
	dearest    int     // the class that earns most for its work
	widest     float64 // threads of the widest class
	ready      int     // engines listed as ready
	doubt      bool    // most engines look bad
	tightest   *class  // the one with the tightest aim
	best       float64 // log of the least slowdown seen
	further    []time.Duration
	took       []time.Duration
	evidence   float64       // answers of late, fading
	lost       float64       // and those that never came
	price      float64       // worth a thread-second, in parts of the cheapest class's, that a query must bring
	part       float64       // this gateway's part of the traffic, as far as it can tell
	measured   int           // intervals measured since the start
	askAt      time.Duration // when the list may be asked for again
	watching   bool
	loggedAt   map[string]time.Duration
	banned     map[string]bool // engines left out by hand
	toldAt     time.Duration   // when another gateway was last told of loads
}

// queue is start-time fair queuing by class, and within a class by tenant.
type queue struct {
	flows   []flow
	v       float64
	n       int
	threads float64
	work    float64
}

type flow struct {
	start, finish float64
	tenants       []lane
	v, work       float64
	n             int
}

type lane struct {
	start, finish float64
	work          float64
	q             []*query
}

// Handle takes what happened at one time, in order, and returns what to do, in order. A time before
// that of the last call counts as the last call's.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	c.now = max(c.now, now)
	c.out = nil
	if len(events) == 0 {
		return nil
	}
	if !c.started {
		c.started = true
		c.intervalT = c.now
		c.do(SetTimer{tick, 1})
	}
	// After a standstill much comes at once: what ended is taken before what is new or due is judged.
	var gone map[string]bool
	for _, ev := range events {
		switch ev := ev.(type) {
		case ClientDisconnected:
			if q := c.queries[ev.RequestID]; q != nil && !q.closed {
				c.left(q, 1)
				c.close(q)
			}
			if gone == nil {
				gone = map[string]bool{}
			}
			gone[ev.RequestID] = true
		case ResponseStarted:
			if q := c.queries[ev.RequestID]; q != nil {
				q.stream = true
			}
		case AttemptEnded:
			c.outcome(ev)
		case AttemptProgress:
			c.note(ev)
		case ProbeResult:
			c.probed(ev)
		case GossipReceived:
			c.heard(ev)
		case EndpointUpdate:
			c.list(ev)
		case SetMaintenance:
			c.ban(ev)
		}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case RequestReceived:
			if !gone[ev.Request.ID] {
				c.arrive(ev.Request)
			}
		case TimerFired:
			if ev.Token == 1 {
				c.tick()
			} else if f := c.alarms[ev.Token]; f != nil {
				delete(c.alarms, ev.Token)
				f()
			}
		}
	}
	for _, e := range c.lots() {
		c.pump(e)
	}
	return c.out
}

func (c *Controller) do(a Action) { c.out = append(c.out, a) }

func (c *Controller) alarm(after time.Duration, f func()) {
	c.token++
	c.alarms[c.token] = f
	c.do(SetTimer{max(after, c.set.MinBatchInterval, 1), c.token})
}

func (c *Controller) log(about, format string, args ...any) {
	if at, ok := c.loggedAt[about]; ok && c.now-at < logEvery {
		return
	}
	c.loggedAt[about] = c.now
	c.do(Log{fmt.Sprintf(format, args...)})
}

func (c *Controller) close(q *query) {
	if q.closed {
		return
	}
	q.closed = true
	for _, a := range q.attempts { // what still runs for it is of no use
		if a.out && !a.called && c.set.Limits.Cancellation && !q.stream {
			a.called = true
			c.do(CancelAttempt{q.ID, a.n})
		}
	}
	if q.at != nil {
		q.at.queue.remove(c, q)
		q.at = nil
	}
	c.forget(q)
}

// forget drops a closed query once none of its attempts is out.
func (c *Controller) forget(q *query) {
	if !q.closed || q.busy() {
		return
	}
	delete(c.queries, q.ID)
	if l := q.line; l != nil {
		l.queue = slices.DeleteFunc(l.queue, func(o *query) bool { return o == q })
		if len(l.queue) == 0 {
			c.alarm(max(0, l.restTo-c.now), func() {
				if len(l.queue) == 0 && c.lines[q.OrderKey] == l && l.restTo <= c.now {
					delete(c.lines, q.OrderKey)
				}
			})
		}
	}
}

func (f *queue) init(classes, tenants int) {
	f.flows = make([]flow, classes)
	for i := range f.flows {
		f.flows[i].tenants = make([]lane, tenants)
	}
}

func (f *queue) drop(c *Controller, fl *flow, ln *lane, i int) {
	q := ln.q[i]
	ln.q = slices.Delete(ln.q, i, i+1)
	fl.n--
	f.n--
	f.work -= q.work
	fl.work -= q.work
	ln.work -= q.work
	f.threads -= float64(c.classes[q.c].Threads)
}

// remove takes out a query that ended while it waited; it costs its class nothing.
func (f *queue) remove(c *Controller, q *query) {
	fl := &f.flows[q.c]
	ln := &fl.tenants[q.t]
	if i := slices.Index(ln.q, q); i >= 0 {
		f.drop(c, fl, ln, i)
	}
}

// vacate queues elsewhere what an engine holds queued.
func (c *Controller) vacate(e *engine) {
	for q := e.queue.head(nil); q != nil; q = e.queue.head(nil) {
		e.queue.pop(c, q)
		q.at = nil
		c.parked = append(c.parked, q)
	}
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }

// New returns a controller for these settings; equal seeds and events give equal actions.
func New(set Settings, seed uint64) (*Controller, error) {
	if len(set.Classes) == 0 {
		return nil, errors.New("no classes of query")
	}
	if set.Brokers < 1 {
		return nil, errors.New("no gateways")
	}
	if set.BrokerIndex < 0 || set.BrokerIndex >= set.Brokers {
		return nil, fmt.Errorf("gateway %d of %d", set.BrokerIndex, set.Brokers)
	}
	c := &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 0x7461)), classOf: map[string]int{},
		tenantOf: map[string]int{}, engineOf: map[string]*engine{}, queries: map[string]*query{},
		lines: map[string]*keyLine{}, alarms: map[uint64]func(){}, token: firstToken,
		loggedAt: map[string]time.Duration{}, banned: map[string]bool{}, part: 1 / float64(set.Brokers), price: leastPrice}
	c.set.Limits.MaxAttempts = max(1, set.Limits.MaxAttempts)
	for i, k := range set.Classes {
		k = k.whole()
		c.widest = max(c.widest, float64(k.Threads))
		c.classOf[k.Name] = i
		guess := firstGuess * k.LatencyObjective.Seconds() * float64(k.Threads)
		c.classes = append(c.classes, &class{Class: k, work: guess, ratio: 1, needs: firstNeeds, level: math.NaN(),
			spreadVar: 1})
		c.shares = append(c.shares, 1/float64(len(set.Classes)))
	}
	for i, t := range set.Tenants {
		c.tenantOf[t.Name] = i
		t.Share = max(t.Share, leastTenant)
		c.tenants = append(c.tenants, &tenant{Tenant: t})
	}
	other := Tenant{Share: 1} // those who are not told share the least share of one who is
	for _, t := range c.tenants {
		other.Share = min(other.Share, t.Share)
	}
	c.tenants = append(c.tenants, &tenant{Tenant: other})
	c.leastWorth = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.PriorityWeight, b.PriorityWeight) }).PriorityWeight
	c.tightest = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
	if c.pooled() {
		c.pool = c.newEngine(Engine{}, EngineKind{})
		c.pool.listed = true
		c.one[0] = c.pool
	}
	c.share = newRegulator(2, len(c.classes), qShares, c.shares)
	return c, nil
}

// whole is a class with what its deployment leaves out: it takes a thread at the least, and one without an aim is wanted by
// the time at which clients give up. Guards against queries that are refused as they can't make an aim that nobody has.
func (k Class) whole() Class {
	const anyAim = time.Second // of a class that has neither
	k.Threads = max(1, k.Threads)
	if k.LatencyObjective <= 0 {
		if k.LatencyObjective, k.ObjectivePerWork = k.ClientTimeout, 0; k.ClientTimeout <= 0 {
			k.LatencyObjective = anyAim
		}
	}
	return k
}

// means gives the mean threads and memory of a query in service, by rate and time.
func (c *Controller) means() (threads, memory float64) {
	n := 0.0
	for _, k := range c.classes {
		w := (k.rate + leastRate) * k.work / float64(k.Threads)
		threads, memory, n = threads+w*float64(k.Threads), memory+w*k.memory, n+w
	}
	return threads / n, memory / n
}

// line puts a query of an ordered class at the end of its key's line.
func (c *Controller) line(q *query) {
	if !c.classes[q.c].Ordered || q.OrderKey == "" {
		return
	}
	l := c.lines[q.OrderKey]
	if l == nil {
		l = &keyLine{}
		c.lines[q.OrderKey] = l
	}
	l.queue = append(l.queue, q)
	q.line = l
}

// tenant gives the number of a tenant; all unknown ones have one of their own.
func (c *Controller) tenant(name string) int {
	if t, ok := c.tenantOf[name]; ok {
		return t
	}
	return len(c.tenants) - 1
}

// running finds an attempt that is out; nil if it is over or was never made.
func (c *Controller) running(id string, n int) *attempt {
	if q := c.queries[id]; q != nil && n >= 0 && n < len(q.attempts) && q.attempts[n].out {
		return q.attempts[n]
	}
	return nil
}

func (c *Controller) newEngine(in Engine, kind EngineKind) *engine {
	e := &engine{Engine: Engine{ID: in.ID}, squeeze: 1, cores: max(1, kind.Cores), memory: kind.MemoryMB, fullAt: -1}
	if e.memory <= 0 { // not said, so nothing is bounded by it
		e.memory = math.Inf(1)
	}
	for _, b := range in.ID {
		e.hash = (e.hash*31 + int(b)) % 1000003
	}
	e.lot, e.mark = e, EngineHash(in.ID)
	e.queue.init(len(c.classes), len(c.tenants))
	e.bound = startThreads * e.cores * c.part
	e.reg = newRegulator(1, 1, qBound, []float64{startThreads})
	return e
}

// meet makes the record of an engine listed for the first time, in the order of IDs.
func (c *Controller) meet(in Engine) *engine {
	e := c.newEngine(in, c.set.EngineKinds[in.Kind])
	if c.pool != nil {
		e.lot = c.pool
	}
	e.heardAt = c.now // guards against calling a new one silent before it had time to answer
	c.engineOf[in.ID] = e
	at, _ := slices.BinarySearchFunc(c.engines, in.ID, func(o *engine, id string) int {
		return strings.Compare(o.ID, id)
	})
	c.engines = slices.Insert(c.engines, at, e)
	return e
}

func (c *Controller) probed(ev ProbeResult) {
	if e := c.engineOf[ev.Engine]; e != nil && ev.Status == OK {
		e.heardAt = c.now
		c.reported(e, ev.Report)
	}
}

// heard takes what another gateway told of engines: what is younger than what is known counts. Guards against a
// broker of many that sees an engine once in many seconds and sends to it by what it was then.
func (c *Controller) heard(ev GossipReceived) {
	for _, r := range ev.Reports {
		i := slices.IndexFunc(c.engines, func(e *engine) bool { return e.mark == r.Engine })
		if i < 0 {
			continue
		}
		if e, at := c.engines[i], c.now-max(0, r.Age); at > max(e.reportAt, e.StartedAt) {
			e.report, e.reportAt = max(0, r.Load), at
		}
	}
}

// survey sets the pool's load to what a thread at its engines meets: the mean of their loads, each weighed by itself,
// as engines that are crowded are no better off for others that stand empty. Seen: half of a fleet's sends made
// without pressure, by a mean load of 0.85, while single engines held from 1 to over 80 threads.
func (c *Controller) survey() {
	if c.pool == nil || !c.set.Limits.Gossip {
		return
	}
	sum, squares, youngest := 0.0, 0.0, time.Duration(0)
	for _, e := range c.engines {
		if e.listed && e.State == Ready && e.reportAt > 0 && c.now-e.reportAt <= seconds(reportLasts) {
			sum, squares, youngest = sum+e.report, squares+e.report*e.report, max(youngest, e.reportAt)
		}
	}
	if sum > 0 {
		c.pool.report, c.pool.reportAt = squares/sum, youngest
	}
}

// known gives the reports of the engines that are listed and no older than a time, the youngest first.
func (c *Controller) known(oldest time.Duration) []LoadReport {
	var all []LoadReport
	for _, e := range c.engines {
		if age := c.now - e.reportAt; e.listed && e.State == Ready && e.reportAt > 0 && age <= oldest {
			all = append(all, LoadReport{Engine: e.mark, Load: e.report, Age: age})
		}
	}
	slices.SortStableFunc(all, func(a, b LoadReport) int { return cmp.Compare(a.Age, b.Age) })
	return all
}

// measure closes an interval: rates, this gateway's part of the traffic, and per class inverse latency and
// throughput.
func (c *Controller) measure(gap time.Duration) (y []float64, seen []bool, served float64) {
	c.measured++
	total, quota := 0.0, 0.0
	for _, t := range c.tenants {
		t.rate += c.gain(rateGain) * (float64(t.arrived)/gap.Seconds() - t.rate)
		t.arrived = 0
		total += t.rate
		quota += t.Quota
	}
	if quota > 0 {
		even := 1 / float64(c.set.Brokers)
		part := min(1, max(leastPart*even, total/quota))
		if c.pool == nil {
			c.part += c.gain(partGain) * (part - c.part)
		} else if !c.pressed(c.pool) { // under pressure retries are counted again
			c.part += c.gain(poolGain) * (part - c.part)
		}
	}
	work, rate := 0.0, leastRate
	n := len(c.classes)
	y, seen = make([]float64, 2*n), make([]bool, n)
	for i, k := range c.classes {
		k.rate += c.gain(rateGain) * (float64(k.arrived)/gap.Seconds() - k.rate)
		k.arrived = 0
		work, rate = work+k.rate*k.work, rate+k.rate
		if k.done > 0 {
			seen[i] = true
			k.y = [2]float64{min(mostInverse, k.LatencyObjective.Seconds()*k.done/max(k.latency, 1e-6)),
				k.done / gap.Seconds() / (k.rate + rateFloor)}
		}
		y[2*i], y[2*i+1] = k.y[0], k.y[1]
		served += k.done
		k.done, k.latency = 0, 0
	}
	c.rate, c.meanWork, c.heaviest, c.longest, c.cheapest = rate, work/rate, 0, 0, math.Inf(1)
	for i, k := range c.classes {
		c.heaviest, c.cheapest = max(c.heaviest, k.work), min(c.cheapest, k.PriorityWeight/k.work)
		if k.HoldsDataSetLock {
			c.longest = max(c.longest, k.work/float64(k.Threads))
		}
		if o := c.classes[c.dearest]; k.PriorityWeight/k.work > o.PriorityWeight/o.work {
			c.dearest = i
		}
	}
	return y, seen, served
}

// gain is the weight of this interval in a mean that moves by g: at first the mean of all intervals so far. Guards
// against a start from a guess that a mean would take many intervals to leave: a broker of a fleet that gets several
// times the mean traffic was held to the even part of the bounds for most of a day (poolGain: 20 s to move two thirds).
func (c *Controller) gain(g float64) float64 {
	return max(g, 1/float64(max(1, c.measured)))
}

// full says whether an engine said within a time that it was full.
func (c *Controller) full(e *engine, within time.Duration) bool {
	return e.fullAt >= 0 && c.now-e.fullAt < within
}

// ranks gives the place, from 0 to 1, of an engine among all for a data set: by hash, so that every gateway finds
// the same.
func (e *engine) ranks(tables int) float64 {
	const odd = 2654435761 // spreads neighbours over all values
	return float64(uint32(e.hash*31+tables)*odd>>16) / (1 << 16)
}

// loading says whether a load of a data set is out at an engine: one of this gateway's, or one that others seem to
// have there.
func (c *Controller) loading(e *engine, tables int) bool {
	e.locks = slices.DeleteFunc(e.locks, func(l lock) bool { return l.until <= c.now })
	return slices.ContainsFunc(e.locks, func(l lock) bool { return l.tables == tables }) ||
		slices.ContainsFunc(e.attempts, func(a *attempt) bool { return c.classes[a.q.c].HoldsDataSetLock && a.q.DataSet == tables })
}

// unlock forgets that loads hold a data set, as what waits for them was answered.
func (e *engine) unlock(tables int) {
	e.locks = slices.DeleteFunc(e.locks, func(l lock) bool { return l.tables == tables })
}

// drop counts an attempt no more against its engine's bound.
func (c *Controller) drop(a *attempt) {
	if !a.dropped {
		a.dropped = true
		a.e.hold(-c.classes[a.q.c].Threads)
	}
}

// resize sums up after a change of engines: whether most look bad, when the belief is probably wrong, and
// the pool's size.
func (c *Controller) resize() {
	c.bury()
	cores, memory, well, ready := 0.0, 0.0, 0, len(c.engines)
	for _, e := range c.engines {
		switch {
		case !e.listed || e.State != Ready:
			ready--
		case e.down:
			well--
		default:
			well++
			cores += e.cores * c.warmth(e)
			memory += e.memory
		}
	}
	c.doubt, c.ready = well < 0, max(1, ready)
	if p := c.pool; p != nil {
		was := p.cores
		p.cores, p.memory = max(1, cores), max(1, memory)
		p.bound *= p.cores / was
	}
}

// newRegulator starts a regulator: one of the document's, or one of an engine's bound.
func newRegulator(per, groups int, price float64, u []float64) *rls.Regulator {
	return rls.New(rls.Config{OutputsPerGroup: per, Groups: groups, InputPenalty: price, InitialGain: firstGain, InitialCovariance: firstCov,
		ForgettingFactor: forget, MaxTrace: mostTrace}, u)
}

// list follows the list of engines.
func (c *Controller) list(ev EndpointUpdate) {
	if ev.Kind == EndpointPollFailed {
		c.watching = false // whatever failed, a subscription may be asked for again
		c.askAt = c.now + min(askAgain, c.set.Rules.MaxPollInterval/2)
		return
	}
	named := map[string]bool{}
	for _, in := range ev.Engines {
		named[in.ID] = true
		e := c.engineOf[in.ID]
		if e == nil {
			e = c.meet(in)
		} else if in.StartedAt > e.StartedAt {
			e.down, e.fails, e.slow, e.samples = false, 0, c.best, 0 // what was believed is void
			e.fullAt, e.lost, e.evidence = -1, 0, 0
		}
		e.Engine, e.listed, e.said = in, in.State != Removed, in.State
		c.hold(e)
	}
	if ev.Kind == EndpointSnapshot {
		for _, e := range c.engines {
			if !named[e.ID] && e.listed {
				e.listed = false
				c.vacate(e)
			}
		}
	}
	c.resize()
}

// bury lets go of engines that are gone, once nothing is out at them. Guards against records that add up where
// engines are replaced all day, and against probes that are drawn for those that are gone.
func (c *Controller) bury() {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		if e.listed || len(e.attempts) > 0 || e.queue.n > 0 {
			return false
		}
		delete(c.engineOf, e.ID)
		delete(c.loggedAt, "down "+e.ID)
		delete(c.loggedAt, "back "+e.ID)
		return true
	})
}

// lots are what has a queue and a bound: each engine, or the pool.
func (c *Controller) lots() []*engine {
	if c.pool != nil {
		return c.one[:]
	}
	return c.engines
}

// lose counts an answer that never came, as far as that is sure.
func (c *Controller) lose(e *engine, sure float64) {
	e.lost, e.evidence, c.lost, c.evidence = e.lost+sure, e.evidence+1, c.lost+sure, c.evidence+1
}

// age sets the age of what is out at an engine: the median, which one long query can't move.
func (c *Controller) age(e *engine) {
	ages := make([]float64, 0, len(e.attempts))
	for _, a := range e.attempts {
		if a.dropped {
			continue
		}
		usual := a.q.work/float64(c.classes[a.q.c].Threads) + leastUsual
		ages = append(ages, (c.now-a.sent).Seconds()/usual)
	}
	e.overdue = 0
	if slices.Sort(ages); len(ages) > 0 {
		e.overdue = ages[(len(ages)-1)/2]
	}
}

// hold counts threads at an engine and where its bound is.
func (e *engine) hold(threads int) {
	e.threads += threads
	if e.lot != e {
		e.lot.threads += threads
	}
}

// begin puts an attempt on its engine's records.
func (e *engine) begin(a *attempt) {
	e.attempts = append(e.attempts, a)
	if e.lot != e {
		e.lot.attempts = append(e.lot.attempts, a)
	}
}

// unpark places again what found no engine.
func (c *Controller) unpark() {
	waiting := c.parked
	c.parked = nil
	for _, q := range waiting {
		if !q.closed {
			c.place(q, nil)
		}
	}
}

// fade lets evidence and failures count for less as they age.
func (c *Controller) fade(evidence, fails float64) {
	c.evidence, c.lost = c.evidence*evidence, c.lost*evidence
	for _, e := range c.engines {
		e.evidence, e.lost, e.fails = e.evidence*evidence, e.lost*evidence, e.fails*fails
	}
}

// end takes an attempt off its engine's records.
func (e *engine) end(a *attempt) {
	same := func(o *attempt) bool { return o == a }
	e.attempts = slices.DeleteFunc(e.attempts, same)
	if e.lot != e {
		e.lot.attempts = slices.DeleteFunc(e.lot.attempts, same)
	}
}

// held is the threads of a class's attempts that are out at an engine.
func (c *Controller) held(e *engine, class int) float64 {
	n := 0
	for _, a := range e.attempts {
		if a.q.c == class && !a.dropped {
			n += c.classes[class].Threads
		}
	}
	if e == c.pool {
		n += c.classes[class].leaving * c.classes[class].Threads
	}
	return float64(n)
}

// likely is how long a query should take on an engine by what its class takes there over what is expected of all:
// priorities and locks differ by class.
func (c *Controller) likely(q *query, e *engine) time.Duration {
	return seconds(c.expect(q, e) * math.Exp(c.classes[q.c].spreadMean))
}

// busy says whether an attempt of a query is out.
func (q *query) busy() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.out })
}

// trim forgets queries taken and further attempts made that the budget's window has passed; the queries a
// round early, to be on the safe side, and both by what an attempt may leave late.
func (c *Controller) trim() {
	from, late := c.now-c.set.Rules.RetryBudgetWindow, c.set.MaxSendDelay
	c.further = slices.DeleteFunc(c.further, func(t time.Duration) bool { return t < from-late })
	c.took = slices.DeleteFunc(c.took, func(t time.Duration) bool { return t < from+c.set.MinBatchInterval+late })
}

// left learns how long clients stay that leave before their time, and how many do.
func (c *Controller) left(q *query, gone float64) {
	k := c.classes[q.c]
	k.leaves += spreadGain * (gone - k.leaves)
	first := min(1, manyLeave/max(k.leaves, 1e-9)) // while few left, the last one tells most
	k.stays += gone * max(leaveGain, first) * ((c.now - q.taken).Seconds() - k.stays)
}

// reported takes a load report: the busiest of the shares, or the queries held against the bound.
func (c *Controller) reported(e *engine, row []float64) {
	if len(row) == 0 || len(row) != len(c.set.ReportFields) {
		return
	}
	load := 0.0
	threads, memory := c.means()
	for i, f := range c.set.ReportFields {
		switch f {
		case "util", "x1", "x0":
			load = max(load, row[i])
		case "inflight":
			load = max(load, row[i]*threads/(mostThreads*e.cores), row[i]*memory/e.memory)
		}
	}
	if c.now-e.reportAt > interval {
		e.report = load
	}
	e.report += 0.5 * (load - e.report)
	e.reportAt = c.now
	if p := e.lot; p != e && !c.set.Limits.Gossip {
		p.report += poolReport * (load - p.report)
		p.reportAt = c.now
	}
}

// learn takes what an answer teaches: work, estimates' bias, memory, slowness.
func (c *Controller) learn(q *query, a *attempt, ev AttemptEnded) {
	k, e := c.classes[q.c], a.e
	took, th := max(ev.Duration.Seconds(), 1e-4), float64(k.Threads)
	k.seen++
	gain, x := max(0.02, 1/(k.seen+1)), 0.0
	if c.set.ReportsCost && ev.Work > 0 {
		work := ev.Work.Seconds()
		k.work += gain * (work - k.work)
		if q.EstimatedWork > 0 {
			k.ratio += gain * (work/q.EstimatedWork.Seconds() - k.ratio)
		}
		if q.EstimatedMemoryMB > 0 && ev.MemoryMB > 0 {
			up := -0.2
			if ev.MemoryMB > q.EstimatedMemoryMB*k.needs {
				up = 0.8
			}
			k.needs *= 1 + 0.03*up
		}
		k.memory += gain * (ev.MemoryMB - k.memory)
		x = math.Log(took * th / work)
	} else {
		work := took * th / math.Exp(c.slowness(e))
		k.work += gain * (work - k.work)
		l := math.Log(took)
		if math.IsNaN(k.level) {
			k.level = l
		}
		if gain *= 0.5; l < k.level { // a low quantile, followed in ever smaller steps
			k.level -= 3 * max(gain, levelStep)
		} else {
			k.level += max(gain-0.01, levelStep)
		}
		x = l - k.level
	}
	z := math.Log(took / c.expect(q, e))
	gain = max(spreadGain, 1/(k.seen+spreadPrior))
	k.spreadVar += gain * ((z-k.spreadMean)*(z-k.spreadMean) - k.spreadVar)
	k.spreadMean += gain * (z - k.spreadMean)
	weight := slowGain
	if !c.set.ReportsCost {
		weight /= 3 // the scatter of the work is in the sample
	}
	if p := e.lot; p != e {
		e.slow += max(weight, 1/e.evidence) * (x - e.slow)
		e = p
	}
	e.slow += max(weight, 1/float64(e.samples+1)) * (x - e.slow)
	e.samples, e.sampledAt = e.samples+1, c.now
	e.sum, e.n = e.sum+took/k.LatencyObjective.Seconds(), e.n+1
	k.latency, k.done = k.latency+(c.now-q.taken).Seconds(), k.done+1
}

// UpdateClasses takes over the classes and the ration of attempts of settings read anew. A class that is new, or whose
// settings differ, gets a place of its own: queries under way keep the class that they came under, and their
// place goes on until they are over. A class that is not named any more takes no new query here; the broker
// turns those away. The other settings are those of the start.
func (c *Controller) UpdateClasses(classes []Class, limits Limits) {
	grew := false
	for _, k := range classes {
		k = k.whole()
		if i, ok := c.classOf[k.Name]; ok && reflect.DeepEqual(c.classes[i].Class, k) {
			continue
		}
		c.classOf[k.Name] = len(c.classes)
		c.widest = max(c.widest, float64(k.Threads))
		guess := firstGuess * k.LatencyObjective.Seconds() * float64(k.Threads)
		c.classes = append(c.classes, &class{Class: k, work: guess, ratio: 1, needs: firstNeeds, level: math.NaN(),
			spreadVar: 1})
		c.shares = append(c.shares, 1/float64(len(c.classes)))
		grew = true
	}
	c.set.Limits.MaxAttempts = limits.MaxAttempts
	if !grew {
		return
	}
	sum := 0.0
	for _, s := range c.shares {
		sum += s
	}
	for i := range c.shares {
		c.shares[i] /= sum
	}
	for _, e := range c.engines {
		e.queue.grow(len(c.classes), len(c.tenants))
	}
	if c.pool != nil {
		c.pool.queue.grow(len(c.classes), len(c.tenants))
	}
	c.leastWorth = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.PriorityWeight, b.PriorityWeight) }).PriorityWeight
	c.tightest = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
	c.share = newRegulator(2, len(c.classes), qShares, c.shares) // what it learnt was of fewer classes
}

// grow makes room for classes that came after the start.
func (f *queue) grow(classes, tenants int) {
	for len(f.flows) < classes {
		f.flows = append(f.flows, flow{tenants: make([]lane, tenants)})
	}
}

// ban leaves an engine out by hand, or lets it in again.
func (c *Controller) ban(ev SetMaintenance) {
	if ev.Enabled {
		c.banned[ev.Engine] = true
	} else {
		delete(c.banned, ev.Engine)
	}
	if e := c.engineOf[ev.Engine]; e != nil {
		c.hold(e)
		c.resize()
	}
}

// hold follows what the list says of an engine, unless it is left out by hand: then it is followed as one that
// drains, and nothing new goes to it.
func (c *Controller) hold(e *engine) {
	e.State = e.said
	if c.banned[e.ID] && e.State == Ready {
		e.State = Draining
	}
	if e.State != Ready {
		c.vacate(e)
	}
}
