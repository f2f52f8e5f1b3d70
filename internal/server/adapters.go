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
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/netconn"
)

// An adapter implements the interfaces that a package below this one requires. It turns the package's reports into
// reducer events, which it applies in the loop. Its methods are safe for concurrent use unless documented otherwise.

// gossipAdapter forwards load reports of other brokers to the reducer.
type gossipAdapter struct{ loop *eventLoop }

// GossipReceived implements gossiptransport.Receiver.
func (h gossipAdapter) GossipReceived(ctx context.Context, index int, reports []control.GossipedLoad) {
	h.loop.post(ctx, func() { h.loop.apply(broker.GossipReceived{Broker: index, Reports: reports}) })
}

// changelogAdapter forwards pages of the change log to the reducer.
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

// frontendAdapter connects the frontend to the event loop.
type frontendAdapter struct {
	loop        *eventLoop
	connections *connectionLog
}

// Post implements frontend.Loop.
func (h frontendAdapter) Post(ctx context.Context, f func()) bool { return h.loop.post(ctx, f) }

// Apply implements frontend.EventSink. It must be called in the loop.
func (h frontendAdapter) Apply(event broker.Event) { h.loop.apply(event) }

// Enqueue implements frontend.EventSink. It must be called in the loop.
func (h frontendAdapter) Enqueue(event broker.Event) { h.loop.enqueue(event) }

// ConnectionEnded implements frontend.Observer.
func (h frontendAdapter) ConnectionEnded(end frontend.ConnectionEnd) {
	fields := []zap.Field{zap.Duration("idle", end.Idle)}
	if end.Session != 0 {
		fields = append(fields, zap.Uint32("session", uint32(end.Session)))
	}
	h.connections.recordEnd(netconn.ClientSide, end.Peer, end.OpenedAt, end.Err, fields...)
}

// Violated implements frontend.Observer. It must be called in the loop.
func (h frontendAdapter) Violated(rule invariant.Rule, fields ...zap.Field) {
	h.loop.reportViolation(rule, fields...)
}
