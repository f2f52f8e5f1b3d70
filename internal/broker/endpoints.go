package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/endpointlist"
)

// EverListed reports whether an engine was ever in the endpoint list. It may return false for an engine removed long
// ago, whose id was dropped.
func (b *Broker) EverListed(id string) bool { return b.endpoints.EverListed(id) }

// EndpointCount returns the number of listed engines.
func (b *Broker) EndpointCount() int { return b.endpoints.Len() }

// EnginesInMaintenance returns the ids of the engines in maintenance mode, listed or not, sorted.
func (b *Broker) EnginesInMaintenance() []string { return b.endpoints.EnginesInMaintenance() }

// View fills view with the decision module's view of engines and classes.
func (b *Broker) View(view *control.View) { b.module.View(view) }

// UnavailableEngines returns the number of listed engines that receive no new attempts because they are in maintenance
// mode, not ready, or ejected by the decision module.
func (b *Broker) UnavailableEngines() int {
	b.module.View(&b.view)
	count := 0
	for _, engine := range b.view.Engines {
		unavailable := b.endpoints.InMaintenance(engine.ID) || engine.Ejected || engine.State != control.Ready
		if unavailable && b.endpoints.Listed(engine.ID) {
			count++
		}
	}
	return count
}

// applyChanges applies a page of the change log, notifies the decision module and updates the connections to engines.
func (b *Broker) applyChanges(now time.Duration, event EndpointChanges) {
	updates, connections := b.endpoints.Apply(now, event.Page, event.WallOffset)
	for _, update := range updates {
		b.batch.add(update)
	}
	for _, change := range connections {
		switch change.Kind {
		case endpointlist.CloseConnections:
			b.emit(CloseEngineConnections{Engine: change.Engine, DialedBefore: change.DialedBefore})
		case endpointlist.CancelUnsentAttempts:
			b.emit(CancelUnsentAttempts{change.Engine})
		}
	}
}

// restoreMaintenance starts the maintenance mode of the engines that the previous process handed over.
func (b *Broker) restoreMaintenance(engines []string) {
	for _, id := range engines {
		if b.endpoints.RestoreMaintenance(id) {
			b.maintenanceStarted(id)
		}
	}
}

// startMaintenance starts the maintenance mode of an engine that was ever listed.
func (b *Broker) startMaintenance(id string) {
	if b.endpoints.StartMaintenance(id) {
		b.maintenanceStarted(id)
	}
}

// maintenanceStarted notifies the decision module, and cancels the unsent attempts for the engine.
func (b *Broker) maintenanceStarted(id string) {
	b.batch.add(control.SetMaintenance{Engine: id, Enabled: true})
	if b.endpoints.Listed(id) {
		b.emit(CancelUnsentAttempts{id})
	}
}

func (b *Broker) endMaintenance(id string) {
	if b.endpoints.EndMaintenance(id) {
		b.batch.add(control.SetMaintenance{Engine: id, Enabled: false})
	}
}
