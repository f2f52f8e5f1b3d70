package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
	"wheatlane/internal/handover"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

// A host is what a part of the server sees of the rest: it turns what the part reports into events of the reducer, in the
// loop. Its methods may be called on any goroutine, but for those that say otherwise.

// gossipHost receives load reports of other brokers.
type gossipHost struct{ server *Server }

// GossipReceived implements gossiptransport.Receiver.
func (h gossipHost) GossipReceived(ctx context.Context, number int, reports []control.GossipedLoad) {
	h.server.post(ctx, func() { h.server.apply(broker.GossipReceived{Broker: number, Reports: reports}) })
}

// handoverHost receives changes of maintenance modes that another process of the broker has written.
type handoverHost struct{ server *Server }

// AdoptMaintenance implements handoverstore.Adopter.
func (h handoverHost) AdoptMaintenance(ctx context.Context, changes []handover.Change) {
	h.server.post(ctx, func() { h.server.adoptMaintenance(changes) })
}

// changelogHost receives pages of the change log.
type changelogHost struct{ server *Server }

// EndpointsChanged implements endpointwatch.Sink.
func (h changelogHost) EndpointsChanged(ctx context.Context, page changelog.Page) bool {
	event := broker.EndpointChanges{Page: page, WallOffset: clock.WallOffset()}
	return h.server.post(ctx, func() { h.server.apply(event) })
}

// ConnectionEnded implements endpointwatch.Sink.
func (h changelogHost) ConnectionEnded(addr string, openedAt time.Time, err error) {
	h.server.connectionEnded(netconn.ChangelogSide, addr, openedAt, err)
}

// frontendHost runs the frontend in the loop of a server.
type frontendHost struct{ server *Server }

// Post implements frontend.Loop.
func (h frontendHost) Post(ctx context.Context, f func()) bool { return h.server.post(ctx, f) }

// Apply implements frontend.EventSink. It is called in the loop.
func (h frontendHost) Apply(event broker.Event) { h.server.apply(event) }

// Enqueue implements frontend.EventSink. It is called in the loop.
func (h frontendHost) Enqueue(event broker.Event) { h.server.enqueue(event) }

// ConnectionEnded implements frontend.Observer.
func (h frontendHost) ConnectionEnded(peer string, openedAt time.Time, err error) {
	h.server.connectionEnded(netconn.ClientSide, peer, openedAt, err)
}

// Violated implements frontend.Observer. It is called in the loop.
func (h frontendHost) Violated(rule invariant.Rule, fields ...zap.Field) {
	h.server.violated(rule, fields...)
}
