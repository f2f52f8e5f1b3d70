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

// gossipAdapter receives load reports of other brokers.
type gossipAdapter struct{ loop *eventLoop }

// GossipReceived implements gossiptransport.Receiver.
func (h gossipAdapter) GossipReceived(ctx context.Context, number int, reports []control.GossipedLoad) {
	h.loop.post(ctx, func() { h.loop.apply(broker.GossipReceived{Broker: number, Reports: reports}) })
}

// changelogAdapter receives pages of the change log.
type changelogAdapter struct {
	loop        *eventLoop
	connections *connectionLog
}

// EndpointsChanged implements endpointwatch.Sink.
func (h changelogAdapter) EndpointsChanged(ctx context.Context, page changelog.Page) bool {
	event := broker.EndpointChanges{Page: page, WallOffset: clock.WallOffset()}
	return h.loop.post(ctx, func() { h.loop.apply(event) })
}

// ConnectionEnded implements endpointwatch.Sink.
func (h changelogAdapter) ConnectionEnded(addr string, openedAt time.Time, err error) {
	h.connections.recordEnd(netconn.ChangelogSide, addr, openedAt, err)
}

// frontendAdapter runs the frontend in the loop.
type frontendAdapter struct {
	loop        *eventLoop
	connections *connectionLog
}

// Post implements frontend.Loop.
func (h frontendAdapter) Post(ctx context.Context, f func()) bool { return h.loop.post(ctx, f) }

// Apply implements frontend.EventSink. It is called in the loop.
func (h frontendAdapter) Apply(event broker.Event) { h.loop.apply(event) }

// Enqueue implements frontend.EventSink. It is called in the loop.
func (h frontendAdapter) Enqueue(event broker.Event) { h.loop.enqueue(event) }

// ConnectionEnded implements frontend.Observer.
func (h frontendAdapter) ConnectionEnded(peer string, openedAt time.Time, err error) {
	h.connections.recordEnd(netconn.ClientSide, peer, openedAt, err)
}

// Violated implements frontend.Observer. It is called in the loop.
func (h frontendAdapter) Violated(rule invariant.Rule, fields ...zap.Field) {
	h.loop.reportViolation(rule, fields...)
}
