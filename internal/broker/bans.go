package broker

import (
	"maps"
	"slices"

	"wheatlane/control"
)

// mostListed is how many ids of engines that were ever listed are kept, so that a ban of an id never listed can be
// told from one of an engine that has left. Past it, those that are neither listed nor banned are forgotten.
const mostListed = 4096

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

// restore takes over bans of the process before.
func (b *Broker) restore(bans []string) {
	for _, id := range bans {
		b.remember(id)
		b.ban(id, true)
	}
}

// EverListed tells whether an engine was ever in the list, as far as is kept.
func (b *Broker) EverListed(id string) bool { return b.listed[id] }

// EnginesInMaintenance are the engines left out by hand, in order.
func (b *Broker) EnginesInMaintenance() []string { return slices.Sorted(maps.Keys(b.bans)) }

// Ready tells whether the broker can serve: it is not stopping, and an engine is in service and not left out.
func (b *Broker) Ready() bool { return !b.stopped && b.ready > 0 }

// UnavailableEngines is how many listed engines are avoided now, by hand or by the decision module's belief.
func (b *Broker) UnavailableEngines() int {
	b.decide.View(&b.view)
	n := 0
	for _, e := range b.view.Engines {
		if _, listed := b.engines[e.ID]; listed && (b.bans[e.ID] || e.Ejected || e.State != control.Ready) {
			n++
		}
	}
	return n
}

// EndpointCount is how many engines are in the list.
func (b *Broker) EndpointCount() int { return len(b.engines) }

// ban leaves an engine out, or lets it in again; the decision module keeps anything new from it.
func (b *Broker) ban(id string, down bool) {
	if b.bans[id] == down || !b.listed[id] {
		return
	}
	if down {
		b.bans[id] = true
	} else {
		delete(b.bans, id)
	}
	b.tell(control.SetMaintenance{Engine: id, Enabled: down})
	if _, ok := b.engines[id]; ok && down {
		b.do(CancelUnsent{id})
	}
	b.count()
}

// remember keeps that an engine was listed.
func (b *Broker) remember(id string) {
	if len(b.listed) >= mostListed {
		for known := range b.listed {
			if _, listed := b.engines[known]; !listed && !b.bans[known] {
				delete(b.listed, known)
			}
		}
	}
	b.listed[id] = true
}

// count counts the engines that can serve.
func (b *Broker) count() {
	b.ready = 0
	for id, e := range b.engines {
		if e.State == control.Ready && !b.bans[id] {
			b.ready++
		}
	}
}
