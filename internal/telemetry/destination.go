package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/delivery"
)

// eventBuffer is the number of events that may wait for a destination. If more arrive, the reporter blocks, which does
// not delay requests.
const eventBuffer = 8

// message is an event that the reporter sends to a destination.
type message struct {
	event   delivery.Event
	address string // new address, for delivery.AddressChanged only
}

// destination performs the actions of a delivery.Machine. One goroutine owns the machine, and each connection has its
// own goroutine. All of them end with the context passed to run.
type destination struct {
	config destinationConfig // owned by the reporter's goroutine
	stats  atomic.Pointer[delivery.Stats]
	log    *zap.Logger

	inbox            chan message
	connectionEvents chan delivery.Event

	// The fields below are owned by the goroutine that runs loop.

	machine   *delivery.Machine
	transport transport
	address   string
	startedAt time.Time
	group     *errgroup.Group
	// State of the current connection; there is at most one.
	closeConnection context.CancelFunc
	writes          chan delivery.Write
}

func newDestination(config destinationConfig, seed uint64, log *zap.Logger) *destination {
	d := &destination{
		config:           config,
		log:              log.With(zap.String("destination", config.name)),
		inbox:            make(chan message, eventBuffer),
		connectionEvents: make(chan delivery.Event, eventBuffer),
		machine:          delivery.New(config.delivery, seed),
		transport:        config.transport,
		address:          config.address,
		startedAt:        time.Now(),
	}
	d.stats.Store(&delivery.Stats{})
	return d
}

// send sends a message to the destination's goroutine. It blocks while eventBuffer messages wait and ctx is not done.
func (d *destination) send(ctx context.Context, msg message) {
	select {
	case d.inbox <- msg:
	case <-ctx.Done():
	}
}

// run performs the machine's actions until the machine has stopped or ctx is done.
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
		return nil // ctx was cancelled or the machine has stopped
	}
	return err
}

// now returns the machine's time.
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

// perform performs an action and reports whether it was the last one.
func (d *destination) perform(ctx context.Context, action delivery.Action) (stopped bool) {
	switch a := action.(type) {
	case delivery.Connect:
		d.connect(ctx, a.Conn)
	case delivery.Write:
		d.writes <- a // never blocks: the machine starts a write only after the previous one has ended
	case delivery.Close:
		d.closeConnection()
	case delivery.Stopped:
		return true
	}
	return false
}
