package service

import (
	"context"
	"errors"

	"wheatlane/internal/adminapi"
	"wheatlane/internal/broker"
	"wheatlane/internal/server"
	"wheatlane/internal/server/netconn"
)

// adminCalls carries out the calls at the admin endpoint, on the reducer's goroutine.
type adminCalls struct{ s *Service }

func (c adminCalls) Ready(ctx context.Context) (ready bool, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ netconn.ConnectionCounts) { ready = b.Ready() })
	if !inspected {
		return false, adminapi.ErrBusy
	}
	return ready, nil
}

func (c adminCalls) Vars(ctx context.Context, to []byte) (out []byte, err error) {
	inspected := c.s.Server.Inspect(ctx, func(b *broker.Broker, _ netconn.ConnectionCounts) {
		out = c.s.recorder.AppendAdminMetrics(to, b)
	})
	if !inspected {
		return nil, adminapi.ErrBusy
	}
	return out, nil
}

func (c adminCalls) StartMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.StartMaintenance(ctx, id))
}

func (c adminCalls) EndMaintenance(ctx context.Context, id string) error {
	return maintenanceError(c.s.Server.EndMaintenance(ctx, id))
}

// maintenanceError translates an error of the server into one of the admin endpoint: what was not applied in
// time is ErrBusy.
func maintenanceError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, server.ErrNotListed):
		return adminapi.ErrNotListed
	}
	return adminapi.ErrBusy
}
