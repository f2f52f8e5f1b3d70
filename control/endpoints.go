package control

import (
	"slices"
	"strings"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/slowstart"
)

// endpointSet is the set of engines that the endpoint list names, and those that still have something in
// flight.
type endpointSet struct {
	all             []*engine // sorted by ID
	byID            map[string]*engine
	pool            *engine   // all engines as one queue owner, where they are pooled; else nil
	poolOnly        []*engine // the pool alone, if there is one
	inMaintenance   map[string]bool
	ready           int  // listed as ready and not in maintenance, at least 1
	majorityEjected bool // more than half of the ready ones are ejected: selection ignores ejections then
}

// poolsEngines reports whether all engines share one queue and one concurrency limit: where this broker's
// share of an engine's limit is less than a request. One request of each broker would exceed the limits then,
// and answers are too few to learn of each engine. A request's engine is selected when it leaves the pool.
func poolsEngines(settings Settings, maxThreads int) bool {
	cores := 0.0
	for _, kind := range settings.EngineKinds {
		cores = max(cores, kind.Cores)
	}
	return concurrency.CapacityThreadsPerCore*cores < float64(maxThreads)*float64(settings.Brokers)
}

func newEndpointSet() endpointSet {
	return endpointSet{byID: map[string]*engine{}, inMaintenance: map[string]bool{}}
}

// queueOwners are the engines that have a queue and a concurrency limit: each one, or the pool.
func (s *endpointSet) queueOwners() []*engine {
	if s.pool != nil {
		return s.poolOnly
	}
	return s.all
}

// setPool makes an engine the queue owner of all that are added from now on.
func (s *endpointSet) setPool(pool *engine) {
	pool.member.Update(Ready)
	s.pool, s.poolOnly = pool, []*engine{pool}
}

// add puts an engine into the set.
func (s *endpointSet) add(engine *engine) {
	if s.pool != nil {
		engine.queueOwner = s.pool
	}
	s.byID[engine.ID] = engine
	place, _ := slices.BinarySearchFunc(s.all, engine.ID, compareID)
	s.all = slices.Insert(s.all, place, engine)
}

// growQueues adds new classes to all queues.
func (s *endpointSet) growQueues(classes, tenants int) {
	for _, engine := range s.all {
		engine.queue.Grow(classes, tenants)
	}
	if s.pool != nil {
		s.pool.queue.Grow(classes, tenants)
	}
}

func compareID(engine *engine, id string) int { return strings.Compare(engine.ID, id) }

// removeGone drops engines that are no longer listed, once nothing is in flight or queued there, and returns
// their IDs.
func (s *endpointSet) removeGone() (removed []string) {
	s.all = slices.DeleteFunc(s.all, func(engine *engine) bool {
		if engine.member.Listed() || len(engine.attempts) > 0 || engine.queue.Len() > 0 {
			return false
		}
		delete(s.byID, engine.ID)
		removed = append(removed, engine.ID)
		return true
	})
	return removed
}

// summarize sums up after a change of engines: how many are ready, whether most are faulty, and the pool's
// size.
func (s *endpointSet) summarize(slowStart *slowstart.Policy, now time.Duration) {
	cores, memoryMB, ready, ejected := 0.0, 0.0, 0, 0
	for _, engine := range s.all {
		if !engine.member.AcceptsRequests() {
			continue
		}
		ready++
		if engine.health.Ejected() {
			ejected++
			continue
		}
		cores += engine.cores * float64(slowStart.Fraction(engine.slowStartInput(), now))
		memoryMB += engine.memoryMB
	}
	s.majorityEjected, s.ready = ejected > ready-ejected, max(1, ready)
	if s.pool != nil {
		previous := s.pool.cores
		s.pool.cores, s.pool.memoryMB = max(1, cores), max(1, memoryMB)
		s.pool.concurrency.Scale(s.pool.cores / previous)
	}
}

// byGossipID finds an engine by the short form of its ID; nil if there is none.
func (s *endpointSet) byGossipID(id uint32) *engine {
	i := slices.IndexFunc(s.all, func(engine *engine) bool { return engine.gossipID == id })
	if i < 0 {
		return nil
	}
	return s.all[i]
}
