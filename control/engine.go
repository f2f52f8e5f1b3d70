package control

import (
	"math"
	"slices"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/datasetlock"
	"wheatlane/control/loadreport"
	"wheatlane/control/membership"
	"wheatlane/control/outlier"
	"wheatlane/control/slowdown"
	"wheatlane/control/slowstart"
	"wheatlane/internal/fairqueue"
)

// engine is an engine of the endpoint list with all that is known of it. Where engines are pooled, one more
// value stands for the pool: it is in no list and gets no attempts of its own, but owns the queue and the
// concurrency limit of all, and its cores, memory, load and attempts are those of all engines together.
type engine struct {
	Engine                        // its entry of the endpoint list; member has the state that applies
	idHash      int               // RankHash of its ID, for ranks and for turns in slow start
	gossipID    uint32            // GossipID of its ID
	queueOwner  *engine           // whose queue and concurrency limit apply: itself, or the pool
	member      membership.Member // what the endpoint list and the operators say of it
	cores       float64           // at least 1
	memoryMB    float64           // infinite if not known
	concurrency concurrency.Limiter
	queue       fairqueue.Queue[*request]

	attempts []*attempt // in flight

	health          outlier.Health
	slowdown        slowdown.Engine
	load            loadreport.Estimate
	dataSetLocks    datasetlock.Locks // of other brokers' requests
	sentInSlowStart slowstart.SendLog
}

// newEngine returns an engine that nothing is known of yet.
func (c *Controller) newEngine(listed Engine, kind EngineKind) *engine {
	created := &engine{
		Engine:   Engine{ID: listed.ID},
		idHash:   datasetlock.RankHash(listed.ID),
		gossipID: GossipID(listed.ID),
		cores:    max(1, kind.Cores),
		memoryMB: kind.MemoryMB,
		health:   outlier.NewHealth(c.now),
		queue:    fairqueue.New[*request](len(c.classes.all), c.workload.Tenants().Len()),
	}
	if created.memoryMB <= 0 { // not known, so it bounds nothing
		created.memoryMB = math.Inf(1)
	}
	created.queueOwner = created
	share := c.workload.TrafficShare()
	created.concurrency = concurrency.New(concurrency.DefaultConfig(), created.cores, share)
	return created
}

// newPool returns the engine that stands for all where they are pooled.
func (c *Controller) newPool() *engine {
	pool := c.newEngine(Engine{}, EngineKind{})
	pool.concurrency = concurrency.New(concurrency.PoolConfig(), pool.cores, c.workload.TrafficShare())
	return pool
}

// pooled reports whether it shares its queue and concurrency limit with other engines.
func (e *engine) pooled() bool { return e.queueOwner != e }

// acquireThreads counts threads as in flight here and where the concurrency limit is.
func (e *engine) acquireThreads(threads int) {
	e.concurrency.Acquire(threads)
	if e.pooled() {
		e.queueOwner.concurrency.Acquire(threads)
	}
}

// releaseThreads counts them as no longer in flight.
func (e *engine) releaseThreads(threads int) {
	e.concurrency.Release(threads)
	if e.pooled() {
		e.queueOwner.concurrency.Release(threads)
	}
}

func (e *engine) addAttempt(added *attempt) {
	e.attempts = append(e.attempts, added)
	if e.pooled() {
		e.queueOwner.attempts = append(e.queueOwner.attempts, added)
	}
}

func (e *engine) removeAttempt(removed *attempt) {
	same := func(other *attempt) bool { return other == removed }
	e.attempts = slices.DeleteFunc(e.attempts, same)
	if e.pooled() {
		e.queueOwner.attempts = slices.DeleteFunc(e.queueOwner.attempts, same)
	}
}

// threadsOfClass is the threads of a class's attempts that count against an engine's limit; at the pool also
// of those requests that are about to leave it.
func (c *Controller) threadsOfClass(engine *engine, classIndex int) int {
	class, requests := c.classes.all[classIndex], 0
	for _, attempt := range engine.attempts {
		if attempt.request.classIndex == classIndex && !attempt.threadsReleased {
			requests++
		}
	}
	if engine == c.endpoints.pool {
		requests += class.awaitingProbes
	}
	return requests * class.Threads
}

// loadKnown reports whether it takes requests and its load is known.
func (e *engine) loadKnown(now time.Duration) bool {
	return e.member.AcceptsRequests() && e.load.ReportedWithin(loadreport.Lifetime, now)
}

// dataSetLocked reports whether a data set is locked here: by a request of this broker's, or presumably by
// one of another broker.
func (e *engine) dataSetLocked(now time.Duration, dataSet int) bool {
	holdsLock := func(attempt *attempt) bool {
		return attempt.request.class.HoldsDataSetLock && attempt.request.DataSet == dataSet
	}
	return e.dataSetLocks.Locked(dataSet, now) || slices.ContainsFunc(e.attempts, holdsLock)
}
