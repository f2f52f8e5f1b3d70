// Package client emulates the clients of a broker: a steady, bounded load of requests over the MySQL
// protocol, through the driver that Go programs use, with answers checked against what engines make.
package client

import (
	"context"
	"crypto/md5" // it makes names, not secrets
	"database/sql/driver"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
)

// keySpacing is kept between requests of one order key, as clients keep it after a new connection.
const keySpacing = 250 * time.Millisecond

// Class is a class of requests as clients send it.
type Class struct {
	Engine           engine.Class
	Rate             float64       // requests a second
	LatencyObjective time.Duration // later answers are late
	Timeout          time.Duration // the client stops waiting after it
	OrderKeys        int           // order keys in use; 0: the class keeps no order
}

func (c *Class) orderKey(n int) string {
	sum := md5.Sum(fmt.Appendf(nil, "%s %d", c.Engine.Name, n)) // it makes a name, not a secret
	return fmt.Sprintf("%x", sum[:8])
}

// Config is a load.
type Config struct {
	Addr     string
	Classes  []Class
	Tenants  []string
	DataSets int
	Seed     uint64
	MaxOpen  int // requests at a time; more are not sent, and counted
	Retries  int // of a request that was rejected, after the time that the rejection names
	// OnRequestEnded, if there is one, is called for each attempt as it ends.
	OnRequestEnded func(class string, outcome conformance.Outcome, took time.Duration)
}

// Counts are the outcomes of requests.
type Counts struct {
	Sent, InTime, Late, Rejected, Failed, ClientDisconnected, Unanswered, WrongAnswers, NotSent int

	Slowest time.Duration // of those served
}

// add counts an attempt that was sent.
func (n *Counts) add(outcome conformance.Outcome, took, objective time.Duration) {
	n.Sent++
	switch outcome {
	case conformance.Served:
		if took <= objective {
			n.InTime++
		} else {
			n.Late++
		}
		n.Slowest = max(n.Slowest, took)
	case conformance.Rejected:
		n.Rejected++
	case conformance.Failed:
		n.Failed++
	case conformance.ClientDisconnected:
		n.ClientDisconnected++
	case conformance.Unanswered:
		n.Unanswered++
	case conformance.WrongAnswer:
		n.WrongAnswers++
	}
}

// LoadGenerator sends requests.
type LoadGenerator struct {
	cfg      Config
	checker  *conformance.Checker // nil: none
	keyLocks map[string]*sync.Mutex
	slots    chan struct{} // one is taken for each open request

	mu           sync.Mutex // guards what follows
	rng          *rand.Rand
	idle         []driver.Conn
	counts       map[string]*Counts // by class
	requestCount uint64
}

// New returns a load; checker may be nil.
func New(cfg Config, checker *conformance.Checker) *LoadGenerator {
	l := &LoadGenerator{
		cfg: cfg, checker: checker,
		keyLocks: map[string]*sync.Mutex{},
		slots:    make(chan struct{}, max(1, cfg.MaxOpen)),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		counts:   map[string]*Counts{},
	}
	for _, c := range cfg.Classes {
		l.counts[c.Engine.Name] = &Counts{}
		for k := range c.OrderKeys {
			l.keyLocks[c.orderKey(k)] = &sync.Mutex{}
		}
	}
	return l
}

// TakeCounts returns the outcomes of each class since the last call.
func (l *LoadGenerator) TakeCounts() map[string]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Counts{}
	for name, n := range l.counts {
		out[name] = *n
		*n = Counts{}
	}
	return out
}

// Run sends requests until ctx ends, and waits for those that are open.
func (l *LoadGenerator) Run(ctx context.Context) error {
	var g errgroup.Group
	var open sync.WaitGroup
	for _, c := range l.cfg.Classes {
		g.Go(func() error {
			l.generate(ctx, &c, &open)
			return nil
		})
	}
	err := g.Wait()
	open.Wait()
	l.closeIdle()
	return err
}

// generate starts requests of a class at random times (a Poisson process), each in a goroutine of open that
// ends with its request, until ctx ends.
func (l *LoadGenerator) generate(ctx context.Context, c *Class, open *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.nextGap(c)):
		}
		select {
		case l.slots <- struct{}{}:
		default:
			l.countNotSent(c)
			continue
		}
		open.Go(func() {
			defer func() { <-l.slots }()
			l.runRequest(ctx, c)
		})
	}
}

// nextGap draws the time until the next request of a class.
func (l *LoadGenerator) nextGap(c *Class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.ExpFloat64() / c.Rate * float64(time.Second))
}

func (l *LoadGenerator) countNotSent(c *Class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[c.Engine.Name].NotSent++
}
