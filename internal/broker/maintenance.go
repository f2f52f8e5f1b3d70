package broker

import (
	"maps"
	"slices"

	"wheatlane/control"
)

// EnginesInMaintenance are the engines in maintenance mode, sorted.
func (b *Broker) EnginesInMaintenance() []string {
	return slices.Sorted(maps.Keys(b.endpoints.inMaintenance))
}

// UnavailableEngines is the number of listed engines that get no new attempts: they are in maintenance, not
// in service, or ejected by the decision module.
func (b *Broker) UnavailableEngines() int {
	b.module.View(&b.view)
	count := 0
	for _, e := range b.view.Engines {
		unavailable := b.endpoints.inMaintenance[e.ID] || e.Ejected || e.State != control.Ready
		if unavailable && b.endpoints.listed(e.ID) {
			count++
		}
	}
	return count
}

// restoreMaintenance sets the maintenance mode of engines that the previous process handed over.
func (b *Broker) restoreMaintenance(engines []string) {
	for _, id := range engines {
		b.endpoints.rememberListed(id)
		b.startMaintenance(id)
	}
}

// startMaintenance starts the maintenance mode of an engine that was ever listed, and cancels the attempts
// that wait for a connection to it.
func (b *Broker) startMaintenance(id string) {
	if b.endpoints.inMaintenance[id] || !b.endpoints.everListed[id] {
		return
	}
	b.endpoints.inMaintenance[id] = true
	b.batch.add(control.SetMaintenance{Engine: id, Enabled: true})
	if b.endpoints.listed(id) {
		b.emit(CancelUnsent{id})
	}
	b.endpoints.countReady()
}

func (b *Broker) endMaintenance(id string) {
	if !b.endpoints.inMaintenance[id] {
		return
	}
	delete(b.endpoints.inMaintenance, id)
	b.batch.add(control.SetMaintenance{Engine: id, Enabled: false})
	b.endpoints.countReady()
}
