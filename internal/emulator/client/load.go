// Package client emulates the clients of a broker: a load generator sends requests at a constant mean rate, with a
// limit on open requests, through the MySQL driver that Go programs use, and compares the answers with the results
// that engines generate.
package client

import (
	"context"
	"crypto/md5" // for names of keys, not for security
	"database/sql/driver"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
)

// keySpacing is the pause between requests of one order key, as clients make it after a new connection.
const keySpacing = 250 * time.Millisecond

// Class specifies the requests of one class.
type Class struct {
	Engine           engine.Class
	Rate             float64       // mean number of requests a second
	LatencyObjective time.Duration // answers after it are late
	Timeout          time.Duration // the client disconnects after it
	OrderKeys        int           // number of order keys; 0 for a class without order
}

func (c *Class) orderKey(n int) string {
	sum := md5.Sum(fmt.Appendf(nil, "%s %d", c.Engine.Name, n)) // for a name, not for security
	return fmt.Sprintf("%x", sum[:8])
}

// Config configures a LoadGenerator.
type Config struct {
	Addr     string
	Classes  []Class
	Tenants  []string
	DataSets int
	Seed     uint64
	MaxOpen  int // maximum number of open requests; further ones are counted as not sent
	Retries  int // maximum retries of a rejected request, each after the time that the rejection specifies
	// OnRequestEnded is called at the end of each attempt, unless it is nil.
	OnRequestEnded func(class string, outcome conformance.Outcome, took time.Duration)
}

// Counts holds the number of attempts by outcome. An attempt is one send of a request by its client.
type Counts struct {
	Sent, InTime, Late, Rejected, Failed, ClientDisconnected, Unanswered, WrongAnswers, NotSent int

	Slowest time.Duration // longest time to the answer of a served attempt
}

// add counts an attempt.
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

// LoadGenerator sends requests to a broker. TakeCounts may be called while it runs.
type LoadGenerator struct {
	cfg      Config
	checker  *conformance.Checker   // nil for none
	keyLocks map[string]*sync.Mutex // by order key
	slots    chan struct{}          // holds one element for each open request

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	idle         []driver.Conn
	counts       map[string]*Counts // by class
	requestCount uint64
}

// New returns a load generator. checker may be nil.
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

// TakeCounts returns the counts by class since the last call, and resets them.
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

// Run sends requests until ctx is done, and then waits for the open ones.
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

// generate starts requests of a class as a Poisson process until ctx is done. Each runs in a goroutine of open.
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

// nextGap returns a random time until the next request of a class.
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
