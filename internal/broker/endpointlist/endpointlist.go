// Package endpointlist holds the engines as the change log lists them, and those in maintenance mode. It works out
// what a change of the list means for the decision module and for the connections to engines.
package endpointlist

import (
	"maps"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// maxEverListed is the number of ids of engines that were ever listed at which those neither listed nor in
// maintenance are dropped. The ids serve to reject the maintenance of an engine that never existed.
const maxEverListed = 4096

// List is the endpoint list. Its zero value is not usable; New makes one.
type List struct {
	byID          map[string]changelog.Endpoint
	processStarts map[string]processStart // of the listed engines
	inMaintenance map[string]bool         // ids, listed or not
	everListed    map[string]bool         // ids; old ones are dropped, see maxEverListed
	revision      int64
	inService     int // number of engines
}

// New returns a list without engines.
func New() *List {
	return &List{
		byID:          map[string]changelog.Endpoint{},
		processStarts: map[string]processStart{},
		inMaintenance: map[string]bool{},
		everListed:    map[string]bool{},
	}
}

// Endpoint is the listed engine of an id; listed is false if there is none.
func (l *List) Endpoint(id string) (endpoint changelog.Endpoint, listed bool) {
	endpoint, listed = l.byID[id]
	return endpoint, listed
}

// Listed reports whether an engine is listed.
func (l *List) Listed(id string) bool {
	_, listed := l.byID[id]
	return listed
}

// EverListed reports whether an engine was ever listed. Old ids may have been dropped.
func (l *List) EverListed(id string) bool { return l.everListed[id] }

// InService reports whether an engine is listed as ready and is not in maintenance.
func (l *List) InService(id string) bool {
	endpoint, listed := l.byID[id]
	return listed && endpoint.State == control.Ready && !l.inMaintenance[id]
}

// Len is the number of listed engines.
func (l *List) Len() int { return len(l.byID) }

// InServiceCount is the number of engines in service.
func (l *List) InServiceCount() int { return l.inService }

// Revision is the revision of the last change that was applied.
func (l *List) Revision() int64 { return l.revision }

// ids are the listed engines, sorted.
func (l *List) ids() []string { return slices.Sorted(maps.Keys(l.byID)) }

// recordListed records that an engine was listed.
func (l *List) recordListed(id string) {
	if len(l.everListed) >= maxEverListed {
		maps.DeleteFunc(l.everListed, func(known string, _ bool) bool {
			return !l.Listed(known) && !l.inMaintenance[known]
		})
	}
	l.everListed[id] = true
}

// countInService counts the engines in service.
func (l *List) countInService() {
	l.inService = 0
	for id := range l.byID {
		if l.InService(id) {
			l.inService++
		}
	}
}

// EnginesInMaintenance are the engines in maintenance mode, sorted, listed or not.
func (l *List) EnginesInMaintenance() []string { return slices.Sorted(maps.Keys(l.inMaintenance)) }

// InMaintenance reports whether an engine is in maintenance mode.
func (l *List) InMaintenance(id string) bool { return l.inMaintenance[id] }

// StartMaintenance puts an engine that was ever listed into maintenance mode and reports whether that is new.
func (l *List) StartMaintenance(id string) (started bool) {
	if l.inMaintenance[id] || !l.everListed[id] {
		return false
	}
	l.inMaintenance[id] = true
	l.countInService()
	return true
}

// RestoreMaintenance does what StartMaintenance does, also for an engine that was never listed in this
// process: it was in the previous one.
func (l *List) RestoreMaintenance(id string) (started bool) {
	l.recordListed(id)
	return l.StartMaintenance(id)
}

// EndMaintenance ends the maintenance mode of an engine and reports whether it was in it.
func (l *List) EndMaintenance(id string) (ended bool) {
	if !l.inMaintenance[id] {
		return false
	}
	delete(l.inMaintenance, id)
	l.countInService()
	return true
}

// latestStart is the latest time at which the process of a listed engine may have started.
func (l *List) latestStart(id string) time.Duration { return l.processStarts[id].latest }
