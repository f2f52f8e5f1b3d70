package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
)

const (
	mailSize    = 8 // events of the reporter's; it waits at more, and nothing that serves requests waits for it
	dialTimeout = 2 * time.Second
	leastPause  = 200 * time.Millisecond
	mostPause   = 15 * time.Second
	// stopWait is how long what is left may take to leave at the end; what has not is counted lost.
	stopWait = 300 * time.Millisecond
)

// transport brings up connections to one collector.
type transport interface {
	open(ctx context.Context, address string) (session, error)
}

// session is a connection to a collector.
type session interface {
	// write writes an interval from a record on, and calls progress as records are taken. It returns how many
	// records in all are out when it fails; it fails once ctx ends.
	write(ctx context.Context, v *metrics.Interval, from int, progress func(records int)) (records int, err error)
	// ended is closed when the other side ends the connection.
	ended() <-chan struct{}
	close()
}

// plan is what a destination is set up as.
type plan struct {
	name, address string
	cfg           delivery.Config
	transport     transport
	form          any // what the transport is made of, to compare
}

// destination carries out what its machine decides. One goroutine owns the machine; each connection has one.
type destination struct {
	plan  plan // of the reporter's goroutine, as of the last change
	mail  chan any
	back  chan delivery.Event
	stats atomic.Pointer[delivery.Stats]
	log   *zap.Logger

	m       *delivery.Machine
	address string
	began   time.Time
	group   *errgroup.Group
	cancel  context.CancelFunc  // of the connection; there is one at a time
	jobs    chan delivery.Write // for it
}

// move is a new address.
type move struct{ address string }

func newDestination(p plan, seed uint64, log *zap.Logger) *destination {
	d := &destination{plan: p, mail: make(chan any, mailSize), back: make(chan delivery.Event, mailSize),
		log: log.With(zap.String("destination", p.name)), m: delivery.New(p.cfg, seed), address: p.address, began: time.Now()}
	d.stats.Store(&delivery.Stats{})
	return d
}

// tell hands an event to the destination's goroutine.
func (d *destination) tell(ctx context.Context, ev any) {
	select {
	case d.mail <- ev:
	case <-ctx.Done():
	}
}

// run carries out what the machine decides until that is done.
func (d *destination) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.group, ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error {
		defer cancel()
		return d.loop(ctx)
	})
	err := d.group.Wait()
	st := *d.stats.Load()
	d.log.Info("destination ended", zap.Uint64("delivered", st.Delivered), zap.Uint64("lost", st.Lost),
		zap.Float64("lost_samples", st.LostSamples), zap.Uint64("breaks", st.Breaks))
	if ctx.Err() != nil {
		return nil // it was told to end, or came to its end
	}
	return err
}

func (d *destination) now() time.Duration { return time.Since(d.began) }

func (d *destination) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var actions []delivery.Action
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-d.mail:
			switch ev := ev.(type) {
			case move:
				d.address = ev.address
				actions = d.m.Apply(d.now(), delivery.Move{})
			case delivery.Event:
				actions = d.m.Apply(d.now(), ev)
			}
		case ev := <-d.back:
			actions = d.m.Apply(d.now(), ev)
		case <-timer.C:
			actions = d.m.Tick(d.now())
		}
		done := false
		for _, a := range actions {
			done = d.do(ctx, a) || done
		}
		st := d.m.Stats()
		d.stats.Store(&st)
		if done {
			return nil
		}
		if at, ok := d.m.Next(); ok {
			timer.Reset(max(0, at-d.now()))
		} else {
			timer.Stop()
		}
	}
}

// do carries out an action; true if it was the last.
func (d *destination) do(ctx context.Context, a delivery.Action) bool {
	switch a := a.(type) {
	case delivery.Open:
		at, cancel := context.WithCancel(ctx)
		d.cancel, d.jobs = cancel, make(chan delivery.Write, 1)
		address, jobs := d.address, d.jobs
		d.group.Go(func() error {
			defer cancel()
			d.connection(ctx, at, a.Conn, address, jobs)
			return nil
		})
	case delivery.Write:
		d.jobs <- a // there is room: the machine waits for the end of one before it begins another
	case delivery.Close:
		d.cancel()
	case delivery.Done:
		return true
	}
	return false
}

// connection connects and writes what it is given until at ends. ctx is the destination's.
func (d *destination) connection(ctx, at context.Context, conn int, address string, jobs <-chan delivery.Write) {
	records := 0
	began := time.Now()
	err := func() error {
		dial, cancel := context.WithTimeout(at, dialTimeout)
		s, err := d.plan.transport.open(dial, address)
		cancel()
		if err != nil {
			return err
		}
		defer s.close()
		d.report(ctx, delivery.Opened{Conn: conn})
		for {
			select {
			case <-at.Done():
				return at.Err()
			case <-s.ended():
				return errPeerClosed
			case w := <-jobs:
				records = w.From
				n, err := s.write(at, w.Interval, w.From, func(n int) { d.report(ctx, delivery.Progress{Conn: conn, Lines: n}) })
				if err != nil {
					records = n
					return err
				}
				d.report(ctx, delivery.Wrote{Conn: conn})
			}
		}
	}()
	d.log.Info("collector connection ended", zap.String("address", address), zap.Duration("lasted", time.Since(began)), zap.Error(err))
	d.report(ctx, delivery.Broken{Conn: conn, Lines: records})
}

func (d *destination) report(ctx context.Context, ev delivery.Event) {
	select {
	case d.back <- ev:
	case <-ctx.Done():
	}
}
