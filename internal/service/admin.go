package service

import (
	"context"

	"wheatlane/internal/adminapi"
	"wheatlane/internal/broker"
	"wheatlane/internal/server"
)

// adminCalls carries out the calls at the admin endpoint, on the reducer's goroutine.
type adminCalls struct{ s *Service }

func (c adminCalls) Ready(ctx context.Context) (ready bool, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ server.ConnectionCounts) { ready = b.Ready() })
	if !inspected {
		return false, adminapi.ErrBusy
	}
	return ready, nil
}

func (c adminCalls) Vars(ctx context.Context, to []byte) (out []byte, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ server.ConnectionCounts) {
		out = c.s.recorder.RelayFigures(to, b)
	})
	if !inspected {
		return nil, adminapi.ErrBusy
	}
	return out, nil
}

func (c adminCalls) StartMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.SetMaintenance(ctx, id, true))
}

func (c adminCalls) EndMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.SetMaintenance(ctx, id, false))
}

// maintenanceError is the error of a change of an engine's maintenance mode, or nil.
func maintenanceError(listed, done bool) error {
	switch {
	case !done:
		return adminapi.ErrBusy
	case !listed:
		return adminapi.ErrNotListed
	}
	return nil
}
