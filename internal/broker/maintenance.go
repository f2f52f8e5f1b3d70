package broker

import (
	"maps"
	"slices"

	"wheatlane/control"
)

// EnginesInMaintenance are the engines in maintenance mode, sorted.
func (b *Broker) EnginesInMaintenance() []string { return slices.Sorted(maps.Keys(b.maintenance)) }

// UnavailableEngines is how many listed engines get no new attempts now: they are in maintenance, not in
// service, or the decision module has ejected them.
func (b *Broker) UnavailableEngines() int {
	b.module.View(&b.view)
	count := 0
	for _, e := range b.view.Engines {
		if _, listed := b.endpoints.byID[e.ID]; !listed {
			continue
		}
		if b.maintenance[e.ID] || e.Ejected || e.State != control.Ready {
			count++
		}
	}
	return count
}

// restoreMaintenance sets the maintenance mode of engines that the previous process handed over.
func (b *Broker) restoreMaintenance(engines []string) {
	for _, id := range engines {
		b.endpoints.rememberListed(id, b.maintenance)
		b.startMaintenance(id)
	}
}

// startMaintenance keeps new attempts from an engine, and ends those that wait for a connection to it.
func (b *Broker) startMaintenance(id string) {
	if b.maintenance[id] || !b.endpoints.everListed[id] {
		return
	}
	b.maintenance[id] = true
	b.batch.add(control.SetMaintenance{Engine: id, Enabled: true})
	if _, listed := b.endpoints.byID[id]; listed {
		b.emit(CancelUnsent{id})
	}
	b.endpoints.countReady(b.maintenance)
}

func (b *Broker) endMaintenance(id string) {
	if !b.maintenance[id] {
		return
	}
	delete(b.maintenance, id)
	b.batch.add(control.SetMaintenance{Engine: id, Enabled: false})
	b.endpoints.countReady(b.maintenance)
}
