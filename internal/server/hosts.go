package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

// A host is what a part of the server sees of the rest: it turns what the part reports into events of the reducer, in
// the loop. Its methods may be called on any goroutine, but for those that say otherwise.

// gossipHost receives load reports of other brokers.
type gossipHost struct{ loop *eventLoop }

// GossipReceived implements gossiptransport.Receiver.
func (h gossipHost) GossipReceived(ctx context.Context, number int, reports []control.GossipedLoad) {
	h.loop.post(ctx, func() { h.loop.apply(broker.GossipReceived{Broker: number, Reports: reports}) })
}

// changelogHost receives pages of the change log.
type changelogHost struct {
	loop        *eventLoop
	connections *connectionLog
}

// EndpointsChanged implements endpointwatch.Sink.
func (h changelogHost) EndpointsChanged(ctx context.Context, page changelog.Page) bool {
	event := broker.EndpointChanges{Page: page, WallOffset: clock.WallOffset()}
	return h.loop.post(ctx, func() { h.loop.apply(event) })
}

// ConnectionEnded implements endpointwatch.Sink.
func (h changelogHost) ConnectionEnded(addr string, openedAt time.Time, err error) {
	h.connections.ended(netconn.ChangelogSide, addr, openedAt, err)
}

// frontendHost runs the frontend in the loop.
type frontendHost struct {
	loop        *eventLoop
	connections *connectionLog
}

// Post implements frontend.Loop.
func (h frontendHost) Post(ctx context.Context, f func()) bool { return h.loop.post(ctx, f) }

// Apply implements frontend.EventSink. It is called in the loop.
func (h frontendHost) Apply(event broker.Event) { h.loop.apply(event) }

// Enqueue implements frontend.EventSink. It is called in the loop.
func (h frontendHost) Enqueue(event broker.Event) { h.loop.enqueue(event) }

// ConnectionEnded implements frontend.Observer.
func (h frontendHost) ConnectionEnded(peer string, openedAt time.Time, err error) {
	h.connections.ended(netconn.ClientSide, peer, openedAt, err)
}

// Violated implements frontend.Observer. It is called in the loop.
func (h frontendHost) Violated(rule invariant.Rule, fields ...zap.Field) {
	h.loop.violated(rule, fields...)
}
