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

// ErrNotListed is the error of maintenance of an engine that was never in the endpoint list.
var ErrNotListed = errors.New("server: the engine was never listed")

// StartMaintenance puts an engine into maintenance mode and returns once that is in force and stored for the next
// process. The error is ErrNotListed, or that of ctx if it ended before: the change may be in force then,
// and is stored as soon as it can be.
func (s *Server) StartMaintenance(ctx context.Context, id string) error {
	return s.maintenance.change(ctx, handover.Change{Engine: id, Enabled: true})
}

// EndMaintenance ends the maintenance mode of an engine; its errors are those of StartMaintenance.
func (s *Server) EndMaintenance(ctx context.Context, id string) error {
	return s.maintenance.change(ctx, handover.Change{Engine: id})
}

// maintenanceModes changes which engines are in maintenance mode. Any goroutine may use it.
type maintenanceModes struct {
	loop  *eventLoop
	store *handoverstore.Store // nil: nothing is handed over
	log   *zap.Logger
}

// change applies a change in the loop and waits until it is stored.
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

// apply does change's part in the loop. The channel is closed once the change is stored; it is nil where nothing is
// handed over.
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

// adopt applies changes of another process of this broker, in the loop.
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
