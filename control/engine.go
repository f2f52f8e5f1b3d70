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

// engine holds the state of one engine of the endpoint list. Where engines are pooled, one more value
// represents the pool: it is not listed and gets no attempts of its own, but it owns the queue and the
// concurrency limit of all engines, and its cores, memory, load and attempts are the totals of all engines.
type engine struct {
	Engine                        // entry of the endpoint list; member holds the state that applies
	idHash      int               // RankHash of the ID, for ranks and for slots in slow start
	gossipID    uint32            // GossipID of the ID
	queueOwner  *engine           // owner of the queue and the concurrency limit: itself or the pool
	member      membership.Member // state by the endpoint list and the maintenance mode
	cores       float64           // at least 1
	memoryMB    float64           // infinite if unknown
	concurrency concurrency.Limiter
	queue       fairqueue.Queue[*request]

	attempts []*attempt // in flight

	health          outlier.Health
	slowdown        slowdown.Engine
	load            loadreport.Estimate
	dataSetLocks    datasetlock.Locks // locks presumed held by other brokers' requests
	sentInSlowStart slowstart.SendLog
}

// newEngine returns an engine without observations.
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
	if created.memoryMB <= 0 { // unknown, so it must not limit anything
		created.memoryMB = math.Inf(1)
	}
	created.queueOwner = created
	share := c.workload.TrafficShare()
	created.concurrency = concurrency.New(concurrency.DefaultConfig(), created.cores, share)
	return created
}

// newPool returns the engine that represents all engines where they are pooled.
func (c *Controller) newPool() *engine {
	pool := c.newEngine(Engine{}, EngineKind{})
	pool.concurrency = concurrency.New(concurrency.PoolConfig(), pool.cores, c.workload.TrafficShare())
	return pool
}

// pooled reports whether the engine shares its queue and concurrency limit with other engines.
func (e *engine) pooled() bool { return e.queueOwner != e }

// acquireThreads counts threads as in flight at the engine and, if there is one, at its pool.
func (e *engine) acquireThreads(threads int) {
	e.concurrency.Acquire(threads)
	if e.pooled() {
		e.queueOwner.concurrency.Acquire(threads)
	}
}

// releaseThreads reverts acquireThreads.
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

// threadsOfClass returns the number of threads of a class's slot that count against an engine's limit: those of its
// attempts and, at the pool, those of requests that wait for load probes before they leave it.
func (c *Controller) threadsOfClass(engine *engine, slot *classSlot) int {
	threads := 0
	for _, attempt := range engine.attempts {
		if class := attempt.request.class; class.slot.current() == slot && !attempt.threadsReleased {
			threads += class.Threads
		}
	}
	if engine == c.endpoints.pool {
		threads += slot.awaitingProbeThreads
	}
	return threads
}

// loadKnown reports whether the engine accepts requests and its load is known.
func (e *engine) loadKnown(now time.Duration) bool {
	return e.member.AcceptsRequests() && e.load.ReportedWithin(loadreport.Lifetime, now)
}

// dataSetLocked reports whether a data set is locked on the engine by a request of this broker, or is
// presumed to be locked by a request of another broker.
func (e *engine) dataSetLocked(now time.Duration, dataSet int) bool {
	holdsLock := func(attempt *attempt) bool {
		return attempt.request.class.HoldsDataSetLock && attempt.request.DataSet == dataSet
	}
	return e.dataSetLocks.Locked(dataSet, now) || slices.ContainsFunc(e.attempts, holdsLock)
}
