package service

import (
	"context"
	"errors"

	"wheatlane/internal/adminapi"
	"wheatlane/internal/broker"
	"wheatlane/internal/server"
	"wheatlane/internal/server/processstate"
)

// adminCalls implements adminapi.Broker by executing calls on the reducer's goroutine.
type adminCalls struct{ s *Service }

// Ready reports whether the broker is ready to serve.
func (c adminCalls) Ready(ctx context.Context) (ready bool, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ processstate.State) { ready = b.Ready() })
	if !inspected {
		return false, adminapi.ErrBusy
	}
	return ready, nil
}

// Vars appends the metrics of the admin endpoint to buf.
func (c adminCalls) Vars(ctx context.Context, buf []byte) (out []byte, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ processstate.State) {
		out = c.s.recorder.AppendAdminMetrics(buf, b)
	})
	if !inspected {
		return nil, adminapi.ErrBusy
	}
	return out, nil
}

// StartMaintenance puts an engine into maintenance mode.
func (c adminCalls) StartMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.StartMaintenance(ctx, id))
}

// EndMaintenance ends the maintenance mode of an engine.
func (c adminCalls) EndMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.EndMaintenance(ctx, id))
}

// maintenanceError converts an error of the server into one of the admin endpoint. It is adminapi.ErrBusy for a change
// that was not applied in time.
func maintenanceError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, server.ErrNotListed):
		return adminapi.ErrNotListed
	}
	return adminapi.ErrBusy
}
