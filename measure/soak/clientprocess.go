package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/pacing"
)

const (
	maxSessions    = 48                     // concurrent sessions of one client process
	keyInterval    = 300 * time.Millisecond // between requests of one order key
	keysPerProcess = 3
	clientStream   = 3 // of the seed's random numbers
	// clientSeedsPerRun is the number of seeds for the client processes of one run.
	clientSeedsPerRun = 100
)

// clientProcess runs the client sessions of one process.
type clientProcess struct {
	brokers []string
	prefix  uint32 // of the request ids
	events  *eventWriter
	// timeouts are those of requests, in the order of engineClasses.
	timeouts []time.Duration

	source   *pacing.Source
	keys     *pacing.KeyPacer
	requests atomic.Uint32
}

// runClients starts client sessions at random brokers, at a mean rate in sessions a second, until ctx ends.
func runClients(ctx context.Context, brokers []string, seed uint64, rate float64) error {
	c := &clientProcess{
		brokers: brokers,
		prefix:  uint32(seed),
		// The seed of a client process is that of the run, followed by two digits.
		timeouts: deploymentOf(seed / clientSeedsPerRun).timeouts,
		events:   newEventWriter(os.Stdout),
		source:   pacing.NewSource(seed, clientStream),
		keys:     pacing.NewKeyPacer(keysPerProcess, keyInterval),
	}
	maxInterval := time.Duration(2 / rate * float64(time.Second)) // twice the mean
	var g errgroup.Group
	g.SetLimit(maxSessions)
	for ctx.Err() == nil {
		g.Go(func() error {
			behaviors[c.source.IntN(len(behaviors))](c, ctx, c.brokers[c.source.IntN(len(c.brokers))])
			return nil
		})
		pacing.Pause(ctx, c.source.Duration(maxInterval))
	}
	return g.Wait()
}
