package control

import (
	"slices"
	"strings"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/slowstart"
)

// endpointSet holds the engines of the endpoint list, and unlisted ones that still have attempts in flight or
// queued requests.
type endpointSet struct {
	all             []*engine // sorted by ID
	byID            map[string]*engine
	pool            *engine   // queue owner of all engines where they are pooled; else nil
	pooledOwners    []*engine // the pool as a list of one, if there is a pool
	inMaintenance   map[string]bool
	ready           int  // engines that are ready and not in maintenance, at least 1
	majorityEjected bool // over half of the ready engines are ejected: selection ignores ejections
}

// poolsEngines reports whether all engines share one queue and one concurrency limit, which applies where
// this broker's share of an engine's limit is less than one request. One request of each broker would then
// exceed the limit, and each broker receives too few responses to estimate the state of each engine. A
// request's engine is selected when the request leaves the pool.
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

// queueOwners returns the engines that have a queue and a concurrency limit: every engine, or only the pool.
func (s *endpointSet) queueOwners() []*engine {
	if s.pool != nil {
		return s.pooledOwners
	}
	return s.all
}

// setPool makes pool the queue owner of all engines that are added later.
func (s *endpointSet) setPool(pool *engine) {
	pool.member.Update(Ready)
	s.pool, s.pooledOwners = pool, []*engine{pool}
}

// add adds an engine to the set, which stays sorted by ID.
func (s *endpointSet) add(engine *engine) {
	if s.pool != nil {
		engine.queueOwner = s.pool
	}
	s.byID[engine.ID] = engine
	place, _ := slices.BinarySearchFunc(s.all, engine.ID, compareID)
	s.all = slices.Insert(s.all, place, engine)
}

// moveQueues moves the classes of all queues to new indexes.
func (s *endpointSet) moveQueues(indexes []int, classes int) {
	for _, engine := range s.all {
		engine.queue.MoveClasses(indexes, classes)
	}
	if s.pool != nil {
		s.pool.queue.MoveClasses(indexes, classes)
	}
}

func compareID(engine *engine, id string) int { return strings.Compare(engine.ID, id) }

// removeUnlisted removes the engines that are no longer listed and have no attempt in flight and no queued
// request. It returns their IDs.
func (s *endpointSet) removeUnlisted() (removed []string) {
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

// updateSummary recomputes the number of ready engines, majorityEjected and the size of the pool after a
// change of the engines.
func (s *endpointSet) updateSummary(slowStart *slowstart.Policy, now time.Duration) {
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

// byGossipID returns the engine with that GossipID, or nil if there is none.
func (s *endpointSet) byGossipID(id uint32) *engine {
	i := slices.IndexFunc(s.all, func(engine *engine) bool { return engine.gossipID == id })
	if i < 0 {
		return nil
	}
	return s.all[i]
}
