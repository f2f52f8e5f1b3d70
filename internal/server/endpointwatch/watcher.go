// Package endpointwatch follows the change log: it long-polls for pages of the endpoint list, starting at the last
// revision, and passes them to a sink. A failed connection is replaced; consecutive failures are delayed by a backoff.
package endpointwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v4"

	"wheatlane/internal/changelog"
	"wheatlane/internal/server/netconn"
)

// Sink receives the pages and the connection ends of a watcher.
type Sink interface {
	// EndpointsChanged receives a page and reports whether it was accepted. It may block until ctx ends.
	EndpointsChanged(ctx context.Context, page changelog.Page) bool
	// ConnectionEnded is called when a connection has ended or could not be established.
	ConnectionEnded(addr string, openedAt time.Time, err error)
}

// Config configures the start of a watcher.
type Config struct {
	Addr     string // address of the change log
	Revision int64  // revision of the endpoint list that the sink already has
	// MaxListBytes is the maximum size of a page; 0: changelog.MaxBody.
	MaxListBytes int
}

// Watcher follows a change log.
type Watcher struct {
	sink         Sink
	maxListBytes int
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	polls        atomic.Uint64

	// Owned by the goroutine of Run.
	revision int64 // of the last page that the sink accepted
	timeouts adaptiveTimeouts
	retry    *backoff.ExponentialBackOff // after failures without progress

	mu           sync.Mutex // guards the fields below
	addr         string
	cancelTarget func() // ends the connection to the current address
}

// New returns a watcher, which polls while Run runs.
func New(cfg Config, sink Sink) *Watcher {
	maxListBytes := cfg.MaxListBytes
	if maxListBytes == 0 {
		maxListBytes = changelog.MaxBody
	}
	return &Watcher{
		sink: sink, revision: cfg.Revision, addr: cfg.Addr, maxListBytes: maxListBytes, cancelTarget: func() {},
		retry: newPollBackoff(), dial: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
}

// Polls returns the number of polls since the start. Any goroutine may call it.
func (w *Watcher) Polls() uint64 { return w.polls.Load() }

// SetAddr sets the address of the change log. A poll to a different address ends immediately. Any goroutine may call
// it.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr != addr {
		w.addr = addr
		w.cancelTarget()
	}
}

// Run polls until ctx ends. The first poll after the end of a connection or a change of address is sent
// immediately, later ones with backoff.
func (w *Watcher) Run(ctx context.Context) error {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		target, addr := w.target(ctx)
		openedAt, revisionBefore := time.Now(), w.revision
		err := w.poll(target, addr)
		addrChanged := target.Err() != nil && ctx.Err() == nil
		if addrChanged {
			err = &netconn.EndError{Reason: netconn.AddressChanged, Err: err}
		}
		if exceededTimeout(err) {
			w.timeouts.recordTimeout()
		}
		w.sink.ConnectionEnded(addr, openedAt, err)
		if addrChanged || w.revision > revisionBefore || time.Since(openedAt) > pollTimeout {
			delay = 0
			w.retry.Reset()
		}
		select {
		case <-target.Done():
			delay = 0
			w.retry.Reset()
		case <-time.After(delay):
			delay = w.retry.NextBackOff()
		}
	}
	return ctx.Err()
}

// target returns the address of the change log, and a context that ends when the address changes.
func (w *Watcher) target(ctx context.Context) (target context.Context, addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelTarget() // releases the previous context
	target, w.cancelTarget = context.WithCancel(ctx)
	return target, w.addr
}

// exceededTimeout reports whether a connection ended because one of its timeouts expired.
func exceededTimeout(err error) bool {
	if reason := netconn.ReasonOf(err); reason != netconn.ConnectFailed {
		return reason == netconn.PollTimeout || reason == netconn.Stalled
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
