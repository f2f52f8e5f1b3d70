// Package endpointlist maintains the engines listed in the change log and the engines in maintenance mode. From each
// change, it derives updates for the decision module and changes of the connections to engines.
package endpointlist

import (
	"maps"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// maxEverListed is the maximum number of stored ids of engines that were ever listed. When it is reached, the ids of
// engines that are neither listed nor in maintenance mode are dropped. The ids serve to reject maintenance requests for
// engines that never existed.
const maxEverListed = 4096

// List is the endpoint list. Use New to create one. It is not safe for concurrent use.
type List struct {
	byID            map[string]changelog.Endpoint
	idsByAddr       map[string][]string     // ids of the listed engines at an address, sorted
	processStarts   map[string]processStart // of the listed engines, by id
	inMaintenance   map[string]bool         // ids of engines, listed or not
	everListed      map[string]bool         // ids; old ones are dropped, see maxEverListed
	everListedLimit int                     // number of ids at which old ones are dropped
	revision        int64
	inService       int // number of engines in service
}

// New returns an empty list.
func New() *List {
	return &List{
		byID:            map[string]changelog.Endpoint{},
		idsByAddr:       map[string][]string{},
		processStarts:   map[string]processStart{},
		inMaintenance:   map[string]bool{},
		everListed:      map[string]bool{},
		everListedLimit: maxEverListed,
	}
}

// Endpoint returns the listed engine with the given id; listed is false if there is none.
func (l *List) Endpoint(id string) (endpoint changelog.Endpoint, listed bool) {
	endpoint, listed = l.byID[id]
	return endpoint, listed
}

// Listed reports whether an engine is listed.
func (l *List) Listed(id string) bool {
	_, listed := l.byID[id]
	return listed
}

// EverListed reports whether an engine was ever listed. It may return false for an engine removed long ago, whose id
// was dropped.
func (l *List) EverListed(id string) bool { return l.everListed[id] }

// InService reports whether an engine is listed as ready and is not in maintenance mode.
func (l *List) InService(id string) bool {
	endpoint, listed := l.byID[id]
	return listed && endpoint.State == control.Ready && !l.inMaintenance[id]
}

// Len returns the number of listed engines.
func (l *List) Len() int { return len(l.byID) }

// InServiceCount returns the number of engines in service.
func (l *List) InServiceCount() int { return l.inService }

// Revision returns the latest revision that was applied.
func (l *List) Revision() int64 { return l.revision }

// store lists an engine, or replaces its entry.
func (l *List) store(endpoint changelog.Endpoint) {
	l.delete(endpoint.ID)
	l.byID[endpoint.ID] = endpoint
	ids := l.idsByAddr[endpoint.Addr]
	at, _ := slices.BinarySearch(ids, endpoint.ID)
	l.idsByAddr[endpoint.Addr] = slices.Insert(ids, at, endpoint.ID)
}

// delete removes an engine from the list.
func (l *List) delete(id string) {
	endpoint, listed := l.byID[id]
	if !listed {
		return
	}
	delete(l.byID, id)
	ids := slices.DeleteFunc(l.idsByAddr[endpoint.Addr], func(other string) bool { return other == id })
	if l.idsByAddr[endpoint.Addr] = ids; len(ids) == 0 {
		delete(l.idsByAddr, endpoint.Addr)
	}
}

// ids returns the ids of the listed engines, sorted.
func (l *List) ids() []string { return slices.Sorted(maps.Keys(l.byID)) }

// recordListed stores the id of a listed engine, and drops old ids at maxEverListed.
func (l *List) recordListed(id string) {
	if len(l.everListed) >= l.everListedLimit {
		maps.DeleteFunc(l.everListed, func(old string, _ bool) bool {
			return !l.Listed(old) && !l.inMaintenance[old]
		})
		l.everListedLimit = max(maxEverListed, 2*len(l.everListed)) // a longer list is not searched for each engine
	}
	l.everListed[id] = true
}

// countInService updates the number of engines in service.
func (l *List) countInService() {
	l.inService = 0
	for id := range l.byID {
		if l.InService(id) {
			l.inService++
		}
	}
}

// EnginesInMaintenance returns the ids of the engines in maintenance mode, listed or not, sorted.
func (l *List) EnginesInMaintenance() []string { return slices.Sorted(maps.Keys(l.inMaintenance)) }

// InMaintenance reports whether an engine is in maintenance mode.
func (l *List) InMaintenance(id string) bool { return l.inMaintenance[id] }

// StartMaintenance puts an engine that was ever listed into maintenance mode. It reports false if the engine was in
// maintenance mode before, or was never listed.
func (l *List) StartMaintenance(id string) (started bool) {
	if l.inMaintenance[id] || !l.everListed[id] {
		return false
	}
	l.inMaintenance[id] = true
	l.countInService()
	return true
}

// RestoreMaintenance is like StartMaintenance, but accepts an engine that was listed only in the previous process.
func (l *List) RestoreMaintenance(id string) (started bool) {
	l.recordListed(id)
	return l.StartMaintenance(id)
}

// EndMaintenance ends the maintenance mode of an engine. It reports whether the engine was in maintenance mode.
func (l *List) EndMaintenance(id string) (ended bool) {
	if !l.inMaintenance[id] {
		return false
	}
	delete(l.inMaintenance, id)
	l.countInService()
	return true
}

// latestStart returns the latest time at which the process of a listed engine may have started.
func (l *List) latestStart(id string) time.Duration { return l.processStarts[id].latest }
