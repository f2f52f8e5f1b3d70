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
	interval     = time.Second            // design: control interval
	tick         = 100 * time.Millisecond // ours: held queries are looked at again this often
	startThreads = 1.5                    // design: bound, threads a core (one to two)
	leastThreads = 1.0                    // design
	mostThreads  = 1.7                    // design: beyond it engines lose more than they gain
	targetFloor  = 0.5                    // design: least service target, as a part of the aim
	forget       = 0.98                   // paper 3.2: forgetting of the least-squares fit
	mostTrace    = 1e4                    // symptom (silence): covariance grows without bound
	qShares      = 0.5                    // paper 3.2: price of moving the shares
	qBound       = 2.0                    // paper 3.3: the bound moves less readily than the shares
	leastShare   = 0.05                   // symptom (starvation): no class falls under this share
	steps        = 50                     // ours: the optimizer hands out shares in at most so many steps
	pressureAt   = 0.45                   // symptom (slowness): log of slowdown that is pressure
	leastSamples = 10                     // ours: answers before an engine's slowness is believed
	busyAt       = 0.90                   // symptom (fullness): reported use that is pressure
	scatter      = 0.5                    // symptom (slowness): what the spread of work explains
	leastUsual   = 0.1                    // symptom (jam): seconds that any answer may take
	overdueAt    = 3.0                    // symptom (jam): a jam sends no news; age tells
	overfull     = 1.2                    // symptom (jam): reported load at which the bound is squeezed
	jamAt        = 1.6                    // symptom (jam): log of slowdown at which the bound is squeezed
	poolJamAt    = 0.8                    // symptom (jam): the same for a pool, whose mean moves less
	leastSqueeze = 0.15                   // symptom (jam): part of the bound that always stays
	leastTenant  = 1e-3                   // ours: share of a tenant that is given none
	fullFor      = 2 * time.Second        // symptom (fullness): full engines rest and are pressed so long
	slowGain     = 0.25                   // symptom (slowness): weight of one answer
	levelStep    = 0.001                  // symptom (slowness): pace of the least service time seen
	failGain     = 0.2                    // symptom (fast failure): weight of one outcome
	slowFade     = 0.02                   // symptom (recovery): lost each tick without answers
	failDown     = 0.6                    // symptom (fast failure): set aside if it fails more
	failPrice    = 3.0                    // symptom (fast failure): room taken off for failing
	slowPrice    = 0.3                    // symptom (slowness): room taken off for slowness
	loadPrice    = 1.5                    // bench page: what stands behind a load is late for sure
	apartPrice   = 0.5                    // bench page: loads keep away from what they hold up
	crossPrice   = 0.05                   // ours: room taken off for another zone
	firstTrial   = 500 * time.Millisecond // symptom (silence, failure): first wait before a trial
	lastTrial    = 8 * time.Second        // symptom: longest wait between trials
	coldSafety   = 0.7                    // rule 4: part of the budget of a cold engine that is used
	coldRamp     = 0.7                    // rule 4: part of the hoped-for warming that is trusted
	coldChance   = 0.25                   // rule 4: part of the budget that turns taken by chance may use
	coldBusy     = 0.85                   // rule 4: capacity is the rate at which cores are so busy
	manyLeave    = 0.5                    // symptom (impatience): share that leaves early
	leaveGain    = 0.1                    // ours: weight of one departure
	badPlan      = 4.0                    // symptom (slowness): times its usual work that is given up
	logEvery     = 5 * time.Second        // ours: no log line repeats sooner
	leastRate    = 0.01                   // ours: queries a second of a class without traffic, in means
	rateFloor    = 1.0                    // ours: added to a rate that throughput is divided by
	mostInverse  = 4.0                    // ours: most that a latency under the aim counts for in the fit
	rateGain     = 0.3                    // ours: weight of one interval in a rate
	poolGain     = 0.05                   // ours: the same where engines are pooled
	partGain     = 0.2                    // ours: weight of one interval in this gateway's part
	leastPart    = 0.25                   // ours: the part of a gateway without traffic, in even parts
	failFade     = 0.98                   // symptom (recovery): left each tick
	evidenceFade = 0.99                   // ours: evidence of an engine that is left each tick
	poolWeight   = 3.0                    // ours: answers of its own that weigh as much as the pool's
	rareLoss     = 0.01                   // symptom (lost answers): expected share
	rareWeight   = 20.0                   // symptom (lost answers): answers this is worth
	calmRoom     = 1.5                    // symptom (jam): bounds that calm has: pressure shows late
	surelyLost   = 0.003                  // symptom (lost answers): late beyond this share of answers
	maybeLost    = 0.03                   // symptom (lost answers): never called lost before this share
	silentAfter  = 0.5                    // symptom (silence): share lost at which an engine is silent
	leastStand   = 0.25                   // bench page: part of the aim at which one stands behind a load
	leastSilence = 600 * time.Millisecond // symptom (silence): never judged sooner
	missedNotes  = 1.75                   // symptom (silence): times between notes without one
	poolReport   = 0.1                    // ours: weight of one engine's report in the pool's
	probes       = 3                      // ours: engines probed for a query
	reportLasts  = 5.0                    // ours: seconds in which a report loses most of its weight
	reportAge    = 250 * time.Millisecond // price of probes: a younger report is as good as a new one
	tellEvery    = 200 * time.Millisecond // ours: another gateway is told so often; a message is cheap
	leastPrice   = 1.0 / 16               // ours: refuses no query under 16 times the mean work
	priceRise    = 1.3                    // ours: growth of the price with each query that finds no room
	priceFall    = 0.95                   // ours: what is left of it after an interval
	chance       = 0.6                    // ours: difference of room that is worth a factor e in choice
	probeWait    = 4                      // ours: rounds that a query waits for its probes
	manyLost     = 0.4                    // symptom (jam): when so many look lost, it is a jam
	spreadGain   = 0.02                   // ours: weight of an answer in the spread of service times
	spreadPrior  = 5.0                    // ours: answers that the first guess of the spread is worth
	firstGuess   = 0.25                   // ours: work before any answer, as a part of the aim
	firstNeeds   = 1.25                   // bench page: engines grant a quarter over the estimate
	firstGain    = 0.5                    // paper 3.2: signs of the fit's diagonals are known
	firstCov     = 10.0                   // ours: covariance before any measurement
	askAgain     = 2 * time.Second        // rule 3: a failed subscription is asked for again so soon
)

// arrive takes a query. Its guard timer gives it its one answer whatever else happens to it.
func (c *Controller) arrive(in Request) {
	i, ok := c.classOf[in.Class]
	if c.queries[in.ID] != nil {
		return
	}
	if !ok {
		c.do(Fail{in.ID})
		return
	}
	k, t := c.classes[i], c.tenant(in.Tenant)
	q := &query{Request: in, c: i, t: t, taken: c.now, work: k.work, prio: 1}
	if in.EstimatedWork > 0 {
		q.work = in.EstimatedWork.Seconds() * k.ratio
	}
	q.aim = min(in.Deadline, c.now+k.LatencyObjective+seconds(k.ObjectivePerWork*q.work/float64(k.Threads)))
	if k.leaves > manyLeave { // symptom (impatience): clients leave before their time
		q.aim = min(q.aim, c.now+seconds(k.stays))
	}
	k.arrived++
	c.tenants[t].arrived++
	c.queries[in.ID] = q
	c.took = append(c.took, c.now)
	c.alarm(in.Deadline-c.now-2*c.set.MinBatchInterval, func() { c.giveUp(q) })
	c.line(q)
	c.place(q, nil)
}

// giveUp ends a query whose time is up or that can't be helped: refused where that is true, else failed.
func (c *Controller) giveUp(q *query) {
	if q.closed || q.stream {
		return
	}
	k := c.classes[q.c]
	ran := slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.ran })
	if !ran || k.Idempotency == Idempotent || k.Idempotency == IdempotentWithKey && k.DedupScope == DedupScopeAll {
		r := Reject{RequestID: q.ID}
		if c.set.Limits.RetryAfter {
			r.RetryAfter = c.retryIn()
		}
		c.do(r)
	} else {
		c.do(Fail{q.ID})
	}
	c.close(q)
}

// retryIn is when a refused client is asked to come back: spread evenly up to the longest wait that clients
// follow, as what a fleet refuses at once must not come back at once.
func (c *Controller) retryIn() time.Duration {
	hi := min(c.set.Limits.MaxRetryAfter, time.Second)
	lo := min(300*time.Millisecond, hi/2)
	return lo + time.Duration(c.rng.Float64()*float64(hi-lo))
}

// permit is the gate: every send passes it, and it holds the seven rules.
func (c *Controller) permit(q *query, e *engine) bool {
	k, r := c.classes[q.c], &c.set.Rules
	if q.closed || q.stream || c.now >= q.Deadline || len(q.attempts) >= c.set.Limits.MaxAttempts { // 1
		return false
	}
	for _, a := range q.attempts { // 2: each effect once
		if a.out && (!c.set.Limits.Hedging || k.Idempotency == NonIdempotent) {
			return false
		}
		if !a.ran || k.Idempotency == Idempotent { // ran holds while an attempt is out
			continue
		}
		same := k.DedupScope == DedupScopeAll || k.DedupScope == DedupScopeZone && e.Zone == a.e.Zone ||
			k.DedupScope == DedupScopeCell && e.Cell == a.e.Cell
		if !same || c.barred(k, a) {
			return false
		}
	}
	if !e.listed || e.State != Ready { // 3: stricter than the grace
		return false
	}
	if c.cold(e) && !c.coldRoom(e, k) { // 4
		return false
	}
	if q.line != nil && (q.line.queue[0] != q || len(q.attempts) == 0 && c.now < q.line.restTo) { // 5
		return false
	}
	if len(k.AllowedZones) > 0 && !slices.Contains(k.AllowedZones, e.Zone) ||
		len(k.AllowedKinds) > 0 && !slices.Contains(k.AllowedKinds, e.Kind) { // 6
		return false
	}
	if len(q.attempts) > 0 && r.RetryBudgetWindow > 0 { // 7
		c.trim()
		if float64(len(c.further)+1) > r.RetryBudgetReserve+r.RetryBudgetRatio*float64(len(c.took)) {
			return false
		}
	}
	return true
}

// barred says whether an attempt that may have run allows no other one of its class, at whichever engine.
func (c *Controller) barred(k *class, a *attempt) bool {
	window := k.DedupWindow - c.set.MinBatchInterval - c.set.MaxSendDelay
	return a.ran && (k.Idempotency == NonIdempotent || k.Idempotency == IdempotentWithKey && c.now-a.sent >= window)
}

// spent says whether a query can have no further attempt, whatever becomes of the engines.
func (c *Controller) spent(q *query) bool {
	bars := func(a *attempt) bool { return c.barred(c.classes[q.c], a) }
	return len(q.attempts) >= c.set.Limits.MaxAttempts || slices.ContainsFunc(q.attempts, bars)
}

// cold says whether an engine started lately; a second is added for what the list's clock may be off. None is
// where the deployment doesn't say by what cold ones fall.
func (c *Controller) cold(e *engine) bool {
	r := &c.set.Rules
	falls := r.OverloadWindow > 0 && r.OverloadMultiple > 0
	return falls && e.StartedAt > 0 && c.now-e.StartedAt < r.SlowStartDuration+time.Second
}

func (c *Controller) warmth(e *engine) float64 {
	if !c.cold(e) {
		return 1
	}
	from, since := c.set.Rules.SlowStartInitial, float64(c.now-e.StartedAt)
	return from + (1-from)*coldRamp*min(1, since/float64(c.set.Rules.SlowStartDuration))
}

// coldRoom keeps this gateway's part of a cold engine's budget, shared unseen: half by head, half by traffic.
// Exception, where engines are pooled: such parts are too small, so gateways take turns by number, each a
// window long; as many as half the budget (a window can touch two) has room for: heavy queries, or by chance.
func (c *Controller) coldRoom(e *engine, k *class) bool {
	r := &c.set.Rules
	mine, budget := 0.5/float64(c.set.Brokers)+0.5*c.part, c.coldBudget(e)
	if c.pool != nil {
		n := c.set.Brokers
		turns, fit := c.turns(e)
		first := e.hash + int((c.now-e.StartedAt)/r.OverloadWindow)*turns
		if (c.set.BrokerIndex+n-first%n)%n >= turns {
			return false
		}
		mine = 0.5 / fit
	}
	budget *= mine
	e.colds = slices.DeleteFunc(e.colds, func(s coldSend) bool { return s.at <= c.now-r.OverloadWindow })
	used := k.work
	for _, s := range e.colds {
		used += s.work
	}
	return used <= budget
}

// coldBudget is the work that all gateways together may send a cold engine within a window.
func (c *Controller) coldBudget(e *engine) float64 {
	r := &c.set.Rules
	return r.OverloadMultiple * c.warmth(e) * coldBusy * e.cores * r.OverloadWindow.Seconds() * coldSafety
}

// turns is how many gateways have their turn at a cold engine at a time, and how many heavy queries fit it.
func (c *Controller) turns(e *engine) (turns int, fit float64) {
	budget := c.coldBudget(e)
	fit = max(1, math.Floor(budget/2/max(c.heaviest, 1e-3)))
	use := c.rate * c.meanWork * c.set.Rules.OverloadWindow.Seconds() / float64(c.ready)
	return int(min(float64(c.set.Brokers), max(fit, coldChance*budget/2/use))), fit
}

// pooled says whether engines share one queue and bound. Exception, where this gateway's part of an engine's
// bound is less than one query: whole queries would sum past the engines' bound, and answers are too few to
// judge each. All count as one large engine; a query's own is chosen when it leaves.
func (c *Controller) pooled() bool {
	cores := 0.0
	for _, k := range c.set.EngineKinds {
		cores = max(cores, k.Cores)
	}
	return mostThreads*cores < c.widest*float64(c.set.Brokers)
}

// place queues a query at the eligible engine with most room under its bound, or at the pool.
func (c *Controller) place(q *query, not *engine) {
	q.not = not
	if len(q.attempts) > 0 && !q.busy() && c.spent(q) { // what nothing can help gets its answer now
		c.giveUp(q)
		return
	}
	// What is more work than the mean query goes to the best of a few engines whose load is asked for.
	if c.set.Limits.LoadProbes && !q.probed && c.classes[q.c].work > c.meanWork && c.pool == nil {
		q.probed = true
		asked := false
		for n := 0; n < probes && len(c.engines) > 0; n++ {
			o := c.engines[c.rng.IntN(len(c.engines))]
			young := o.askedAt > 0 && c.now-o.askedAt < reportAge
			if o.listed && o.State == Ready && !o.down && !young {
				o.askedAt, asked = c.now, true
				c.do(ProbeLoad{o.ID})
			}
		}
		if asked {
			c.alarm(probeWait*c.set.MinBatchInterval, func() {
				if !q.closed {
					c.place(q, not)
				}
			})
			return
		}
	}
	e := c.pool
	if e == nil {
		e = c.pick(q, not)
	}
	switch {
	case e == nil:
		c.parked = append(c.parked, q)
	case len(q.attempts) == 0 && c.costly(q):
		c.giveUp(q)
	case len(q.attempts) == 0 && c.hopeless(q, e):
		c.short()
		c.giveUp(q)
	default:
		q.at = e
		e.queue.push(c, q)
	}
}

func (c *Controller) pick(q *query, not *engine) *engine {
	best, most := (*engine)(nil), math.Inf(-1)
	for pass := 0; pass < 2 && best == nil; pass++ {
		for _, e := range c.engines {
			if pass == 0 && e == not || c.full(e, fullFor) || !c.permit(q, e) {
				continue
			}
			room := c.room(e, q) + c.luck(e)
			if e.down && !c.doubt {
				if c.now < e.trialAt || e.lot == e && e.threads > 0 || len(q.attempts) > 0 ||
					c.classes[q.c].PriorityWeight > c.leastWorth { // a trial is cheap
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

// luck is what chance adds to an engine's room. Exception, where engines are pooled: many gateways know the
// same, and late, and all would fill the one engine that was empty. Each is drawn with a weight of
// exp(room/chance). Those whose turn it is at a cold engine count it for all.
func (c *Controller) luck(e *engine) float64 {
	if c.pool == nil {
		return 0.02 * c.rng.Float64()
	}
	luck := -math.Log(c.rng.ExpFloat64())
	if c.cold(e) {
		turns, _ := c.turns(e)
		luck += math.Log(c.warmth(e) * float64(c.set.Brokers) / float64(turns))
	}
	return chance * luck
}

func (c *Controller) room(e *engine, q *query) float64 {
	limit := e.bound * c.warmth(e)
	room := 1 - (float64(e.threads)+e.queue.threads)/limit
	room -= slowPrice*c.drag(e) + failPrice*(e.fails+c.loss(e))
	if e.lot == e { // in a pool, an engine that answered of late is better than one not heard of
		room += failPrice * min(c.loss(e), c.lossOfAll())
	}
	if age := (c.now - e.reportAt).Seconds(); e.lot != e { // the older, the more the pool's counts
		room -= e.lot.report + math.Exp(-age/reportLasts)*(e.report-e.lot.report)
	} else if age < 2*interval.Seconds() {
		room -= e.report
	}
	if e.Zone != c.set.Zone {
		room -= crossPrice
	}
	k := c.classes[q.c]
	if (k.HoldsDataSetLock || k.BlockedByDataSetLock) && c.loading(e, q.DataSet) {
		room -= loadPrice
	}
	if at := e.ranks(q.DataSet); k.HoldsDataSetLock { // all gateways rank alike, so loads of others keep away, too
		room -= apartPrice * at
	} else if k.BlockedByDataSetLock {
		room -= apartPrice * (1 - at)
	}
	return room
}

func (c *Controller) pressed(e *engine) bool {
	told := c.set.ReportsCost || len(c.set.ReportFields) == 0 // else reports tell more than noisy times
	return c.full(e, fullFor) || e.overdue > overdueAt ||
		e.report > busyAt && (e.threads > 0 || c.now-e.reportAt < interval) ||
		told && e.samples > leastSamples && c.slowness(e) > pressureAt
}

// slowness is the log of an engine's slowdown over the best seen; where answers don't tell the work, only
// what stands out from the scatter counts.
func (c *Controller) slowness(e *engine) float64 {
	slow := e.slow
	if e.lot != e { // the fewer its own answers, the more the pool's count
		slow = e.lot.slow + (e.slow-e.lot.slow)*e.evidence/(e.evidence+poolWeight)
	}
	if c.set.ReportsCost {
		return max(0, slow-c.best)
	}
	return max(0, slow-c.best-scatter)
}

// loss is the share of an engine's answers that never come, shrunk to that of all, and that to the usual.
func (c *Controller) loss(e *engine) float64 {
	return (e.lost + c.lossOfAll()*poolWeight) / (e.evidence + poolWeight)
}

func (c *Controller) lossOfAll() float64 {
	return (c.lost + rareLoss*rareWeight) / (c.evidence + rareWeight)
}

// patienceFor is how long an attempt is waited for: until it is more likely lost than late, by the spread of
// service times seen and the share of answers lost.
func (c *Controller) patienceFor(q *query, e *engine) time.Duration {
	k := c.classes[q.c]
	z := math.Sqrt2 * math.Erfinv(1-2*c.tail(e))
	return seconds(c.expect(q, e) * math.Exp(k.spreadMean+z*math.Sqrt(k.spreadVar)))
}

// tail is the share of answers that come later than an attempt is waited for.
func (c *Controller) tail(e *engine) float64 {
	lost := c.loss(e)
	return min(maybeLost, max(surelyLost, lost/(1-min(lost, 0.9))))
}

// hopeless says whether a query that would be held, as the bound is used up, can't make its aim: refused
// early, it costs nothing and its client may try again. Guards against a surge or lost engines.
func (c *Controller) hopeless(q *query, e *engine) bool {
	if c.fits(e, q.c) {
		return false
	}
	// Its class needs only its share, and its tenant within that.
	fl, share := &e.queue.flows[q.c], c.shares[q.c]
	ahead := min(e.queue.work, fl.work/share, fl.tenants[q.t].work/share/c.tenants[q.t].Share)
	return c.now+seconds(ahead/e.bound*math.Exp(c.slowness(e)))+c.likely(q, e) > q.aim
}

// costly says whether a query is more work than it is worth while the pool is short of room, as what it would
// keep out is worth more. Guards against a few very heavy queries that keep out many of the same worth each.
func (c *Controller) costly(q *query) bool {
	k := c.classes[q.c]
	return c.pool != nil && !c.set.WeightByWork && k.PriorityWeight < c.price*c.cheapest*q.work
}

// short raises the price, as a query was refused for lack of room that was not the least worth its work.
func (c *Controller) short() { c.price = min(1, c.price*priceRise) }

// fits says whether a class's next query may go out: without pressure, under the bound or, so that long ones
// keep no quick ones out, while the class holds less than its share: all, if none earns more for its work.
func (c *Controller) fits(e *engine, class int) bool {
	width, bound := float64(c.classes[class].Threads), e.bound
	if !c.pressed(e) {
		bound = max(calmRoom*bound, 2*c.widest) // so that one wide query keeps no other out
	}
	share := c.shares[class]
	if class == c.dearest {
		share = 1
	}
	return e.threads == 0 || float64(e.threads)+width <= bound ||
		c.held(e, class)+width <= max(width, share*bound)
}

// pump releases held queries in start-tag order while the bound allows it.
func (c *Controller) pump(e *engine) {
	for q := e.queue.head(nil); q != nil; q = e.queue.head(nil) {
		if len(q.attempts) == 0 && c.pressed(e) && c.now+c.likely(q, e) > q.aim {
			c.short()
			c.giveUp(q)
			continue
		}
		if q = e.queue.head(func(class int) bool { return c.fits(e, class) }); q == nil {
			return
		}
		e.queue.pop(c, q)
		q.at = nil
		switch {
		case e != c.pool && (!c.permit(q, e) || c.full(e, fullFor)):
			c.parked = append(c.parked, q)
		case e != c.pool:
			c.send(q, e)
		case !c.ask(q):
			c.leave(q)
		}
	}
}

// ask draws a few engines for a query that may leave the pool, and asks them for their load: what is known of
// it is as old as a heavy query lasts. It says whether the query waits for that; what is no more work than
// the mean goes at once. Guards against probes for queries that the pool then refuses.
func (c *Controller) ask(q *query) bool {
	k, asked := c.classes[q.c], false
	q.drawn = nil
	if !c.set.Limits.LoadProbes || k.work <= c.meanWork {
		return false
	}
	for range probes {
		e := c.pick(q, q.not)
		if e == nil || slices.Contains(q.drawn, e) {
			continue
		}
		q.drawn = append(q.drawn, e)
		if c.now-max(e.askedAt, e.reportAt) >= reportAge {
			e.askedAt, asked = c.now, true
			c.do(ProbeLoad{e.ID})
		}
	}
	if asked {
		k.leaving++ // its threads are taken meanwhile
		c.pool.threads += k.Threads
		c.alarm(probeWait*c.set.MinBatchInterval, func() {
			k.leaving--
			c.pool.threads -= k.Threads
			if !q.closed {
				c.leave(q)
			}
		})
	}
	return asked
}

// leave sends a query that leaves the pool to the best engine drawn for it or, without any, to one drawn now.
func (c *Controller) leave(q *query) {
	var to *engine
	most := math.Inf(-1)
	for _, e := range q.drawn {
		if room := c.room(e, q); c.permit(q, e) && !c.full(e, fullFor) && room > most {
			to, most = e, room
		}
	}
	if to == nil {
		to = c.pick(q, q.not)
	}
	if to == nil {
		c.parked = append(c.parked, q)
		return
	}
	c.send(q, to)
}

// expect is the service time expected of a query on an engine, in seconds.
func (c *Controller) expect(q *query, e *engine) float64 {
	k := c.classes[q.c]
	return q.work / float64(k.Threads) * math.Exp(c.slowness(e))
}

func (c *Controller) send(q *query, e *engine) {
	k := c.classes[q.c]
	c.terms(q, e)
	if len(q.attempts) > 0 {
		c.further = append(c.further, c.now)
	}
	if c.cold(e) {
		e.colds = append(e.colds, coldSend{c.now, k.work})
	}
	a := &attempt{q: q, n: len(q.attempts), e: e, sent: c.now, out: true, ran: true}
	if len(q.attempts) == 0 {
		k.wait += 0.05 * ((c.now - q.taken).Seconds() - k.wait)
	}
	q.attempts = append(q.attempts, a)
	e.begin(a)
	e.hold(k.Threads)
	if e.down {
		e.trialAt = c.now + c.trialWait()
	}
	// Only a trial on a doubtful engine ends early, for another try: work that is cut off is lost.
	usual := c.patienceFor(q, e)
	to := SendAttempt{RequestID: q.ID, Engine: e.ID, OverdueAfter: usual}
	if e.down && 2*usual < q.Deadline-c.now {
		to.Timeout = usual
	}
	c.do(to)
	c.alarm(usual, func() { c.watch(a) })
}

// terms names memory and priority where they are heeded.
func (c *Controller) terms(q *query, e *engine) {
	t := SetAttemptOptions{RequestID: q.ID, Priority: 1}
	if c.set.MemoryGrants && c.set.ReportsCost && q.EstimatedMemoryMB > 0 {
		t.GrantMB = math.Ceil(min(q.EstimatedMemoryMB*c.classes[q.c].needs, c.set.MaxGrantFraction*e.memory))
	}
	if c.set.Priorities {
		t.Priority = c.priority(q)
	}
	if t.GrantMB != 0 || t.Priority != q.prio {
		q.prio = t.Priority
		c.do(t)
	}
}

// priority favours the class that earns most for its work.
func (c *Controller) priority(q *query) int {
	if q.c != c.dearest {
		return 1
	}
	return 3
}

// outcome takes the end of an attempt.
func (c *Controller) outcome(ev AttemptEnded) {
	a := c.running(ev.RequestID, ev.Number)
	if a == nil {
		return
	}
	q, e := a.q, a.e
	a.out = false
	e.end(a)
	if a.lost && ev.Status == OK {
		e.lost, c.lost = max(0, e.lost-a.sure), max(0, c.lost-a.sure)
	}
	if width := c.classes[q.c].Threads; ev.Status == TimedOut && !c.set.Limits.Cancellation && !a.dropped {
		c.alarm(c.now-a.sent, func() { e.hold(-width) }) // it may run on: as long again, by its age
	} else if !a.dropped {
		e.hold(-width)
	}
	a.ran = ev.Status != AtCapacity && ev.Status != ConnectFailed && ev.Status != NeverSent
	if q.line != nil && (ev.Status == TimedOut || ev.Status == ConnectionReset || ev.Status == Cancelled) {
		q.line.restTo = max(q.line.restTo, c.now+c.set.Rules.KeyCooldown)
	}
	c.reported(e, ev.Report)
	if !ev.SharedCause && (!a.lost || ev.Status != TimedOut) {
		c.judge(e, ev.Status)
	}
	if ev.Status == OK {
		c.learn(q, a, ev)
		if c.classes[q.c].BlockedByDataSetLock {
			e.unlock(q.DataSet)
		}
	}
	if ev.RequestClosed && !q.closed {
		c.left(q, 0)
		c.close(q)
	}
	if q.closed {
		c.forget(q)
	} else if !q.busy() {
		c.again(q, a, ev.Status)
	}
}

// again tries a failed query elsewhere while there is time, unless its work may go on and that adds to a jam.
func (c *Controller) again(q *query, a *attempt, s Status) {
	if q.Deadline-c.now < 4*c.set.MinBatchInterval ||
		s == TimedOut && !c.set.Limits.Cancellation && !a.e.down && c.pressed(a.e) ||
		c.classes[q.c].LateWeight == 0 && c.now > q.aim {
		c.giveUp(q)
	} else {
		c.place(q, a.e)
	}
}

// judge follows an engine's health from how attempts end.
func (c *Controller) judge(e *engine, s Status) {
	bad := 1.0
	switch s {
	case NeverSent, Cancelled:
		return
	case TimedOut:
		if !c.pressed(e.lot) {
			c.lose(e, 1)
		}
		return
	case AtCapacity:
		e.fullAt, e.heardAt, e.lot.fullAt = c.now, c.now, c.now
		return
	case OK:
		bad, e.heardAt = 0, c.now
	case Failed, ConnectionReset:
		e.heardAt = c.now
	}
	e.evidence, c.evidence = e.evidence+1, c.evidence+1
	e.fails += max(failGain, 1/(e.evidence+1)) * (bad - e.fails)
	if bad == 0 {
		e.trialAt = min(e.trialAt, c.now+c.trialWait())
		if e.down && e.fails < failDown {
			e.down = false
			c.resize()
			c.log("back "+e.ID, "engine %s is back", e.ID)
		}
		return
	}
	if e.fails > failDown {
		c.setDown(e, "failing")
	} else if s == ConnectFailed && e.fails > 0.3 {
		c.setDown(e, "unreachable")
	}
}

func (c *Controller) setDown(e *engine, why string) {
	if e.down {
		return
	}
	e.down, e.trialAt = true, c.now+c.trialWait()
	c.resize()
	c.log("down "+e.ID, "engine %s is %s", e.ID, why)
	c.vacate(e)
}

// trialWait stretches the wait between trials where there are many gateways: their trials add up.
func (c *Controller) trialWait() time.Duration {
	return min(lastTrial, max(firstTrial, seconds(float64(len(c.engines))/c.rate/2)))
}

// watch calls off or doubles an attempt that takes longer than nearly all answers. Guards against lost ones,
// silent engines, hung queries. When many look lost it is a jam, where more would be harmful.
func (c *Controller) watch(a *attempt) {
	if !a.out || a.q.closed || a.called || a.lost {
		return
	}
	k, limit := c.classes[a.q.c], c.patienceFor(a.q, a.e)
	if n := c.set.ProgressInterval; n > 0 {
		limit = min(limit, seconds(missedNotes*n.Seconds()))
	}
	heard := max(a.sent, a.heardAt)
	// The likelier a loss, the sooner it is judged.
	least := seconds(leastSilence.Seconds() * math.Sqrt(surelyLost/c.tail(a.e)))
	if k.BlockedByDataSetLock { // it may stand still behind a load, which is no loss, but takes too long
		least = seconds(leastStand * k.LatencyObjective.Seconds())
		alive := c.now-a.e.heardAt < leastSilence
		if alive && !a.dropped && c.now-heard >= max(limit, least) {
			c.stand(a)
		}
		if a.dropped {
			limit += seconds(c.longest)
		}
	}
	if left := max(limit, least) - (c.now - heard); left > 0 {
		c.alarm(left, func() { c.watch(a) })
		return
	}
	if a.lost = c.lossOfAll() < manyLost; !a.lost {
		return
	}
	c.alarm(c.now-a.sent, func() { // it may run on: as long again, by its age
		if a.out {
			c.drop(a)
		}
	})
	// It may be only late, which never shows if it is called off. Guards against a belief in losses that
	// feeds on itself: the more it believes, the shorter its patience.
	a.sure = c.loss(a.e) / (c.loss(a.e) + c.tail(a.e))
	c.lose(a.e, a.sure)
	if c.loss(a.e) > silentAfter {
		c.setDown(a.e, "silent")
	}
	c.rescue(a)
}

// stand takes an attempt that stands still behind a load of whichever gateway: it needs nothing of its engine
// then, others that would stand there too go elsewhere, and it is tried elsewhere while there is time.
func (c *Controller) stand(a *attempt) {
	c.drop(a)
	a.e.locks = append(a.e.locks, lock{a.q.DataSet, c.now + seconds(c.longest)})
	c.rescue(a)
}

// drag is the log of an engine's slowness, from answers or, if worse, from the age of what is out.
func (c *Controller) drag(e *engine) float64 {
	return max(c.slowness(e), math.Log(max(1, e.overdue/2)))
}

func (c *Controller) rescue(a *attempt) {
	q, k := a.q, c.classes[a.q.c]
	if len(q.attempts) >= c.set.Limits.MaxAttempts || a.called || q.at != nil ||
		k.Idempotency == NonIdempotent || k.Idempotency == IdempotentWithKey && k.DedupScope != DedupScopeAll ||
		c.now+seconds(q.work) > q.Deadline || k.LateWeight == 0 && c.now > q.aim {
		return
	}
	if c.set.Limits.Cancellation {
		a.called = true
		c.do(CancelAttempt{q.ID, a.n})
	} else if e := c.pick(q, a.e); c.set.Limits.Hedging && e != nil && e != a.e {
		c.send(q, e)
	}
}

// note takes news of a running attempt. Little progress for much time is a bad plan: it is called off
// where a fresh attempt should end sooner.
func (c *Controller) note(ev AttemptProgress) {
	a := c.running(ev.RequestID, ev.Number)
	if a == nil {
		return
	}
	a.heardAt, a.e.heardAt = c.now, c.now
	if ev.Kind != ProgressFraction {
		return
	}
	spent, usual := (c.now - a.sent).Seconds(), c.expect(a.q, a.e)
	left := spent * (1 - ev.Value) / max(ev.Value, 0.005)
	if c.set.Limits.Cancellation && left > badPlan*usual {
		c.rescue(a)
	}
}

// tick looks at what waits, and each interval runs the regulators.
func (c *Controller) tick() {
	c.do(SetTimer{tick, 1})
	c.trim()
	if c.set.PollEndpointList && !c.watching && c.now >= c.askAt {
		c.watching = true
		c.do(WatchEndpoints{})
	}
	c.fade(evidenceFade, failFade)
	for _, e := range c.lots() {
		c.age(e)
		if c.now-e.sampledAt > interval { // no news: trust returns by and by
			e.slow += slowFade * (c.best - e.slow)
		}
	}
	c.survey()
	c.unpark()
	c.tell()
	if gap := c.now - c.intervalT; gap >= interval {
		c.intervalT = c.now
		c.control(gap)
	}
}

// tell tells another gateway, drawn by chance, of the engines' loads, by reports of its own and by those
// heard of: so news reach all within seconds, at a price that does not grow with their number.
func (c *Controller) tell() {
	n := c.set.Brokers
	if !c.set.Limits.Gossip || c.pool == nil || n < 2 || c.now-c.toldAt < tellEvery {
		return
	}
	if known := c.known(seconds(reportLasts)); len(known) > 0 {
		c.toldAt = c.now
		c.do(SendGossip{(c.set.BrokerIndex + 1 + c.rng.IntN(n-1)) % n, known})
	}
}

// control runs once an interval: what was seen goes to the regulators, the optimizer sets their targets.
func (c *Controller) control(gap time.Duration) {
	low := math.Inf(1)
	c.resize()
	for _, e := range c.lots() {
		if e.samples > leastSamples && e.listed && !e.down {
			low = min(low, e.slow)
		}
	}
	if !math.IsInf(low, 1) {
		if low < c.best || c.best == 0 {
			c.best = low
		} else {
			c.best += 0.02 * (low - c.best)
		}
	}
	steady := gap < interval*3/2 // a stall breaks the fit's constant interval
	y, seen, served := c.measure(gap)
	if steady {
		c.share.Observe(y, seen)
	} else {
		c.share.Skip(y)
	}
	if served > 0 && steady {
		want := c.optimize(served)
		c.shares = c.share.Decide(c.share.Predict(want), leastShare, 1)
		floats.Scale(1/floats.Sum(c.shares), c.shares)
		c.share.U = c.shares
	}
	c.price = max(leastPrice, c.price*priceFall)
	k := c.tightest
	target := max(targetFloor, 1-k.wait/k.LatencyObjective.Seconds())
	threads, memory := c.means()
	fair := max(1/float64(c.set.Brokers), c.part)
	if c.pool != nil {
		fair = c.part
	}
	for _, e := range c.lots() {
		if e.n > 0 && steady {
			e.reg.Observe([]float64{e.sum / e.n}, []bool{true})
			e.reg.Decide([]float64{target}, leastThreads, mostThreads)
		} else {
			e.reg.Skip(nil)
		}
		e.sum, e.n = 0, 0
		// Exception, for a jam or a surge of retries: where the bound leaves the engine overfull,
		// this gateway's part was reckoned too high; it is squeezed, and let go by and by.
		jam := jamAt
		if e == c.pool {
			jam = poolJamAt
		}
		if c.pressed(e) && (e.report > overfull || c.drag(e) > jam) {
			e.squeeze = max(leastSqueeze, e.squeeze*0.8)
		} else {
			e.squeeze = min(1, e.squeeze*1.1)
		}
		e.bound = e.reg.U[0] * e.cores * fair * e.squeeze
		if memory > 0 { // symptom (spilling, paging): no more threads than there is memory for
			e.bound = min(e.bound, e.memory*fair*e.squeeze/memory*threads)
		}
		if c.pool == nil {
			e.bound = max(e.bound, c.widest)
		}
	}
}

// optimize hands out shares greedily on the fitted model (paper, figure 4).
func (c *Controller) optimize(served float64) []float64 {
	n := len(c.classes)
	s, at := make([]float64, n), slices.Repeat([]float64{math.Inf(-1)}, n)
	unit := math.Ceil(served/steps) / served
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
	inverse, through := c.share.Row(2*i, s), c.share.Row(2*i+1, s)
	s[i] -= d
	k := c.classes[i]
	onTime := min(1, max(0, inverse))
	return k.PriorityWeight * k.rate * min(1, max(0, through)) * (k.LateWeight + (1-k.LateWeight)*onTime*onTime)
}

func (f *queue) push(c *Controller, q *query) {
	fl := &f.flows[q.c]
	ln := &fl.tenants[q.t]
	if fl.n == 0 {
		fl.start = max(f.v, fl.finish)
	}
	if len(ln.q) == 0 {
		ln.start = max(fl.v, ln.finish)
	}
	ln.q = append(ln.q, q)
	ln.work += q.work
	fl.n++
	f.n++
	f.work += q.work
	fl.work += q.work
	f.threads += float64(c.classes[q.c].Threads)
}

// head is the query with the least start tag: of the class first, of the tenant within it second.
func (f *queue) head(fits func(class int) bool) *query {
	var best *flow
	for i := range f.flows {
		fl := &f.flows[i]
		if fl.n > 0 && (best == nil || fl.start < best.start) && (fits == nil || fits(i)) {
			best = fl
		}
	}
	if best == nil {
		return nil
	}
	var first *lane
	for i := range best.tenants {
		if ln := &best.tenants[i]; len(ln.q) > 0 && (first == nil || ln.start < first.start) {
			first = ln
		}
	}
	return first.q[0]
}

// pop takes the head out and moves the tags on by its cost over its share.
func (f *queue) pop(c *Controller, q *query) {
	fl := &f.flows[q.c]
	ln := &fl.tenants[q.t]
	f.v, fl.v = max(f.v, fl.start), ln.start
	fl.finish = fl.start + q.work/c.shares[q.c]
	ln.finish = ln.start + q.work/c.tenants[q.t].Share
	fl.start, ln.start = fl.finish, ln.finish
	f.drop(c, fl, ln, 0)
}
