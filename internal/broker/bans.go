package broker

import (
	"maps"
	"slices"

	"wheatlane/control"
)

// maxEverListed is how many ids of engines that were ever listed are kept, so that a ban of an id never listed can be
// told from one of an engine that has left. Past it, those that are neither listed nor banned are forgotten.
const maxEverListed = 4096

type (
	// StartMaintenance leaves an engine out by hand: nothing new is sent to it until SetUp, whatever the change log says of
	// it in the meantime. A second one changes nothing.
	StartMaintenance struct{ Engine string }
	// EndMaintenance ends the ban of an engine. One without a ban changes nothing.
	EndMaintenance struct{ Engine string }
	// RestoreMaintenance takes over the bans of the process before, listed now or not: they hold until SetUp.
	RestoreMaintenance struct{ Engines []string }
)

func (StartMaintenance) event()   {}
func (EndMaintenance) event()     {}
func (RestoreMaintenance) event() {}

// restoreMaintenance takes over bans of the process before.
func (b *Broker) restoreMaintenance(bans []string) {
	for _, id := range bans {
		b.rememberListed(id)
		b.setMaintenance(id, true)
	}
}

// EverListed tells whether an engine was ever in the list, as far as is kept.
func (b *Broker) EverListed(id string) bool { return b.everListed[id] }

// EnginesInMaintenance are the engines left out by hand, in order.
func (b *Broker) EnginesInMaintenance() []string { return slices.Sorted(maps.Keys(b.maintenance)) }

// Ready tells whether the broker can serve: it is not stopping, and an engine is in service and not left out.
func (b *Broker) Ready() bool { return !b.shuttingDown && b.readyEngines > 0 }

// UnavailableEngines is how many listed engines are avoided now, by hand or by the decision module's belief.
func (b *Broker) UnavailableEngines() int {
	b.module.View(&b.view)
	n := 0
	for _, e := range b.view.Engines {
		if _, listed := b.endpoints[e.ID]; listed && (b.maintenance[e.ID] || e.Ejected || e.State != control.Ready) {
			n++
		}
	}
	return n
}

// EndpointCount is how many engines are in the list.
func (b *Broker) EndpointCount() int { return len(b.endpoints) }

// setMaintenance leaves an engine out, or lets it in again; the decision module keeps anything new from it.
func (b *Broker) setMaintenance(id string, down bool) {
	if b.maintenance[id] == down || !b.everListed[id] {
		return
	}
	if down {
		b.maintenance[id] = true
	} else {
		delete(b.maintenance, id)
	}
	b.notifyModule(control.SetMaintenance{Engine: id, Enabled: down})
	if _, ok := b.endpoints[id]; ok && down {
		b.emit(CancelUnsent{id})
	}
	b.countReadyEngines()
}

// rememberListed keeps that an engine was listed.
func (b *Broker) rememberListed(id string) {
	if len(b.everListed) >= maxEverListed {
		for known := range b.everListed {
			if _, listed := b.endpoints[known]; !listed && !b.maintenance[known] {
				delete(b.everListed, known)
			}
		}
	}
	b.everListed[id] = true
}

// countReadyEngines counts the engines that can serve.
func (b *Broker) countReadyEngines() {
	b.readyEngines = 0
	for id, e := range b.endpoints {
		if e.State == control.Ready && !b.maintenance[id] {
			b.readyEngines++
		}
	}
}
