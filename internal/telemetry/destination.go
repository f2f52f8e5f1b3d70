package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/delivery"
)

// eventBuffer is how many events may wait for a destination. Beyond that the reporter waits, and no request
// does.
const eventBuffer = 8

// message is what the reporter hands to a destination.
type message struct {
	event   delivery.Event
	address string // the new one, of delivery.AddressChanged
}

// destination carries out the decisions of a delivery.Machine. One goroutine owns the machine, and each
// connection has a goroutine of its own; all end with the context that run was given.
type destination struct {
	plan  plan // as last configured; the reporter's goroutine owns it
	stats atomic.Pointer[delivery.Stats]
	log   *zap.Logger

	inbox            chan message
	connectionEvents chan delivery.Event

	// The rest belongs to the goroutine of loop.

	machine   *delivery.Machine
	transport transport
	address   string
	startedAt time.Time
	group     *errgroup.Group
	// The one connection that there is at a time.
	closeConnection context.CancelFunc
	writes          chan delivery.Write
}

func newDestination(configured plan, seed uint64, log *zap.Logger) *destination {
	d := &destination{
		plan:             configured,
		log:              log.With(zap.String("destination", configured.name)),
		inbox:            make(chan message, eventBuffer),
		connectionEvents: make(chan delivery.Event, eventBuffer),
		machine:          delivery.New(configured.delivery, seed),
		transport:        configured.transport,
		address:          configured.address,
		startedAt:        time.Now(),
	}
	d.stats.Store(&delivery.Stats{})
	return d
}

// send hands a message to the destination's goroutine.
func (d *destination) send(ctx context.Context, msg message) {
	select {
	case d.inbox <- msg:
	case <-ctx.Done():
	}
}

// run carries out what the machine decides until that has stopped.
func (d *destination) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.group, ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		defer cancel()
		return d.loop(ctx)
	})
	err := d.group.Wait()
	stats := d.stats.Load()
	d.log.Info("destination ended",
		zap.Uint64("delivered", stats.DeliveredIntervals),
		zap.Uint64("lost", stats.LostIntervals),
		zap.Float64("lost_samples", stats.LostSamples),
		zap.Uint64("breaks", stats.ConnectionFailures))
	if ctx.Err() != nil {
		return nil // its context was cancelled, or its machine has stopped
	}
	return err
}

// now is the machine's time.
func (d *destination) now() time.Duration { return time.Since(d.startedAt) }

func (d *destination) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var actions []delivery.Action
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-d.inbox:
			if _, moved := msg.event.(delivery.AddressChanged); moved {
				d.address = msg.address
			}
			actions = d.machine.Apply(d.now(), msg.event)
		case event := <-d.connectionEvents:
			actions = d.machine.Apply(d.now(), event)
		case <-timer.C:
			actions = d.machine.Tick(d.now())
		}
		stopped := false
		for _, action := range actions {
			stopped = d.perform(ctx, action) || stopped
		}
		stats := d.machine.Stats()
		d.stats.Store(&stats)
		if stopped {
			return nil
		}
		if at, ok := d.machine.NextDeadline(); ok {
			timer.Reset(max(0, at-d.now()))
		} else {
			timer.Stop()
		}
	}
}

// perform carries out an action and reports whether it was the last.
func (d *destination) perform(ctx context.Context, action delivery.Action) (stopped bool) {
	switch a := action.(type) {
	case delivery.Connect:
		d.connect(ctx, a.Conn)
	case delivery.Write:
		d.writes <- a // never blocks: the machine starts a write only when the one before has ended
	case delivery.Close:
		d.closeConnection()
	case delivery.Stopped:
		return true
	}
	return false
}
