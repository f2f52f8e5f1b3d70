package server

import (
	"context"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/handover"
)

// inputs turns what other goroutines receive into events of the reducer. Its methods may be called on any goroutine.
type inputs struct{ server *Server }

// GossipReceived implements gossiptransport.Receiver.
func (in inputs) GossipReceived(ctx context.Context, number int, reports []control.GossipedLoad) {
	in.server.post(ctx, func() { in.server.apply(broker.GossipReceived{Broker: number, Reports: reports}) })
}

// AdoptMaintenance implements handoverstore.Adopter.
func (in inputs) AdoptMaintenance(ctx context.Context, changes []handover.Change) {
	in.server.post(ctx, func() { in.server.adoptMaintenance(changes) })
}
