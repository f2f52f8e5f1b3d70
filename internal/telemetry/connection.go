package telemetry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
)

const dialTimeout = 2 * time.Second

var errPeerClosed = errors.New("the collector closed the connection")

// transport opens connections to one kind of collector.
type transport interface {
	open(ctx context.Context, address string) (session, error)
}

// session is a connection to a collector.
type session interface {
	// write writes an interval, starting at record from. It calls progress with the total number of records sent
	// whenever that number increases. On an error it returns that number. It fails when ctx is done.
	write(ctx context.Context, v *metrics.Interval, from int, progress func(records int)) (int, error)
	// peerClosed returns a channel that is closed when the collector closes the connection, or nil if the
	// transport can't detect that.
	peerClosed() <-chan struct{}
	close()
}

// connection holds the state of one connection. It is owned by the connection's goroutine.
type connection struct {
	number      int
	address     string
	transport   transport
	writes      <-chan delivery.Write
	notify      func(delivery.Event)
	recordsSent int // records sent of the interval being written
}

// connect starts the goroutine of a connection, which ends when ctx is done or closeConnection is called.
func (d *destination) connect(ctx context.Context, number int) {
	connectionCtx, cancel := context.WithCancel(ctx)
	d.closeConnection = cancel
	d.writes = make(chan delivery.Write, 1)
	conn := &connection{
		number:    number,
		address:   d.address,
		transport: d.transport,
		writes:    d.writes,
		// Uses ctx, as connectionCtx is done when Disconnected is sent.
		notify: func(event delivery.Event) { d.notify(ctx, event) },
	}
	d.group.Go(func() error {
		defer cancel()
		startedAt := time.Now()
		err := conn.serve(connectionCtx)
		d.log.Info("collector connection ended", zap.String("address", conn.address),
			zap.Duration("lasted", time.Since(startedAt)), zap.Error(err))
		conn.notify(delivery.Disconnected{Conn: number, Records: conn.recordsSent})
		return nil
	})
}

// notify sends an event of a connection to the destination's goroutine.
func (d *destination) notify(ctx context.Context, event delivery.Event) {
	select {
	case d.connectionEvents <- event:
	case <-ctx.Done():
	}
}

// serve connects to the collector and performs writes until ctx is done or the connection fails.
func (c *connection) serve(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	collector, err := c.transport.open(dialCtx, c.address)
	cancel()
	if err != nil {
		return err
	}
	defer collector.close()
	c.notify(delivery.Connected{Conn: c.number})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-collector.peerClosed():
			return errPeerClosed
		case write := <-c.writes:
			if err := c.write(ctx, collector, write); err != nil {
				return err
			}
		}
	}
}

func (c *connection) write(ctx context.Context, collector session, write delivery.Write) error {
	c.recordsSent = write.FirstRecord
	progress := func(records int) { c.notify(delivery.Progress{Conn: c.number, Records: records}) }
	records, err := collector.write(ctx, write.Interval, write.FirstRecord, progress)
	if err != nil {
		c.recordsSent = records
		return err
	}
	c.notify(delivery.WriteCompleted{Conn: c.number})
	return nil
}
