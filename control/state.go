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
	idHash                       int     // of its ID
	shortID                      uint32  // of its ID, between gateways
	queueOwner                   *engine // holds its queue and bound: itself, or the pool
	listed                       bool
	listedState                  EngineState // what the list says; State is what is followed
	cores                        float64
	memoryMB                     float64 // MB
	threadsInFlight              int     // of attempts out
	attempts                     []*attempt
	queue                        fairQueue
	limit                        float64 // threads for this gateway here
	limitRegulator               *rls.Regulator
	limitBackoff                 float64 // part of the bound that is left in a jam
	logSlowdown                  float64 // log of slowdown, averaged
	slowdownSamples              int
	sampledAt                    time.Duration
	overdueRatio                 float64 // age of what is out, over its usual time
	lastResponseAt               time.Duration
	atCapacityAt                 time.Duration // when it last said full; negative: never
	failureRate                  float64
	ejected                      bool
	halfOpenAt                   time.Duration
	load                         float64 // load as reported
	loadReportedAt               time.Duration
	probedAt                     time.Duration // when it was probed for a report
	dataSetLocks                 []dataSetLock // data sets that loads seem to hold
	slowStartSends               []slowStartSend
	evidence                     float64 // answers that beliefs rest on, fading
	lost                         float64 // those of them that never came
	relativeLatencySum, answered float64 // service time over aim in this interval
}

// dataSetLock is a data set that is held by a load, as far as is known, and until when that is believed.
type dataSetLock struct {
	dataSet   int
	expiresAt time.Duration
}

type slowStartSend struct {
	sentAt time.Duration
	work   float64
}

type attempt struct {
	request        *request
	number         int
	engine         *engine
	sentAt         time.Duration
	inFlight       bool
	mayHaveRun     bool    // it may have run
	cancelled      bool    // it was called off
	presumedLost   bool    // its answer is not waited for
	lossConfidence float64 // how sure that is
	released       bool    // it counts no more against the bound
	lastProgressAt time.Duration
}

type request struct {
	Request
	classIndex   int // class
	tenantIndex  int // tenant
	receivedAt   time.Duration
	objectiveAt  time.Duration // time by which it is wanted
	expectedWork float64       // thread-seconds expected
	attempts     []*attempt
	closed       bool
	streaming    bool
	queuedOn     *engine // where it is queued
	avoid        *engine // where it just failed
	keyQueue     *keyQueue
	probed       bool      // engines were probed for it
	candidates   []*engine // where it may go, once their load is known
	priority     int
}

type keyQueue struct {
	waiting       []*request
	cooldownUntil time.Duration
}

type class struct {
	Class
	abandonRate           float64 // share of clients that leave before their time
	abandonAfter          float64 // how long those stay, seconds
	meanWork              float64 // thread-seconds, averaged
	answersSeen           float64 // how many answers taught work
	workBias              float64 // told work over estimate
	meanMemoryMB          float64 // MB needed, averaged; 0: not told
	memoryQuantile        float64 // high quantile of memory needed over estimated
	serviceTimeFloor      float64 // log of the low quantile of service time per thread-second
	meanWait              float64 // mean time held here, seconds
	spreadMean, spreadVar float64 // of the log of service time over what was expected
	arrivalRate           float64
	awaitingProbes        int // queries that leave the pool once engines have told their load
	arrivals              int
	latencySum            float64 // sums over the interval
	answered              float64
	lastOutputs           [2]float64
}

type tenant struct {
	Tenant
	arrivals    int
	arrivalRate float64
}

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	settings           Settings
	rng                *rand.Rand
	now                time.Duration
	actions            []Action
	classes            []*class
	tenants            []*tenant
	classByName        map[string]int
	tenantByName       map[string]int
	engines            []*engine  // sorted by ID
	one                [1]*engine // the pool
	pool               *engine    // all engines as one, where they are pooled; else nil
	engineByID         map[string]*engine
	requests           map[string]*request
	waitingForEngine   []*request
	keyQueues          map[string]*keyQueue
	timers             map[uint64]func()
	lastToken          uint64
	started            bool
	intervalStart      time.Duration
	shareRegulator     *rls.Regulator
	shares             []float64
	lowestWorth        float64
	arrivalRate        float64 // queries a second
	meanWork           float64 // of a query, by the rates of the classes
	heaviestWork       float64 // work of the heaviest class
	longestLoad        float64 // usual time of the longest class of loads, in seconds
	lowestWorthPerWork float64 // worth a thread-second of the class that earns least
	mostValuable       int     // the class that earns most for its work
	mostThreads        float64 // threads of the widest class
	readyEngines       int     // engines listed as ready
	mostLookFaulty     bool    // most engines look bad
	tightest           *class  // the one with the tightest aim
	bestLogSlowdown    float64 // log of the least slowdown seen
	retryTimes         []time.Duration
	requestTimes       []time.Duration
	evidence           float64       // answers of late, fading
	lost               float64       // and those that never came
	admissionPrice     float64       // worth a thread-second, in parts of the cheapest class's, that a query must bring
	trafficShare       float64       // this gateway's part of the traffic, as far as it can tell
	intervals          int           // intervals measured since the start
	nextSubscribeAt    time.Duration // when the list may be asked for again
	subscribed         bool
	loggedAt           map[string]time.Duration
	inMaintenance      map[string]bool // engines left out by hand
	gossipSentAt       time.Duration   // when another gateway was last told of loads
}

// fairQueue is start-time fair queuing by class, and within a class by tenant.
type fairQueue struct {
	flows       []classFlow
	virtualTime float64
	length      int
	threads     float64
	work        float64
}

type classFlow struct {
	start, finish     float64
	tenants           []tenantFlow
	virtualTime, work float64
	length            int
}

type tenantFlow struct {
	start, finish float64
	work          float64
	requests      []*request
}

// Handle takes what happened at one time, in order, and returns what to do, in order. A time before
// that of the last call counts as the last call's.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	if len(events) == 0 {
		return nil
	}
	if !c.started {
		c.started = true
		c.intervalStart = c.now
		c.emit(SetTimer{tickInterval, 1})
	}
	// After a standstill much comes at once: what ended is taken before what is new or due is judged.
	var gone map[string]bool
	for _, ev := range events {
		switch ev := ev.(type) {
		case ClientDisconnected:
			if q := c.requests[ev.RequestID]; q != nil && !q.closed {
				c.recordDeparture(q, 1)
				c.closeRequest(q)
			}
			if gone == nil {
				gone = map[string]bool{}
			}
			gone[ev.RequestID] = true
		case ResponseStarted:
			if q := c.requests[ev.RequestID]; q != nil {
				q.streaming = true
			}
		case AttemptEnded:
			c.attemptEnded(ev)
		case AttemptProgress:
			c.attemptProgress(ev)
		case ProbeResult:
			c.probeEnded(ev)
		case GossipReceived:
			c.gossipReceived(ev)
		case EndpointUpdate:
			c.endpointsUpdated(ev)
		case SetMaintenance:
			c.setMaintenance(ev)
		}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case RequestReceived:
			if !gone[ev.Request.ID] {
				c.requestReceived(ev.Request)
			}
		case TimerFired:
			if ev.Token == 1 {
				c.runTick()
			} else if f := c.timers[ev.Token]; f != nil {
				delete(c.timers, ev.Token)
				f()
			}
		}
	}
	for _, e := range c.queueOwners() {
		c.dispatch(e)
	}
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) startTimer(after time.Duration, f func()) {
	c.lastToken++
	c.timers[c.lastToken] = f
	c.emit(SetTimer{max(after, c.settings.MinBatchInterval, 1), c.lastToken})
}

func (c *Controller) log(about, format string, args ...any) {
	if at, ok := c.loggedAt[about]; ok && c.now-at < logEvery {
		return
	}
	c.loggedAt[about] = c.now
	c.emit(Log{fmt.Sprintf(format, args...)})
}

func (c *Controller) closeRequest(q *request) {
	if q.closed {
		return
	}
	q.closed = true
	for _, a := range q.attempts { // what still runs for it is of no use
		if a.inFlight && !a.cancelled && c.settings.Limits.Cancellation && !q.streaming {
			a.cancelled = true
			c.emit(CancelAttempt{q.ID, a.number})
		}
	}
	if q.queuedOn != nil {
		q.queuedOn.queue.remove(c, q)
		q.queuedOn = nil
	}
	c.forgetRequest(q)
}

// forgetRequest drops a closed query once none of its attempts is out.
func (c *Controller) forgetRequest(q *request) {
	if !q.closed || q.hasAttemptInFlight() {
		return
	}
	delete(c.requests, q.ID)
	if l := q.keyQueue; l != nil {
		l.waiting = slices.DeleteFunc(l.waiting, func(o *request) bool { return o == q })
		if len(l.waiting) == 0 {
			c.startTimer(max(0, l.cooldownUntil-c.now), func() {
				if len(l.waiting) == 0 && c.keyQueues[q.OrderKey] == l && l.cooldownUntil <= c.now {
					delete(c.keyQueues, q.OrderKey)
				}
			})
		}
	}
}

func (f *fairQueue) init(classes, tenants int) {
	f.flows = make([]classFlow, classes)
	for i := range f.flows {
		f.flows[i].tenants = make([]tenantFlow, tenants)
	}
}

func (f *fairQueue) drop(c *Controller, fl *classFlow, ln *tenantFlow, i int) {
	q := ln.requests[i]
	ln.requests = slices.Delete(ln.requests, i, i+1)
	fl.length--
	f.length--
	f.work -= q.expectedWork
	fl.work -= q.expectedWork
	ln.work -= q.expectedWork
	f.threads -= float64(c.classes[q.classIndex].Threads)
}

// remove takes out a query that ended while it waited; it costs its class nothing.
func (f *fairQueue) remove(c *Controller, q *request) {
	fl := &f.flows[q.classIndex]
	ln := &fl.tenants[q.tenantIndex]
	if i := slices.Index(ln.requests, q); i >= 0 {
		f.drop(c, fl, ln, i)
	}
}

// requeueWaiting queues elsewhere what an engine holds queued.
func (c *Controller) requeueWaiting(e *engine) {
	for q := e.queue.head(nil); q != nil; q = e.queue.head(nil) {
		e.queue.pop(c, q)
		q.queuedOn = nil
		c.waitingForEngine = append(c.waitingForEngine, q)
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
	c := &Controller{settings: set, rng: rand.New(rand.NewPCG(seed, 0x7461)), classByName: map[string]int{},
		tenantByName: map[string]int{}, engineByID: map[string]*engine{}, requests: map[string]*request{},
		keyQueues: map[string]*keyQueue{}, timers: map[uint64]func(){}, lastToken: firstToken,
		loggedAt: map[string]time.Duration{}, inMaintenance: map[string]bool{}, trafficShare: 1 / float64(set.Brokers), admissionPrice: minAdmissionPrice}
	c.settings.Limits.MaxAttempts = max(1, set.Limits.MaxAttempts)
	for i, k := range set.Classes {
		k = k.withDefaults()
		c.mostThreads = max(c.mostThreads, float64(k.Threads))
		c.classByName[k.Name] = i
		guess := initialWorkFactor * k.LatencyObjective.Seconds() * float64(k.Threads)
		c.classes = append(c.classes, &class{Class: k, meanWork: guess, workBias: 1, memoryQuantile: initialMemoryQuantile, serviceTimeFloor: math.NaN(),
			spreadVar: 1})
		c.shares = append(c.shares, 1/float64(len(set.Classes)))
	}
	for i, t := range set.Tenants {
		c.tenantByName[t.Name] = i
		t.Share = max(t.Share, minTenantShare)
		c.tenants = append(c.tenants, &tenant{Tenant: t})
	}
	other := Tenant{Share: 1} // those who are not told share the least share of one who is
	for _, t := range c.tenants {
		other.Share = min(other.Share, t.Share)
	}
	c.tenants = append(c.tenants, &tenant{Tenant: other})
	c.lowestWorth = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.PriorityWeight, b.PriorityWeight) }).PriorityWeight
	c.tightest = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
	if c.poolsEngines() {
		c.pool = c.newEngine(Engine{}, EngineKind{})
		c.pool.listed = true
		c.one[0] = c.pool
	}
	c.shareRegulator = newRegulator(2, len(c.classes), shareMoveCost, c.shares)
	return c, nil
}

// withDefaults is a class with what its deployment leaves out: it takes a thread at the least, and one without an aim is wanted by
// the time at which clients give up. Guards against queries that are refused as they can't make an aim that nobody has.
func (k Class) withDefaults() Class {
	const anyAim = time.Second // of a class that has neither
	k.Threads = max(1, k.Threads)
	if k.LatencyObjective <= 0 {
		if k.LatencyObjective, k.ObjectivePerWork = k.ClientTimeout, 0; k.ClientTimeout <= 0 {
			k.LatencyObjective = anyAim
		}
	}
	return k
}

// meanDemand gives the mean threads and memory of a query in service, by rate and time.
func (c *Controller) meanDemand() (threads, memory float64) {
	n := 0.0
	for _, k := range c.classes {
		w := (k.arrivalRate + minClassRate) * k.meanWork / float64(k.Threads)
		threads, memory, n = threads+w*float64(k.Threads), memory+w*k.meanMemoryMB, n+w
	}
	return threads / n, memory / n
}

// joinKeyQueue puts a query of an ordered class at the end of its key's line.
func (c *Controller) joinKeyQueue(q *request) {
	if !c.classes[q.classIndex].Ordered || q.OrderKey == "" {
		return
	}
	l := c.keyQueues[q.OrderKey]
	if l == nil {
		l = &keyQueue{}
		c.keyQueues[q.OrderKey] = l
	}
	l.waiting = append(l.waiting, q)
	q.keyQueue = l
}

// tenant gives the number of a tenant; all unknown ones have one of their own.
func (c *Controller) tenant(name string) int {
	if t, ok := c.tenantByName[name]; ok {
		return t
	}
	return len(c.tenants) - 1
}

// attemptInFlight finds an attempt that is out; nil if it is over or was never made.
func (c *Controller) attemptInFlight(id string, n int) *attempt {
	if q := c.requests[id]; q != nil && n >= 0 && n < len(q.attempts) && q.attempts[n].inFlight {
		return q.attempts[n]
	}
	return nil
}

func (c *Controller) newEngine(in Engine, kind EngineKind) *engine {
	e := &engine{Engine: Engine{ID: in.ID}, limitBackoff: 1, cores: max(1, kind.Cores), memoryMB: kind.MemoryMB, atCapacityAt: -1}
	if e.memoryMB <= 0 { // not said, so nothing is bounded by it
		e.memoryMB = math.Inf(1)
	}
	for _, b := range in.ID {
		e.idHash = (e.idHash*31 + int(b)) % 1000003
	}
	e.queueOwner, e.shortID = e, EngineHash(in.ID)
	e.queue.init(len(c.classes), len(c.tenants))
	e.limit = initialThreadsPerCore * e.cores * c.trafficShare
	e.limitRegulator = newRegulator(1, 1, limitMoveCost, []float64{initialThreadsPerCore})
	return e
}

// addEngine makes the record of an engine listed for the first time, in the order of IDs.
func (c *Controller) addEngine(in Engine) *engine {
	e := c.newEngine(in, c.settings.EngineKinds[in.Kind])
	if c.pool != nil {
		e.queueOwner = c.pool
	}
	e.lastResponseAt = c.now // guards against calling a new one silent before it had time to answer
	c.engineByID[in.ID] = e
	at, _ := slices.BinarySearchFunc(c.engines, in.ID, func(o *engine, id string) int {
		return strings.Compare(o.ID, id)
	})
	c.engines = slices.Insert(c.engines, at, e)
	return e
}

func (c *Controller) probeEnded(ev ProbeResult) {
	if e := c.engineByID[ev.Engine]; e != nil && ev.Status == OK {
		e.lastResponseAt = c.now
		c.loadReported(e, ev.Report)
	}
}

// gossipReceived takes what another gateway told of engines: what is younger than what is known counts. Guards against a
// broker of many that sees an engine once in many seconds and sends to it by what it was then.
func (c *Controller) gossipReceived(ev GossipReceived) {
	for _, r := range ev.Reports {
		i := slices.IndexFunc(c.engines, func(e *engine) bool { return e.shortID == r.Engine })
		if i < 0 {
			continue
		}
		if e, at := c.engines[i], c.now-max(0, r.Age); at > max(e.loadReportedAt, e.StartedAt) {
			e.load, e.loadReportedAt = max(0, r.Load), at
		}
	}
}

// updatePoolLoad sets the pool's load to what a thread at its engines meets: the mean of their loads, each weighed by itself,
// as engines that are crowded are no better off for others that stand empty. Seen: half of a fleet's sends made
// without pressure, by a mean load of 0.85, while single engines held from 1 to over 80 threads.
func (c *Controller) updatePoolLoad() {
	if c.pool == nil || !c.settings.Limits.Gossip {
		return
	}
	sum, squares, youngest := 0.0, 0.0, time.Duration(0)
	for _, e := range c.engines {
		if e.listed && e.State == Ready && e.loadReportedAt > 0 && c.now-e.loadReportedAt <= seconds(loadReportDecay) {
			sum, squares, youngest = sum+e.load, squares+e.load*e.load, max(youngest, e.loadReportedAt)
		}
	}
	if sum > 0 {
		c.pool.load, c.pool.loadReportedAt = squares/sum, youngest
	}
}

// recentLoadReports gives the reports of the engines that are listed and no older than a time, the youngest first.
func (c *Controller) recentLoadReports(oldest time.Duration) []LoadReport {
	var all []LoadReport
	for _, e := range c.engines {
		if age := c.now - e.loadReportedAt; e.listed && e.State == Ready && e.loadReportedAt > 0 && age <= oldest {
			all = append(all, LoadReport{Engine: e.shortID, Load: e.load, Age: age})
		}
	}
	slices.SortStableFunc(all, func(a, b LoadReport) int { return cmp.Compare(a.Age, b.Age) })
	return all
}

// closeInterval closes an interval: rates, this gateway's part of the traffic, and per class inverse latency and
// throughput.
func (c *Controller) closeInterval(gap time.Duration) (y []float64, seen []bool, served float64) {
	c.intervals++
	total, quota := 0.0, 0.0
	for _, t := range c.tenants {
		t.arrivalRate += c.startupGain(rateGain) * (float64(t.arrivals)/gap.Seconds() - t.arrivalRate)
		t.arrivals = 0
		total += t.arrivalRate
		quota += t.Quota
	}
	if quota > 0 {
		even := 1 / float64(c.settings.Brokers)
		part := min(1, max(minTrafficShare*even, total/quota))
		if c.pool == nil {
			c.trafficShare += c.startupGain(trafficShareGain) * (part - c.trafficShare)
		} else if !c.underPressure(c.pool) { // under pressure retries are counted again
			c.trafficShare += c.startupGain(poolShareGain) * (part - c.trafficShare)
		}
	}
	work, rate := 0.0, minClassRate
	n := len(c.classes)
	y, seen = make([]float64, 2*n), make([]bool, n)
	for i, k := range c.classes {
		k.arrivalRate += c.startupGain(rateGain) * (float64(k.arrivals)/gap.Seconds() - k.arrivalRate)
		k.arrivals = 0
		work, rate = work+k.arrivalRate*k.meanWork, rate+k.arrivalRate
		if k.answered > 0 {
			seen[i] = true
			k.lastOutputs = [2]float64{min(maxInverseLatency, k.LatencyObjective.Seconds()*k.answered/max(k.latencySum, 1e-6)),
				k.answered / gap.Seconds() / (k.arrivalRate + minThroughputRate)}
		}
		y[2*i], y[2*i+1] = k.lastOutputs[0], k.lastOutputs[1]
		served += k.answered
		k.answered, k.latencySum = 0, 0
	}
	c.arrivalRate, c.meanWork, c.heaviestWork, c.longestLoad, c.lowestWorthPerWork = rate, work/rate, 0, 0, math.Inf(1)
	for i, k := range c.classes {
		c.heaviestWork, c.lowestWorthPerWork = max(c.heaviestWork, k.meanWork), min(c.lowestWorthPerWork, k.PriorityWeight/k.meanWork)
		if k.HoldsDataSetLock {
			c.longestLoad = max(c.longestLoad, k.meanWork/float64(k.Threads))
		}
		if o := c.classes[c.mostValuable]; k.PriorityWeight/k.meanWork > o.PriorityWeight/o.meanWork {
			c.mostValuable = i
		}
	}
	return y, seen, served
}

// startupGain is the weight of this interval in a mean that moves by g: at first the mean of all intervals so far. Guards
// against a start from a guess that a mean would take many intervals to leave: a broker of a fleet that gets several
// times the mean traffic was held to the even part of the bounds for most of a day (poolGain: 20 s to move two thirds).
func (c *Controller) startupGain(g float64) float64 {
	return max(g, 1/float64(max(1, c.intervals)))
}

// atCapacity says whether an engine said within a time that it was full.
func (c *Controller) atCapacity(e *engine, within time.Duration) bool {
	return e.atCapacityAt >= 0 && c.now-e.atCapacityAt < within
}

// dataSetRank gives the place, from 0 to 1, of an engine among all for a data set: by hash, so that every gateway finds
// the same.
func (e *engine) dataSetRank(tables int) float64 {
	const odd = 2654435761 // spreads neighbours over all values
	return float64(uint32(e.idHash*31+tables)*odd>>16) / (1 << 16)
}

// dataSetLocked says whether a load of a data set is out at an engine: one of this gateway's, or one that others seem to
// have there.
func (c *Controller) dataSetLocked(e *engine, tables int) bool {
	e.dataSetLocks = slices.DeleteFunc(e.dataSetLocks, func(l dataSetLock) bool { return l.expiresAt <= c.now })
	return slices.ContainsFunc(e.dataSetLocks, func(l dataSetLock) bool { return l.dataSet == tables }) ||
		slices.ContainsFunc(e.attempts, func(a *attempt) bool {
			return c.classes[a.request.classIndex].HoldsDataSetLock && a.request.DataSet == tables
		})
}

// releaseDataSet forgets that loads hold a data set, as what waits for them was answered.
func (e *engine) releaseDataSet(tables int) {
	e.dataSetLocks = slices.DeleteFunc(e.dataSetLocks, func(l dataSetLock) bool { return l.dataSet == tables })
}

// releaseThreads counts an attempt no more against its engine's bound.
func (c *Controller) releaseThreads(a *attempt) {
	if !a.released {
		a.released = true
		a.engine.addThreads(-c.classes[a.request.classIndex].Threads)
	}
}

// updateFleetTotals sums up after a change of engines: whether most look bad, when the belief is probably wrong, and
// the pool's size.
func (c *Controller) updateFleetTotals() {
	c.removeGoneEngines()
	cores, memory, well, ready := 0.0, 0.0, 0, len(c.engines)
	for _, e := range c.engines {
		switch {
		case !e.listed || e.State != Ready:
			ready--
		case e.ejected:
			well--
		default:
			well++
			cores += e.cores * c.slowStartFraction(e)
			memory += e.memoryMB
		}
	}
	c.mostLookFaulty, c.readyEngines = well < 0, max(1, ready)
	if p := c.pool; p != nil {
		was := p.cores
		p.cores, p.memoryMB = max(1, cores), max(1, memory)
		p.limit *= p.cores / was
	}
}

// newRegulator starts a regulator: one of the document's, or one of an engine's bound.
func newRegulator(per, groups int, price float64, u []float64) *rls.Regulator {
	return rls.New(rls.Config{OutputsPerGroup: per, Groups: groups, InputPenalty: price, InitialGain: initialFitGain, InitialCovariance: initialFitCovariance,
		ForgettingFactor: forgettingFactor, MaxTrace: maxCovarianceTrace}, u)
}

// endpointsUpdated follows the list of engines.
func (c *Controller) endpointsUpdated(ev EndpointUpdate) {
	if ev.Kind == EndpointPollFailed {
		c.subscribed = false // whatever failed, a subscription may be asked for again
		c.nextSubscribeAt = c.now + min(subscribeRetryAfter, c.settings.Rules.MaxPollInterval/2)
		return
	}
	named := map[string]bool{}
	for _, in := range ev.Engines {
		named[in.ID] = true
		e := c.engineByID[in.ID]
		if e == nil {
			e = c.addEngine(in)
		} else if in.StartedAt > e.StartedAt {
			e.ejected, e.failureRate, e.logSlowdown, e.slowdownSamples = false, 0, c.bestLogSlowdown, 0 // what was believed is void
			e.atCapacityAt, e.lost, e.evidence = -1, 0, 0
		}
		e.Engine, e.listed, e.listedState = in, in.State != Removed, in.State
		c.applyListedState(e)
	}
	if ev.Kind == EndpointSnapshot {
		for _, e := range c.engines {
			if !named[e.ID] && e.listed {
				e.listed = false
				c.requeueWaiting(e)
			}
		}
	}
	c.updateFleetTotals()
}

// removeGoneEngines lets go of engines that are gone, once nothing is out at them. Guards against records that add up where
// engines are replaced all day, and against probes that are drawn for those that are gone.
func (c *Controller) removeGoneEngines() {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		if e.listed || len(e.attempts) > 0 || e.queue.length > 0 {
			return false
		}
		delete(c.engineByID, e.ID)
		delete(c.loggedAt, "down "+e.ID)
		delete(c.loggedAt, "back "+e.ID)
		return true
	})
}

// queueOwners are what has a queue and a bound: each engine, or the pool.
func (c *Controller) queueOwners() []*engine {
	if c.pool != nil {
		return c.one[:]
	}
	return c.engines
}

// recordLoss counts an answer that never came, as far as that is sure.
func (c *Controller) recordLoss(e *engine, sure float64) {
	e.lost, e.evidence, c.lost, c.evidence = e.lost+sure, e.evidence+1, c.lost+sure, c.evidence+1
}

// updateOverdue sets the age of what is out at an engine: the median, which one long query can't move.
func (c *Controller) updateOverdue(e *engine) {
	ages := make([]float64, 0, len(e.attempts))
	for _, a := range e.attempts {
		if a.released {
			continue
		}
		usual := a.request.expectedWork/float64(c.classes[a.request.classIndex].Threads) + minUsualSeconds
		ages = append(ages, (c.now-a.sentAt).Seconds()/usual)
	}
	e.overdueRatio = 0
	if slices.Sort(ages); len(ages) > 0 {
		e.overdueRatio = ages[(len(ages)-1)/2]
	}
}

// addThreads counts threads at an engine and where its bound is.
func (e *engine) addThreads(threads int) {
	e.threadsInFlight += threads
	if e.queueOwner != e {
		e.queueOwner.threadsInFlight += threads
	}
}

// attemptStarted puts an attempt on its engine's records.
func (e *engine) attemptStarted(a *attempt) {
	e.attempts = append(e.attempts, a)
	if e.queueOwner != e {
		e.queueOwner.attempts = append(e.queueOwner.attempts, a)
	}
}

// retryWaiting places again what found no engine.
func (c *Controller) retryWaiting() {
	waiting := c.waitingForEngine
	c.waitingForEngine = nil
	for _, q := range waiting {
		if !q.closed {
			c.enqueue(q, nil)
		}
	}
}

// fadeEvidence lets evidence and failures count for less as they age.
func (c *Controller) fadeEvidence(evidence, fails float64) {
	c.evidence, c.lost = c.evidence*evidence, c.lost*evidence
	for _, e := range c.engines {
		e.evidence, e.lost, e.failureRate = e.evidence*evidence, e.lost*evidence, e.failureRate*fails
	}
}

// attemptEnded takes an attempt off its engine's records.
func (e *engine) attemptEnded(a *attempt) {
	same := func(o *attempt) bool { return o == a }
	e.attempts = slices.DeleteFunc(e.attempts, same)
	if e.queueOwner != e {
		e.queueOwner.attempts = slices.DeleteFunc(e.queueOwner.attempts, same)
	}
}

// threadsOfClass is the threads of a class's attempts that are out at an engine.
func (c *Controller) threadsOfClass(e *engine, class int) float64 {
	n := 0
	for _, a := range e.attempts {
		if a.request.classIndex == class && !a.released {
			n += c.classes[class].Threads
		}
	}
	if e == c.pool {
		n += c.classes[class].awaitingProbes * c.classes[class].Threads
	}
	return float64(n)
}

// likelyServiceTime is how long a query should take on an engine by what its class takes there over what is expected of all:
// priorities and locks differ by class.
func (c *Controller) likelyServiceTime(q *request, e *engine) time.Duration {
	return seconds(c.expectedServiceTime(q, e) * math.Exp(c.classes[q.classIndex].spreadMean))
}

// hasAttemptInFlight says whether an attempt of a query is out.
func (q *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.inFlight })
}

// expireBudget forgets queries taken and further attempts made that the budget's window has passed; the queries a
// round early, to be on the safe side, and both by what an attempt may leave late.
func (c *Controller) expireBudget() {
	from, late := c.now-c.settings.Rules.RetryBudgetWindow, c.settings.MaxSendDelay
	c.retryTimes = slices.DeleteFunc(c.retryTimes, func(t time.Duration) bool { return t < from-late })
	c.requestTimes = slices.DeleteFunc(c.requestTimes, func(t time.Duration) bool { return t < from+c.settings.MinBatchInterval+late })
}

// recordDeparture learns how long clients stay that leave before their time, and how many do.
func (c *Controller) recordDeparture(q *request, gone float64) {
	k := c.classes[q.classIndex]
	k.abandonRate += spreadGain * (gone - k.abandonRate)
	first := min(1, abandonRateHigh/max(k.abandonRate, 1e-9)) // while few left, the last one tells most
	k.abandonAfter += gone * max(abandonGain, first) * ((c.now - q.receivedAt).Seconds() - k.abandonAfter)
}

// loadReported takes a load report: the busiest of the shares, or the queries held against the bound.
func (c *Controller) loadReported(e *engine, row []float64) {
	if len(row) == 0 || len(row) != len(c.settings.ReportFields) {
		return
	}
	load := 0.0
	threads, memory := c.meanDemand()
	for i, f := range c.settings.ReportFields {
		switch f {
		case "util", "x1", "x0":
			load = max(load, row[i])
		case "inflight":
			load = max(load, row[i]*threads/(maxThreadsPerCore*e.cores), row[i]*memory/e.memoryMB)
		}
	}
	if c.now-e.loadReportedAt > controlInterval {
		e.load = load
	}
	e.load += 0.5 * (load - e.load)
	e.loadReportedAt = c.now
	if p := e.queueOwner; p != e && !c.settings.Limits.Gossip {
		p.load += poolLoadGain * (load - p.load)
		p.loadReportedAt = c.now
	}
}

// learnFromAnswer takes what an answer teaches: work, estimates' bias, memory, slowness.
func (c *Controller) learnFromAnswer(q *request, a *attempt, ev AttemptEnded) {
	k, e := c.classes[q.classIndex], a.engine
	took, th := max(ev.Duration.Seconds(), 1e-4), float64(k.Threads)
	k.answersSeen++
	gain, x := max(0.02, 1/(k.answersSeen+1)), 0.0
	if c.settings.ReportsCost && ev.Work > 0 {
		work := ev.Work.Seconds()
		k.meanWork += gain * (work - k.meanWork)
		if q.EstimatedWork > 0 {
			k.workBias += gain * (work/q.EstimatedWork.Seconds() - k.workBias)
		}
		if q.EstimatedMemoryMB > 0 && ev.MemoryMB > 0 {
			up := -0.2
			if ev.MemoryMB > q.EstimatedMemoryMB*k.memoryQuantile {
				up = 0.8
			}
			k.memoryQuantile *= 1 + 0.03*up
		}
		k.meanMemoryMB += gain * (ev.MemoryMB - k.meanMemoryMB)
		x = math.Log(took * th / work)
	} else {
		work := took * th / math.Exp(c.estimatedSlowdown(e))
		k.meanWork += gain * (work - k.meanWork)
		l := math.Log(took)
		if math.IsNaN(k.serviceTimeFloor) {
			k.serviceTimeFloor = l
		}
		if gain *= 0.5; l < k.serviceTimeFloor { // a low quantile, followed in ever smaller steps
			k.serviceTimeFloor -= 3 * max(gain, floorStep)
		} else {
			k.serviceTimeFloor += max(gain-0.01, floorStep)
		}
		x = l - k.serviceTimeFloor
	}
	z := math.Log(took / c.expectedServiceTime(q, e))
	gain = max(spreadGain, 1/(k.answersSeen+spreadPriorWeight))
	k.spreadVar += gain * ((z-k.spreadMean)*(z-k.spreadMean) - k.spreadVar)
	k.spreadMean += gain * (z - k.spreadMean)
	weight := slowdownGain
	if !c.settings.ReportsCost {
		weight /= 3 // the scatter of the work is in the sample
	}
	if p := e.queueOwner; p != e {
		e.logSlowdown += max(weight, 1/e.evidence) * (x - e.logSlowdown)
		e = p
	}
	e.logSlowdown += max(weight, 1/float64(e.slowdownSamples+1)) * (x - e.logSlowdown)
	e.slowdownSamples, e.sampledAt = e.slowdownSamples+1, c.now
	e.relativeLatencySum, e.answered = e.relativeLatencySum+took/k.LatencyObjective.Seconds(), e.answered+1
	k.latencySum, k.answered = k.latencySum+(c.now-q.receivedAt).Seconds(), k.answered+1
}

// UpdateClasses takes over the classes and the ration of attempts of settings read anew. A class that is new, or whose
// settings differ, gets a place of its own: queries under way keep the class that they came under, and their
// place goes on until they are over. A class that is not named any more takes no new query here; the broker
// turns those away. The other settings are those of the start.
func (c *Controller) UpdateClasses(classes []Class, limits Limits) {
	grew := false
	for _, k := range classes {
		k = k.withDefaults()
		if i, ok := c.classByName[k.Name]; ok && reflect.DeepEqual(c.classes[i].Class, k) {
			continue
		}
		c.classByName[k.Name] = len(c.classes)
		c.mostThreads = max(c.mostThreads, float64(k.Threads))
		guess := initialWorkFactor * k.LatencyObjective.Seconds() * float64(k.Threads)
		c.classes = append(c.classes, &class{Class: k, meanWork: guess, workBias: 1, memoryQuantile: initialMemoryQuantile, serviceTimeFloor: math.NaN(),
			spreadVar: 1})
		c.shares = append(c.shares, 1/float64(len(c.classes)))
		grew = true
	}
	c.settings.Limits.MaxAttempts = limits.MaxAttempts
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
	c.lowestWorth = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.PriorityWeight, b.PriorityWeight) }).PriorityWeight
	c.tightest = slices.MinFunc(c.classes, func(a, b *class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
	c.shareRegulator = newRegulator(2, len(c.classes), shareMoveCost, c.shares) // what it learnt was of fewer classes
}

// grow makes room for classes that came after the start.
func (f *fairQueue) grow(classes, tenants int) {
	for len(f.flows) < classes {
		f.flows = append(f.flows, classFlow{tenants: make([]tenantFlow, tenants)})
	}
}

// setMaintenance leaves an engine out by hand, or lets it in again.
func (c *Controller) setMaintenance(ev SetMaintenance) {
	if ev.Enabled {
		c.inMaintenance[ev.Engine] = true
	} else {
		delete(c.inMaintenance, ev.Engine)
	}
	if e := c.engineByID[ev.Engine]; e != nil {
		c.applyListedState(e)
		c.updateFleetTotals()
	}
}

// applyListedState follows what the list says of an engine, unless it is left out by hand: then it is followed as one that
// drains, and nothing new goes to it.
func (c *Controller) applyListedState(e *engine) {
	e.State = e.listedState
	if c.inMaintenance[e.ID] && e.State == Ready {
		e.State = Draining
	}
	if e.State != Ready {
		c.requeueWaiting(e)
	}
}
