package control

// The interface (settings, events, actions) is in api.go. The mechanism, in the order of this file:
// constants; state; events; the gate that every send passes; choice of engine; per-engine fair queues
// under a thread bound; attempts, retries and rescue; health; what is learned; regulators; optimizer.

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"
)

const (
	controlInterval       = time.Second            // design: control interval
	tickInterval          = 100 * time.Millisecond // ours: held queries are looked at again this often
	initialThreadsPerCore = 1.5                    // design: bound, threads a core (one to two)
	minThreadsPerCore     = 1.0                    // design
	maxThreadsPerCore     = 1.7                    // design: beyond it engines lose more than they gain
	minServiceTarget      = 0.5                    // design: least service target, as a part of the aim
	forgettingFactor      = 0.98                   // paper 3.2: forgetting of the least-squares fit
	maxCovarianceTrace    = 1e4                    // symptom (silence): covariance grows without bound
	shareMoveCost         = 0.5                    // paper 3.2: price of moving the shares
	limitMoveCost         = 2.0                    // paper 3.3: the bound moves less readily than the shares
	minShare              = 0.05                   // symptom (starvation): no class falls under this share
	optimizerSteps        = 50                     // ours: the optimizer hands out shares in at most so many steps
	pressureSlowdown      = 0.45                   // symptom (slowness): log of slowdown that is pressure
	minSlowdownSamples    = 10                     // ours: answers before an engine's slowness is believed
	pressureLoad          = 0.90                   // symptom (fullness): reported use that is pressure
	workScatter           = 0.5                    // symptom (slowness): what the spread of work explains
	minUsualSeconds       = 0.1                    // symptom (jam): seconds that any answer may take
	pressureOverdue       = 3.0                    // symptom (jam): a jam sends no news; age tells
	backoffLoad           = 1.2                    // symptom (jam): reported load at which the bound is squeezed
	backoffSlowdown       = 1.6                    // symptom (jam): log of slowdown at which the bound is squeezed
	poolBackoffSlowdown   = 0.8                    // symptom (jam): the same for a pool, whose mean moves less
	minLimitBackoff       = 0.15                   // symptom (jam): part of the bound that always stays
	minTenantShare        = 1e-3                   // ours: share of a tenant that is given none
	atCapacityFor         = 2 * time.Second        // symptom (fullness): full engines rest and are pressed so long
	slowdownGain          = 0.25                   // symptom (slowness): weight of one answer
	floorStep             = 0.001                  // symptom (slowness): pace of the least service time seen
	failureGain           = 0.2                    // symptom (fast failure): weight of one outcome
	slowdownFade          = 0.02                   // symptom (recovery): lost each tick without answers
	ejectFailureRate      = 0.6                    // symptom (fast failure): set aside if it fails more
	failurePenalty        = 3.0                    // symptom (fast failure): room taken off for failing
	slowdownPenalty       = 0.3                    // symptom (slowness): room taken off for slowness
	dataSetLockPenalty    = 1.5                    // bench page: what stands behind a load is late for sure
	dataSetRankPenalty    = 0.5                    // bench page: loads keep away from what they hold up
	crossZonePenalty      = 0.05                   // ours: room taken off for another zone
	minEjectionBackoff    = 500 * time.Millisecond // symptom (silence, failure): first wait before a trial
	maxEjectionBackoff    = 8 * time.Second        // symptom: longest wait between trials
	slowStartSafety       = 0.7                    // rule 4: part of the budget of a cold engine that is used
	slowStartRamp         = 0.7                    // rule 4: part of the hoped-for warming that is trusted
	slowStartChanceShare  = 0.25                   // rule 4: part of the budget that turns taken by chance may use
	slowStartUtilization  = 0.85                   // rule 4: capacity is the rate at which cores are so busy
	abandonRateHigh       = 0.5                    // symptom (impatience): share that leaves early
	abandonGain           = 0.1                    // ours: weight of one departure
	runawayFactor         = 4.0                    // symptom (slowness): times its usual work that is given up
	logEvery              = 5 * time.Second        // ours: no log line repeats sooner
	minClassRate          = 0.01                   // ours: queries a second of a class without traffic, in means
	minThroughputRate     = 1.0                    // ours: added to a rate that throughput is divided by
	maxInverseLatency     = 4.0                    // ours: most that a latency under the aim counts for in the fit
	rateGain              = 0.3                    // ours: weight of one interval in a rate
	poolShareGain         = 0.05                   // ours: the same where engines are pooled
	trafficShareGain      = 0.2                    // ours: weight of one interval in this gateway's part
	minTrafficShare       = 0.25                   // ours: the part of a gateway without traffic, in even parts
	failureFade           = 0.98                   // symptom (recovery): left each tick
	evidenceFade          = 0.99                   // ours: evidence of an engine that is left each tick
	poolWeight            = 3.0                    // ours: answers of its own that weigh as much as the pool's
	priorLossRate         = 0.01                   // symptom (lost answers): expected share
	priorLossWeight       = 20.0                   // symptom (lost answers): answers this is worth
	calmLimitFactor       = 1.5                    // symptom (jam): bounds that calm has: pressure shows late
	minLateQuantile       = 0.003                  // symptom (lost answers): late beyond this share of answers
	maxLateQuantile       = 0.03                   // symptom (lost answers): never called lost before this share
	ejectLossRate         = 0.5                    // symptom (silence): share lost at which an engine is silent
	minLockWait           = 0.25                   // bench page: part of the aim at which one stands behind a load
	minLossWait           = 600 * time.Millisecond // symptom (silence): never judged sooner
	missedProgress        = 1.75                   // symptom (silence): times between notes without one
	poolLoadGain          = 0.1                    // ours: weight of one engine's report in the pool's
	probeCount            = 3                      // ours: engines probed for a query
	loadReportDecay       = 5.0                    // ours: seconds in which a report loses most of its weight
	probeFreshness        = 250 * time.Millisecond // price of probes: a younger report is as good as a new one
	gossipInterval        = 200 * time.Millisecond // ours: another gateway is told so often; a message is cheap
	minAdmissionPrice     = 1.0 / 16               // ours: refuses no query under 16 times the mean work
	admissionPriceRise    = 1.3                    // ours: growth of the price with each query that finds no room
	admissionPriceFall    = 0.95                   // ours: what is left of it after an interval
	tieBreakScale         = 0.6                    // ours: difference of room that is worth a factor e in choice
	probeWait             = 4                      // ours: rounds that a query waits for its probes
	maxHedgeLossRate      = 0.4                    // symptom (jam): when so many look lost, it is a jam
	spreadGain            = 0.02                   // ours: weight of an answer in the spread of service times
	spreadPriorWeight     = 5.0                    // ours: answers that the first guess of the spread is worth
	initialWorkFactor     = 0.25                   // ours: work before any answer, as a part of the aim
	initialMemoryQuantile = 1.25                   // bench page: engines grant a quarter over the estimate
	initialFitGain        = 0.5                    // paper 3.2: signs of the fit's diagonals are known
	initialFitCovariance  = 10.0                   // ours: covariance before any measurement
	subscribeRetryAfter   = 2 * time.Second        // rule 3: a failed subscription is asked for again so soon
)

// requestReceived takes a query. Its guard timer gives it its one answer whatever else happens to it.
func (c *Controller) requestReceived(in Request) {
	i, ok := c.classByName[in.Class]
	if c.requests[in.ID] != nil {
		return
	}
	if !ok {
		c.emit(Fail{in.ID})
		return
	}
	k, t := c.classes[i], c.tenant(in.Tenant)
	q := &request{Request: in, classIndex: i, tenantIndex: t, receivedAt: c.now, expectedWork: k.meanWork, priority: 1}
	if in.EstimatedWork > 0 {
		q.expectedWork = in.EstimatedWork.Seconds() * k.workBias
	}
	q.objectiveAt = min(in.Deadline, c.now+k.LatencyObjective+seconds(k.ObjectivePerWork*q.expectedWork/float64(k.Threads)))
	if k.abandonRate > abandonRateHigh { // symptom (impatience): clients leave before their time
		q.objectiveAt = min(q.objectiveAt, c.now+seconds(k.abandonAfter))
	}
	k.arrivals++
	c.tenants[t].arrivals++
	c.requests[in.ID] = q
	c.requestTimes = append(c.requestTimes, c.now)
	c.startTimer(in.Deadline-c.now-2*c.settings.MinBatchInterval, func() { c.rejectOrFail(q) })
	c.joinKeyQueue(q)
	c.enqueue(q, nil)
}

// rejectOrFail ends a query whose time is up or that can't be helped: refused where that is true, else failed.
func (c *Controller) rejectOrFail(q *request) {
	if q.closed || q.streaming {
		return
	}
	k := c.classes[q.classIndex]
	ran := slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
	if !ran || k.Idempotency == Idempotent || k.Idempotency == IdempotentWithKey && k.DedupScope == DedupScopeAll {
		r := Reject{RequestID: q.ID}
		if c.settings.Limits.RetryAfter {
			r.RetryAfter = c.retryAfter()
		}
		c.emit(r)
	} else {
		c.emit(Fail{q.ID})
	}
	c.closeRequest(q)
}

// retryAfter is when a refused client is asked to come back: spread evenly up to the longest wait that clients
// follow, as what a fleet refuses at once must not come back at once.
func (c *Controller) retryAfter() time.Duration {
	hi := min(c.settings.Limits.MaxRetryAfter, time.Second)
	lo := min(300*time.Millisecond, hi/2)
	return lo + time.Duration(c.rng.Float64()*float64(hi-lo))
}

// mayAttempt is the gate: every send passes it, and it holds the seven rules.
func (c *Controller) mayAttempt(q *request, e *engine) bool {
	k, r := c.classes[q.classIndex], &c.settings.Rules
	if q.closed || q.streaming || c.now >= q.Deadline || len(q.attempts) >= c.settings.Limits.MaxAttempts { // 1
		return false
	}
	for _, a := range q.attempts { // 2: each effect once
		if a.inFlight && (!c.settings.Limits.Hedging || k.Idempotency == NonIdempotent) {
			return false
		}
		if !a.mayHaveRun || k.Idempotency == Idempotent { // ran holds while an attempt is out
			continue
		}
		same := k.DedupScope == DedupScopeAll || k.DedupScope == DedupScopeZone && e.Zone == a.engine.Zone ||
			k.DedupScope == DedupScopeCell && e.Cell == a.engine.Cell
		if !same || c.retryForbidden(k, a) {
			return false
		}
	}
	if !e.listed || e.State != Ready { // 3: stricter than the grace
		return false
	}
	if c.inSlowStart(e) && !c.withinSlowStartBudget(e, k) { // 4
		return false
	}
	if q.keyQueue != nil && (q.keyQueue.waiting[0] != q || len(q.attempts) == 0 && c.now < q.keyQueue.cooldownUntil) { // 5
		return false
	}
	if len(k.AllowedZones) > 0 && !slices.Contains(k.AllowedZones, e.Zone) ||
		len(k.AllowedKinds) > 0 && !slices.Contains(k.AllowedKinds, e.Kind) { // 6
		return false
	}
	if len(q.attempts) > 0 && r.RetryBudgetWindow > 0 { // 7
		c.expireBudget()
		if float64(len(c.retryTimes)+1) > r.RetryBudgetReserve+r.RetryBudgetRatio*float64(len(c.requestTimes)) {
			return false
		}
	}
	return true
}

// retryForbidden says whether an attempt that may have run allows no other one of its class, at whichever engine.
func (c *Controller) retryForbidden(k *class, a *attempt) bool {
	window := k.DedupWindow - c.settings.MinBatchInterval - c.settings.MaxSendDelay
	return a.mayHaveRun && (k.Idempotency == NonIdempotent || k.Idempotency == IdempotentWithKey && c.now-a.sentAt >= window)
}

// attemptsExhausted says whether a query can have no further attempt, whatever becomes of the engines.
func (c *Controller) attemptsExhausted(q *request) bool {
	bars := func(a *attempt) bool { return c.retryForbidden(c.classes[q.classIndex], a) }
	return len(q.attempts) >= c.settings.Limits.MaxAttempts || slices.ContainsFunc(q.attempts, bars)
}

// inSlowStart says whether an engine started lately; a second is added for what the list's clock may be off. None is
// where the deployment doesn't say by what cold ones fall.
func (c *Controller) inSlowStart(e *engine) bool {
	r := &c.settings.Rules
	falls := r.OverloadWindow > 0 && r.OverloadMultiple > 0
	return falls && e.StartedAt > 0 && c.now-e.StartedAt < r.SlowStartDuration+time.Second
}

func (c *Controller) slowStartFraction(e *engine) float64 {
	if !c.inSlowStart(e) {
		return 1
	}
	from, since := c.settings.Rules.SlowStartInitial, float64(c.now-e.StartedAt)
	return from + (1-from)*slowStartRamp*min(1, since/float64(c.settings.Rules.SlowStartDuration))
}

// withinSlowStartBudget keeps this gateway's part of a cold engine's budget, shared unseen: half by head, half by traffic.
// Exception, where engines are pooled: such parts are too small, so gateways take turns by number, each a
// window long; as many as half the budget (a window can touch two) has room for: heavy queries, or by chance.
func (c *Controller) withinSlowStartBudget(e *engine, k *class) bool {
	r := &c.settings.Rules
	mine, budget := 0.5/float64(c.settings.Brokers)+0.5*c.trafficShare, c.slowStartBudget(e)
	if c.pool != nil {
		n := c.settings.Brokers
		turns, fit := c.slowStartTurns(e)
		first := e.idHash + int((c.now-e.StartedAt)/r.OverloadWindow)*turns
		if (c.settings.BrokerIndex+n-first%n)%n >= turns {
			return false
		}
		mine = 0.5 / fit
	}
	budget *= mine
	e.slowStartSends = slices.DeleteFunc(e.slowStartSends, func(s slowStartSend) bool { return s.sentAt <= c.now-r.OverloadWindow })
	used := k.meanWork
	for _, s := range e.slowStartSends {
		used += s.work
	}
	return used <= budget
}

// slowStartBudget is the work that all gateways together may send a cold engine within a window.
func (c *Controller) slowStartBudget(e *engine) float64 {
	r := &c.settings.Rules
	return r.OverloadMultiple * c.slowStartFraction(e) * slowStartUtilization * e.cores * r.OverloadWindow.Seconds() * slowStartSafety
}

// slowStartTurns is how many gateways have their turn at a cold engine at a time, and how many heavy queries fit it.
func (c *Controller) slowStartTurns(e *engine) (turns int, fit float64) {
	budget := c.slowStartBudget(e)
	fit = max(1, math.Floor(budget/2/max(c.heaviestWork, 1e-3)))
	use := c.arrivalRate * c.meanWork * c.settings.Rules.OverloadWindow.Seconds() / float64(c.readyEngines)
	return int(min(float64(c.settings.Brokers), max(fit, slowStartChanceShare*budget/2/use))), fit
}

// poolsEngines says whether engines share one queue and bound. Exception, where this gateway's part of an engine's
// bound is less than one query: whole queries would sum past the engines' bound, and answers are too few to
// judge each. All count as one large engine; a query's own is chosen when it leaves.
func (c *Controller) poolsEngines() bool {
	cores := 0.0
	for _, k := range c.settings.EngineKinds {
		cores = max(cores, k.Cores)
	}
	return maxThreadsPerCore*cores < c.mostThreads*float64(c.settings.Brokers)
}

// enqueue queues a query at the eligible engine with most room under its bound, or at the pool.
func (c *Controller) enqueue(q *request, not *engine) {
	q.avoid = not
	if len(q.attempts) > 0 && !q.hasAttemptInFlight() && c.attemptsExhausted(q) { // what nothing can help gets its answer now
		c.rejectOrFail(q)
		return
	}
	// What is more work than the mean query goes to the best of a few engines whose load is asked for.
	if c.settings.Limits.LoadProbes && !q.probed && c.classes[q.classIndex].meanWork > c.meanWork && c.pool == nil {
		q.probed = true
		asked := false
		for n := 0; n < probeCount && len(c.engines) > 0; n++ {
			o := c.engines[c.rng.IntN(len(c.engines))]
			young := o.probedAt > 0 && c.now-o.probedAt < probeFreshness
			if o.listed && o.State == Ready && !o.ejected && !young {
				o.probedAt, asked = c.now, true
				c.emit(ProbeLoad{o.ID})
			}
		}
		if asked {
			c.startTimer(probeWait*c.settings.MinBatchInterval, func() {
				if !q.closed {
					c.enqueue(q, not)
				}
			})
			return
		}
	}
	e := c.pool
	if e == nil {
		e = c.selectEngine(q, not)
	}
	switch {
	case e == nil:
		c.waitingForEngine = append(c.waitingForEngine, q)
	case len(q.attempts) == 0 && c.belowAdmissionPrice(q):
		c.rejectOrFail(q)
	case len(q.attempts) == 0 && c.cannotMeetObjective(q, e):
		c.raiseAdmissionPrice()
		c.rejectOrFail(q)
	default:
		q.queuedOn = e
		e.queue.push(c, q)
	}
}

func (c *Controller) selectEngine(q *request, not *engine) *engine {
	best, most := (*engine)(nil), math.Inf(-1)
	for pass := 0; pass < 2 && best == nil; pass++ {
		for _, e := range c.engines {
			if pass == 0 && e == not || c.atCapacity(e, atCapacityFor) || !c.mayAttempt(q, e) {
				continue
			}
			room := c.score(e, q) + c.tieBreak(e)
			if e.ejected && !c.mostLookFaulty {
				if c.now < e.halfOpenAt || e.queueOwner == e && e.threadsInFlight > 0 || len(q.attempts) > 0 ||
					c.classes[q.classIndex].PriorityWeight > c.lowestWorth { // a trial is cheap
					continue
				}
				room += 100
			}
			if room > most {
				best, most = e, room
			}
		}
	}
	return best
}

// tieBreak is what chance adds to an engine's room. Exception, where engines are pooled: many gateways know the
// same, and late, and all would fill the one engine that was empty. Each is drawn with a weight of
// exp(room/chance). Those whose turn it is at a cold engine count it for all.
func (c *Controller) tieBreak(e *engine) float64 {
	if c.pool == nil {
		return 0.02 * c.rng.Float64()
	}
	luck := -math.Log(c.rng.ExpFloat64())
	if c.inSlowStart(e) {
		turns, _ := c.slowStartTurns(e)
		luck += math.Log(c.slowStartFraction(e) * float64(c.settings.Brokers) / float64(turns))
	}
	return tieBreakScale * luck
}

func (c *Controller) score(e *engine, q *request) float64 {
	limit := e.limit * c.slowStartFraction(e)
	room := 1 - (float64(e.threadsInFlight)+e.queue.threads)/limit
	room -= slowdownPenalty*c.slowdown(e) + failurePenalty*(e.failureRate+c.lossRate(e))
	if e.queueOwner == e { // in a pool, an engine that answered of late is better than one not heard of
		room += failurePenalty * min(c.lossRate(e), c.overallLossRate())
	}
	if age := (c.now - e.loadReportedAt).Seconds(); e.queueOwner != e { // the older, the more the pool's counts
		room -= e.queueOwner.load + math.Exp(-age/loadReportDecay)*(e.load-e.queueOwner.load)
	} else if age < 2*controlInterval.Seconds() {
		room -= e.load
	}
	if e.Zone != c.settings.Zone {
		room -= crossZonePenalty
	}
	k := c.classes[q.classIndex]
	if (k.HoldsDataSetLock || k.BlockedByDataSetLock) && c.dataSetLocked(e, q.DataSet) {
		room -= dataSetLockPenalty
	}
	if at := e.dataSetRank(q.DataSet); k.HoldsDataSetLock { // all gateways rank alike, so loads of others keep away, too
		room -= dataSetRankPenalty * at
	} else if k.BlockedByDataSetLock {
		room -= dataSetRankPenalty * (1 - at)
	}
	return room
}

func (c *Controller) underPressure(e *engine) bool {
	told := c.settings.ReportsCost || len(c.settings.ReportFields) == 0 // else reports tell more than noisy times
	return c.atCapacity(e, atCapacityFor) || e.overdueRatio > pressureOverdue ||
		e.load > pressureLoad && (e.threadsInFlight > 0 || c.now-e.loadReportedAt < controlInterval) ||
		told && e.slowdownSamples > minSlowdownSamples && c.estimatedSlowdown(e) > pressureSlowdown
}

// estimatedSlowdown is the log of an engine's slowdown over the best seen; where answers don't tell the work, only
// what stands out from the scatter counts.
func (c *Controller) estimatedSlowdown(e *engine) float64 {
	slow := e.logSlowdown
	if e.queueOwner != e { // the fewer its own answers, the more the pool's count
		slow = e.queueOwner.logSlowdown + (e.logSlowdown-e.queueOwner.logSlowdown)*e.evidence/(e.evidence+poolWeight)
	}
	if c.settings.ReportsCost {
		return max(0, slow-c.bestLogSlowdown)
	}
	return max(0, slow-c.bestLogSlowdown-workScatter)
}

// lossRate is the share of an engine's answers that never come, shrunk to that of all, and that to the usual.
func (c *Controller) lossRate(e *engine) float64 {
	return (e.lost + c.overallLossRate()*poolWeight) / (e.evidence + poolWeight)
}

func (c *Controller) overallLossRate() float64 {
	return (c.lost + priorLossRate*priorLossWeight) / (c.evidence + priorLossWeight)
}

// attemptTimeout is how long an attempt is waited for: until it is more likely lost than late, by the spread of
// service times seen and the share of answers lost.
func (c *Controller) attemptTimeout(q *request, e *engine) time.Duration {
	k := c.classes[q.classIndex]
	z := math.Sqrt2 * math.Erfinv(1-2*c.lateQuantile(e))
	return seconds(c.expectedServiceTime(q, e) * math.Exp(k.spreadMean+z*math.Sqrt(k.spreadVar)))
}

// lateQuantile is the share of answers that come later than an attempt is waited for.
func (c *Controller) lateQuantile(e *engine) float64 {
	lost := c.lossRate(e)
	return min(maxLateQuantile, max(minLateQuantile, lost/(1-min(lost, 0.9))))
}

// cannotMeetObjective says whether a query that would be held, as the bound is used up, can't make its aim: refused
// early, it costs nothing and its client may try again. Guards against a surge or lost engines.
func (c *Controller) cannotMeetObjective(q *request, e *engine) bool {
	if c.withinConcurrencyLimit(e, q.classIndex) {
		return false
	}
	// Its class needs only its share, and its tenant within that.
	fl, share := &e.queue.flows[q.classIndex], c.shares[q.classIndex]
	ahead := min(e.queue.work, fl.work/share, fl.tenants[q.tenantIndex].work/share/c.tenants[q.tenantIndex].Share)
	return c.now+seconds(ahead/e.limit*math.Exp(c.estimatedSlowdown(e)))+c.likelyServiceTime(q, e) > q.objectiveAt
}

// belowAdmissionPrice says whether a query is more work than it is worth while the pool is short of room, as what it would
// keep out is worth more. Guards against a few very heavy queries that keep out many of the same worth each.
func (c *Controller) belowAdmissionPrice(q *request) bool {
	k := c.classes[q.classIndex]
	return c.pool != nil && !c.settings.WeightByWork && k.PriorityWeight < c.admissionPrice*c.lowestWorthPerWork*q.expectedWork
}

// raiseAdmissionPrice raises the price, as a query was refused for lack of room that was not the least worth its work.
func (c *Controller) raiseAdmissionPrice() {
	c.admissionPrice = min(1, c.admissionPrice*admissionPriceRise)
}

// withinConcurrencyLimit says whether a class's next query may go out: without pressure, under the bound or, so that long ones
// keep no quick ones out, while the class holds less than its share: all, if none earns more for its work.
func (c *Controller) withinConcurrencyLimit(e *engine, class int) bool {
	width, bound := float64(c.classes[class].Threads), e.limit
	if !c.underPressure(e) {
		bound = max(calmLimitFactor*bound, 2*c.mostThreads) // so that one wide query keeps no other out
	}
	share := c.shares[class]
	if class == c.mostValuable {
		share = 1
	}
	return e.threadsInFlight == 0 || float64(e.threadsInFlight)+width <= bound ||
		c.threadsOfClass(e, class)+width <= max(width, share*bound)
}

// dispatch releases held queries in start-tag order while the bound allows it.
func (c *Controller) dispatch(e *engine) {
	for q := e.queue.head(nil); q != nil; q = e.queue.head(nil) {
		if len(q.attempts) == 0 && c.underPressure(e) && c.now+c.likelyServiceTime(q, e) > q.objectiveAt {
			c.raiseAdmissionPrice()
			c.rejectOrFail(q)
			continue
		}
		if q = e.queue.head(func(class int) bool { return c.withinConcurrencyLimit(e, class) }); q == nil {
			return
		}
		e.queue.pop(c, q)
		q.queuedOn = nil
		switch {
		case e != c.pool && (!c.mayAttempt(q, e) || c.atCapacity(e, atCapacityFor)):
			c.waitingForEngine = append(c.waitingForEngine, q)
		case e != c.pool:
			c.sendAttempt(q, e)
		case !c.probeCandidates(q):
			c.dispatchToBestCandidate(q)
		}
	}
}

// probeCandidates draws a few engines for a query that may leave the pool, and asks them for their load: what is known of
// it is as old as a heavy query lasts. It says whether the query waits for that; what is no more work than
// the mean goes at once. Guards against probes for queries that the pool then refuses.
func (c *Controller) probeCandidates(q *request) bool {
	k, asked := c.classes[q.classIndex], false
	q.candidates = nil
	if !c.settings.Limits.LoadProbes || k.meanWork <= c.meanWork {
		return false
	}
	for range probeCount {
		e := c.selectEngine(q, q.avoid)
		if e == nil || slices.Contains(q.candidates, e) {
			continue
		}
		q.candidates = append(q.candidates, e)
		if c.now-max(e.probedAt, e.loadReportedAt) >= probeFreshness {
			e.probedAt, asked = c.now, true
			c.emit(ProbeLoad{e.ID})
		}
	}
	if asked {
		k.awaitingProbes++ // its threads are taken meanwhile
		c.pool.threadsInFlight += k.Threads
		c.startTimer(probeWait*c.settings.MinBatchInterval, func() {
			k.awaitingProbes--
			c.pool.threadsInFlight -= k.Threads
			if !q.closed {
				c.dispatchToBestCandidate(q)
			}
		})
	}
	return asked
}

// dispatchToBestCandidate sends a query that leaves the pool to the best engine drawn for it or, without any, to one drawn now.
func (c *Controller) dispatchToBestCandidate(q *request) {
	var to *engine
	most := math.Inf(-1)
	for _, e := range q.candidates {
		if room := c.score(e, q); c.mayAttempt(q, e) && !c.atCapacity(e, atCapacityFor) && room > most {
			to, most = e, room
		}
	}
	if to == nil {
		to = c.selectEngine(q, q.avoid)
	}
	if to == nil {
		c.waitingForEngine = append(c.waitingForEngine, q)
		return
	}
	c.sendAttempt(q, to)
}

// expectedServiceTime is the service time expected of a query on an engine, in seconds.
func (c *Controller) expectedServiceTime(q *request, e *engine) float64 {
	k := c.classes[q.classIndex]
	return q.expectedWork / float64(k.Threads) * math.Exp(c.estimatedSlowdown(e))
}

func (c *Controller) sendAttempt(q *request, e *engine) {
	k := c.classes[q.classIndex]
	c.setAttemptOptions(q, e)
	if len(q.attempts) > 0 {
		c.retryTimes = append(c.retryTimes, c.now)
	}
	if c.inSlowStart(e) {
		e.slowStartSends = append(e.slowStartSends, slowStartSend{c.now, k.meanWork})
	}
	a := &attempt{request: q, number: len(q.attempts), engine: e, sentAt: c.now, inFlight: true, mayHaveRun: true}
	if len(q.attempts) == 0 {
		k.meanWait += 0.05 * ((c.now - q.receivedAt).Seconds() - k.meanWait)
	}
	q.attempts = append(q.attempts, a)
	e.attemptStarted(a)
	e.addThreads(k.Threads)
	if e.ejected {
		e.halfOpenAt = c.now + c.ejectionBackoff()
	}
	// Only a trial on a doubtful engine ends early, for another try: work that is cut off is lost.
	usual := c.attemptTimeout(q, e)
	to := SendAttempt{RequestID: q.ID, Engine: e.ID, OverdueAfter: usual}
	if e.ejected && 2*usual < q.Deadline-c.now {
		to.Timeout = usual
	}
	c.emit(to)
	c.startTimer(usual, func() { c.checkOverdue(a) })
}

// setAttemptOptions names memory and priority where they are heeded.
func (c *Controller) setAttemptOptions(q *request, e *engine) {
	t := SetAttemptOptions{RequestID: q.ID, Priority: 1}
	if c.settings.MemoryGrants && c.settings.ReportsCost && q.EstimatedMemoryMB > 0 {
		t.GrantMB = math.Ceil(min(q.EstimatedMemoryMB*c.classes[q.classIndex].memoryQuantile, c.settings.MaxGrantFraction*e.memoryMB))
	}
	if c.settings.Priorities {
		t.Priority = c.priority(q)
	}
	if t.GrantMB != 0 || t.Priority != q.priority {
		q.priority = t.Priority
		c.emit(t)
	}
}

// priority favours the class that earns most for its work.
func (c *Controller) priority(q *request) int {
	if q.classIndex != c.mostValuable {
		return 1
	}
	return 3
}

// attemptEnded takes the end of an attempt.
func (c *Controller) attemptEnded(ev AttemptEnded) {
	a := c.attemptInFlight(ev.RequestID, ev.Number)
	if a == nil {
		return
	}
	q, e := a.request, a.engine
	a.inFlight = false
	e.attemptEnded(a)
	if a.presumedLost && ev.Status == OK {
		e.lost, c.lost = max(0, e.lost-a.lossConfidence), max(0, c.lost-a.lossConfidence)
	}
	if width := c.classes[q.classIndex].Threads; ev.Status == TimedOut && !c.settings.Limits.Cancellation && !a.released {
		c.startTimer(c.now-a.sentAt, func() { e.addThreads(-width) }) // it may run on: as long again, by its age
	} else if !a.released {
		e.addThreads(-width)
	}
	a.mayHaveRun = ev.Status != AtCapacity && ev.Status != ConnectFailed && ev.Status != NeverSent
	if q.keyQueue != nil && (ev.Status == TimedOut || ev.Status == ConnectionReset || ev.Status == Cancelled) {
		q.keyQueue.cooldownUntil = max(q.keyQueue.cooldownUntil, c.now+c.settings.Rules.KeyCooldown)
	}
	c.loadReported(e, ev.Report)
	if !ev.SharedCause && (!a.presumedLost || ev.Status != TimedOut) {
		c.recordOutcome(e, ev.Status)
	}
	if ev.Status == OK {
		c.learnFromAnswer(q, a, ev)
		if c.classes[q.classIndex].BlockedByDataSetLock {
			e.releaseDataSet(q.DataSet)
		}
	}
	if ev.RequestClosed && !q.closed {
		c.recordDeparture(q, 0)
		c.closeRequest(q)
	}
	if q.closed {
		c.forgetRequest(q)
	} else if !q.hasAttemptInFlight() {
		c.retry(q, a, ev.Status)
	}
}

// retry tries a failed query elsewhere while there is time, unless its work may go on and that adds to a jam.
func (c *Controller) retry(q *request, a *attempt, s Status) {
	if q.Deadline-c.now < 4*c.settings.MinBatchInterval ||
		s == TimedOut && !c.settings.Limits.Cancellation && !a.engine.ejected && c.underPressure(a.engine) ||
		c.classes[q.classIndex].LateWeight == 0 && c.now > q.objectiveAt {
		c.rejectOrFail(q)
	} else {
		c.enqueue(q, a.engine)
	}
}

// recordOutcome follows an engine's health from how attempts end.
func (c *Controller) recordOutcome(e *engine, s Status) {
	bad := 1.0
	switch s {
	case NeverSent, Cancelled:
		return
	case TimedOut:
		if !c.underPressure(e.queueOwner) {
			c.recordLoss(e, 1)
		}
		return
	case AtCapacity:
		e.atCapacityAt, e.lastResponseAt, e.queueOwner.atCapacityAt = c.now, c.now, c.now
		return
	case OK:
		bad, e.lastResponseAt = 0, c.now
	case Failed, ConnectionReset:
		e.lastResponseAt = c.now
	}
	e.evidence, c.evidence = e.evidence+1, c.evidence+1
	e.failureRate += max(failureGain, 1/(e.evidence+1)) * (bad - e.failureRate)
	if bad == 0 {
		e.halfOpenAt = min(e.halfOpenAt, c.now+c.ejectionBackoff())
		if e.ejected && e.failureRate < ejectFailureRate {
			e.ejected = false
			c.updateFleetTotals()
			c.log("back "+e.ID, "engine %s is back", e.ID)
		}
		return
	}
	if e.failureRate > ejectFailureRate {
		c.eject(e, "failing")
	} else if s == ConnectFailed && e.failureRate > 0.3 {
		c.eject(e, "unreachable")
	}
}

func (c *Controller) eject(e *engine, why string) {
	if e.ejected {
		return
	}
	e.ejected, e.halfOpenAt = true, c.now+c.ejectionBackoff()
	c.updateFleetTotals()
	c.log("down "+e.ID, "engine %s is %s", e.ID, why)
	c.requeueWaiting(e)
}

// ejectionBackoff stretches the wait between trials where there are many gateways: their trials add up.
func (c *Controller) ejectionBackoff() time.Duration {
	return min(maxEjectionBackoff, max(minEjectionBackoff, seconds(float64(len(c.engines))/c.arrivalRate/2)))
}

// checkOverdue calls off or doubles an attempt that takes longer than nearly all answers. Guards against lost ones,
// silent engines, hung queries. When many look lost it is a jam, where more would be harmful.
func (c *Controller) checkOverdue(a *attempt) {
	if !a.inFlight || a.request.closed || a.cancelled || a.presumedLost {
		return
	}
	k, limit := c.classes[a.request.classIndex], c.attemptTimeout(a.request, a.engine)
	if n := c.settings.ProgressInterval; n > 0 {
		limit = min(limit, seconds(missedProgress*n.Seconds()))
	}
	heard := max(a.sentAt, a.lastProgressAt)
	// The likelier a loss, the sooner it is judged.
	least := seconds(minLossWait.Seconds() * math.Sqrt(minLateQuantile/c.lateQuantile(a.engine)))
	if k.BlockedByDataSetLock { // it may stand still behind a load, which is no loss, but takes too long
		least = seconds(minLockWait * k.LatencyObjective.Seconds())
		alive := c.now-a.engine.lastResponseAt < minLossWait
		if alive && !a.released && c.now-heard >= max(limit, least) {
			c.blockedByLock(a)
		}
		if a.released {
			limit += seconds(c.longestLoad)
		}
	}
	if left := max(limit, least) - (c.now - heard); left > 0 {
		c.startTimer(left, func() { c.checkOverdue(a) })
		return
	}
	if a.presumedLost = c.overallLossRate() < maxHedgeLossRate; !a.presumedLost {
		return
	}
	c.startTimer(c.now-a.sentAt, func() { // it may run on: as long again, by its age
		if a.inFlight {
			c.releaseThreads(a)
		}
	})
	// It may be only late, which never shows if it is called off. Guards against a belief in losses that
	// feeds on itself: the more it believes, the shorter its patience.
	a.lossConfidence = c.lossRate(a.engine) / (c.lossRate(a.engine) + c.lateQuantile(a.engine))
	c.recordLoss(a.engine, a.lossConfidence)
	if c.lossRate(a.engine) > ejectLossRate {
		c.eject(a.engine, "silent")
	}
	c.hedgeOrCancel(a)
}

// blockedByLock takes an attempt that stands still behind a load of whichever gateway: it needs nothing of its engine
// then, others that would stand there too go elsewhere, and it is tried elsewhere while there is time.
func (c *Controller) blockedByLock(a *attempt) {
	c.releaseThreads(a)
	a.engine.dataSetLocks = append(a.engine.dataSetLocks, dataSetLock{a.request.DataSet, c.now + seconds(c.longestLoad)})
	c.hedgeOrCancel(a)
}

// slowdown is the log of an engine's slowness, from answers or, if worse, from the age of what is out.
func (c *Controller) slowdown(e *engine) float64 {
	return max(c.estimatedSlowdown(e), math.Log(max(1, e.overdueRatio/2)))
}

func (c *Controller) hedgeOrCancel(a *attempt) {
	q, k := a.request, c.classes[a.request.classIndex]
	if len(q.attempts) >= c.settings.Limits.MaxAttempts || a.cancelled || q.queuedOn != nil ||
		k.Idempotency == NonIdempotent || k.Idempotency == IdempotentWithKey && k.DedupScope != DedupScopeAll ||
		c.now+seconds(q.expectedWork) > q.Deadline || k.LateWeight == 0 && c.now > q.objectiveAt {
		return
	}
	if c.settings.Limits.Cancellation {
		a.cancelled = true
		c.emit(CancelAttempt{q.ID, a.number})
	} else if e := c.selectEngine(q, a.engine); c.settings.Limits.Hedging && e != nil && e != a.engine {
		c.sendAttempt(q, e)
	}
}

// attemptProgress takes news of a running attempt. Little progress for much time is a bad plan: it is called off
// where a fresh attempt should end sooner.
func (c *Controller) attemptProgress(ev AttemptProgress) {
	a := c.attemptInFlight(ev.RequestID, ev.Number)
	if a == nil {
		return
	}
	a.lastProgressAt, a.engine.lastResponseAt = c.now, c.now
	if ev.Kind != ProgressFraction {
		return
	}
	spent, usual := (c.now - a.sentAt).Seconds(), c.expectedServiceTime(a.request, a.engine)
	left := spent * (1 - ev.Value) / max(ev.Value, 0.005)
	if c.settings.Limits.Cancellation && left > runawayFactor*usual {
		c.hedgeOrCancel(a)
	}
}

// runTick looks at what waits, and each interval runs the regulators.
func (c *Controller) runTick() {
	c.emit(SetTimer{tickInterval, 1})
	c.expireBudget()
	if c.settings.PollEndpointList && !c.subscribed && c.now >= c.nextSubscribeAt {
		c.subscribed = true
		c.emit(WatchEndpoints{})
	}
	c.fadeEvidence(evidenceFade, failureFade)
	for _, e := range c.queueOwners() {
		c.updateOverdue(e)
		if c.now-e.sampledAt > controlInterval { // no news: trust returns by and by
			e.logSlowdown += slowdownFade * (c.bestLogSlowdown - e.logSlowdown)
		}
	}
	c.updatePoolLoad()
	c.retryWaiting()
	c.sendGossip()
	if gap := c.now - c.intervalStart; gap >= controlInterval {
		c.intervalStart = c.now
		c.runInterval(gap)
	}
}

// sendGossip tells another gateway, drawn by chance, of the engines' loads, by reports of its own and by those
// heard of: so news reach all within seconds, at a price that does not grow with their number.
func (c *Controller) sendGossip() {
	n := c.settings.Brokers
	if !c.settings.Limits.Gossip || c.pool == nil || n < 2 || c.now-c.gossipSentAt < gossipInterval {
		return
	}
	if known := c.recentLoadReports(seconds(loadReportDecay)); len(known) > 0 {
		c.gossipSentAt = c.now
		c.emit(SendGossip{(c.settings.BrokerIndex + 1 + c.rng.IntN(n-1)) % n, known})
	}
}

// runInterval runs once an interval: what was seen goes to the regulators, the optimizer sets their targets.
func (c *Controller) runInterval(gap time.Duration) {
	low := math.Inf(1)
	c.updateFleetTotals()
	for _, e := range c.queueOwners() {
		if e.slowdownSamples > minSlowdownSamples && e.listed && !e.ejected {
			low = min(low, e.logSlowdown)
		}
	}
	if !math.IsInf(low, 1) {
		if low < c.bestLogSlowdown || c.bestLogSlowdown == 0 {
			c.bestLogSlowdown = low
		} else {
			c.bestLogSlowdown += 0.02 * (low - c.bestLogSlowdown)
		}
	}
	steady := gap < controlInterval*3/2 // a stall breaks the fit's constant interval
	y, seen, served := c.closeInterval(gap)
	if steady {
		c.shareRegulator.Observe(y, seen)
	} else {
		c.shareRegulator.Skip(y)
	}
	if served > 0 && steady {
		want := c.optimizeShares(served)
		c.shares = c.shareRegulator.Decide(c.shareRegulator.Predict(want), minShare, 1)
		floats.Scale(1/floats.Sum(c.shares), c.shares)
		c.shareRegulator.U = c.shares
	}
	c.admissionPrice = max(minAdmissionPrice, c.admissionPrice*admissionPriceFall)
	k := c.tightest
	target := max(minServiceTarget, 1-k.meanWait/k.LatencyObjective.Seconds())
	threads, memory := c.meanDemand()
	fair := max(1/float64(c.settings.Brokers), c.trafficShare)
	if c.pool != nil {
		fair = c.trafficShare
	}
	for _, e := range c.queueOwners() {
		if e.answered > 0 && steady {
			e.limitRegulator.Observe([]float64{e.relativeLatencySum / e.answered}, []bool{true})
			e.limitRegulator.Decide([]float64{target}, minThreadsPerCore, maxThreadsPerCore)
		} else {
			e.limitRegulator.Skip(nil)
		}
		e.relativeLatencySum, e.answered = 0, 0
		// Exception, for a jam or a surge of retries: where the bound leaves the engine overfull,
		// this gateway's part was reckoned too high; it is squeezed, and let go by and by.
		jam := backoffSlowdown
		if e == c.pool {
			jam = poolBackoffSlowdown
		}
		if c.underPressure(e) && (e.load > backoffLoad || c.slowdown(e) > jam) {
			e.limitBackoff = max(minLimitBackoff, e.limitBackoff*0.8)
		} else {
			e.limitBackoff = min(1, e.limitBackoff*1.1)
		}
		e.limit = e.limitRegulator.U[0] * e.cores * fair * e.limitBackoff
		if memory > 0 { // symptom (spilling, paging): no more threads than there is memory for
			e.limit = min(e.limit, e.memoryMB*fair*e.limitBackoff/memory*threads)
		}
		if c.pool == nil {
			e.limit = max(e.limit, c.mostThreads)
		}
	}
}

// optimizeShares hands out shares greedily on the fitted model (paper, figure 4).
func (c *Controller) optimizeShares(served float64) []float64 {
	n := len(c.classes)
	s, at := make([]float64, n), slices.Repeat([]float64{math.Inf(-1)}, n)
	unit := math.Ceil(served/optimizerSteps) / served
	for left := 1.0; left > 1e-9; {
		pick, grant, gain := 0, left, math.Inf(-1)
		for i := range n {
			d := unit
			for d <= left+1e-9 && c.utility(i, s, d) <= at[i]+1e-9 {
				d += unit
			}
			if d > left+1e-9 {
				d = min(unit, left)
			}
			if g := (c.utility(i, s, d) - max(at[i], 0)) / d; g > gain {
				pick, grant, gain = i, d, g
			}
		}
		s[pick] += grant
		at[pick] = c.utility(pick, s, 0)
		left -= grant
	}
	return s
}

// utility is the worth a second of a class at a share raised by d, on the fitted model.
func (c *Controller) utility(i int, s []float64, d float64) float64 {
	s[i] += d
	inverse, through := c.shareRegulator.Row(2*i, s), c.shareRegulator.Row(2*i+1, s)
	s[i] -= d
	k := c.classes[i]
	onTime := min(1, max(0, inverse))
	return k.PriorityWeight * k.arrivalRate * min(1, max(0, through)) * (k.LateWeight + (1-k.LateWeight)*onTime*onTime)
}

func (f *fairQueue) push(c *Controller, q *request) {
	fl := &f.flows[q.classIndex]
	ln := &fl.tenants[q.tenantIndex]
	if fl.length == 0 {
		fl.start = max(f.virtualTime, fl.finish)
	}
	if len(ln.requests) == 0 {
		ln.start = max(fl.virtualTime, ln.finish)
	}
	ln.requests = append(ln.requests, q)
	ln.work += q.expectedWork
	fl.length++
	f.length++
	f.work += q.expectedWork
	fl.work += q.expectedWork
	f.threads += float64(c.classes[q.classIndex].Threads)
}

// head is the query with the least start tag: of the class first, of the tenant within it second.
func (f *fairQueue) head(fits func(class int) bool) *request {
	var best *classFlow
	for i := range f.flows {
		fl := &f.flows[i]
		if fl.length > 0 && (best == nil || fl.start < best.start) && (fits == nil || fits(i)) {
			best = fl
		}
	}
	if best == nil {
		return nil
	}
	var first *tenantFlow
	for i := range best.tenants {
		if ln := &best.tenants[i]; len(ln.requests) > 0 && (first == nil || ln.start < first.start) {
			first = ln
		}
	}
	return first.requests[0]
}

// pop takes the head out and moves the tags on by its cost over its share.
func (f *fairQueue) pop(c *Controller, q *request) {
	fl := &f.flows[q.classIndex]
	ln := &fl.tenants[q.tenantIndex]
	f.virtualTime, fl.virtualTime = max(f.virtualTime, fl.start), ln.start
	fl.finish = fl.start + q.expectedWork/c.shares[q.classIndex]
	ln.finish = ln.start + q.expectedWork/c.tenants[q.tenantIndex].Share
	fl.start, ln.start = fl.finish, ln.finish
	f.drop(c, fl, ln, 0)
}
