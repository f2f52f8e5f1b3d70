package server

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/handover"
	"wheatlane/internal/server/handoverstore"
)

// ErrNotListed is returned by StartMaintenance and EndMaintenance for an engine that was never in the endpoint list.
var ErrNotListed = errors.New("server: the engine was never listed")

// StartMaintenance puts an engine into maintenance mode. It returns once the change is in effect and, where a hand-over
// directory is configured, stored for the next process. The error wraps ErrNotListed, or is that of ctx if ctx ends
// first. In the latter case the change may be in effect, and is then stored as soon as possible.
func (s *Server) StartMaintenance(ctx context.Context, id string) error {
	return s.maintenance.change(ctx, handover.Change{Engine: id, Enabled: true})
}

// EndMaintenance takes an engine out of maintenance mode. It waits like StartMaintenance and returns the same errors.
func (s *Server) EndMaintenance(ctx context.Context, id string) error {
	return s.maintenance.change(ctx, handover.Change{Engine: id})
}

// maintenanceModes changes which engines are in maintenance mode. change and AdoptMaintenance are safe for concurrent
// use; apply and adopt must be called in the loop.
type maintenanceModes struct {
	loop  *eventLoop
	store *handoverstore.Store // nil if there is no hand-over directory
	log   *zap.Logger
}

// change applies a change in the loop and waits until it is stored or ctx is done.
func (m *maintenanceModes) change(ctx context.Context, change handover.Change) error {
	type result struct {
		stored <-chan struct{}
		err    error
	}
	results := make(chan result, 1)
	if !m.loop.post(ctx, func() {
		stored, err := m.apply(change)
		results <- result{stored, err}
	}) {
		return ctx.Err()
	}
	var applied result
	select {
	case applied = <-results:
	case <-ctx.Done():
		return ctx.Err()
	}
	if applied.err != nil || applied.stored == nil {
		return applied.err
	}
	select {
	case <-applied.stored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply applies a change to the reducer and records it in the store. The returned channel is closed once the change is
// stored; it is nil without a store.
func (m *maintenanceModes) apply(change handover.Change) (stored <-chan struct{}, err error) {
	if !m.loop.reducer.EverListed(change.Engine) {
		return nil, fmt.Errorf("%w: %s", ErrNotListed, change.Engine)
	}
	if change.Enabled {
		m.loop.apply(broker.StartMaintenance{Engine: change.Engine})
	} else {
		m.loop.apply(broker.EndMaintenance{Engine: change.Engine})
	}
	if m.store == nil {
		return nil, nil
	}
	return m.store.Record(change), nil
}

// AdoptMaintenance implements handoverstore.Adopter.
func (m *maintenanceModes) AdoptMaintenance(ctx context.Context, changes []handover.Change) {
	m.loop.post(ctx, func() { m.adopt(changes) })
}

// adopt applies changes that another process of this broker stored.
func (m *maintenanceModes) adopt(changes []handover.Change) {
	for _, change := range changes {
		m.log.Info("maintenance taken over from another process",
			zap.String("engine", change.Engine), zap.Bool("enabled", change.Enabled))
		if change.Enabled {
			m.loop.apply(broker.RestoreMaintenance{Engines: []string{change.Engine}})
		} else {
			m.loop.apply(broker.EndMaintenance{Engine: change.Engine})
		}
	}
}
