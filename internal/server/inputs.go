package server

import (
	"context"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
	"wheatlane/internal/handover"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
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

// EndpointsChanged implements endpointwatch.Sink.
func (in inputs) EndpointsChanged(ctx context.Context, page changelog.Page) bool {
	event := broker.EndpointChanges{Page: page, WallOffset: clock.WallOffset()}
	return in.server.post(ctx, func() { in.server.apply(event) })
}

// ConnectionEnded implements endpointwatch.Sink.
func (in inputs) ConnectionEnded(side netconn.Side, peer string, openedAt time.Time, err error) {
	in.server.connectionEnded(side, peer, openedAt, err)
}
