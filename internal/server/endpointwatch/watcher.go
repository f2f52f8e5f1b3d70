// Package endpointwatch follows the change log: it long-polls for pages of the endpoint list from the last revision on
// and passes them to a sink. A connection that fails is replaced; polls that fail in a row are spaced by a backoff.
package endpointwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheatlane/internal/changelog"
	"wheatlane/internal/server/netconn"
)

// Sink is notified of what a watcher receives.
type Sink interface {
	// EndpointsChanged passes on a page and reports whether it was taken. It may wait, until ctx ends.
	EndpointsChanged(ctx context.Context, page changelog.Page) bool
	// ConnectionEnded reports the end of a connection, or that it was not established.
	ConnectionEnded(addr string, openedAt time.Time, err error)
}

// Config is where a watcher begins.
type Config struct {
	Addr     string // of the change log
	Revision int64  // of the endpoint list that the sink has
}

// Watcher follows a change log.
type Watcher struct {
	sink  Sink
	polls atomic.Uint64

	// Owned by the goroutine of Run.
	revision int64 // of the last page that the sink took
	timeouts adaptiveTimeouts

	mu          sync.Mutex // guards what follows
	addr        string
	leaveTarget func() // ends the connection to the address in use
}

// New returns a watcher. It does not poll before Run.
func New(cfg Config, sink Sink) *Watcher {
	return &Watcher{sink: sink, revision: cfg.Revision, addr: cfg.Addr, leaveTarget: func() {}}
}

// Polls returns the number of polls that were sent. Any goroutine may call it.
func (w *Watcher) Polls() uint64 { return w.polls.Load() }

// SetAddr sets the address of the change log. A poll at another one ends at once. Any goroutine may call it.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr != addr {
		w.addr = addr
		w.leaveTarget()
	}
}

// Run polls until ctx ends. The first poll after a loss or a change of address comes at once, the next ones with
// backoff.
func (w *Watcher) Run(ctx context.Context) error {
	pause, retry := time.Duration(0), newPollBackoff()
	for ctx.Err() == nil {
		target, addr := w.target(ctx)
		openedAt, revisionBefore := time.Now(), w.revision
		err := w.poll(target, addr)
		addrChanged := target.Err() != nil && ctx.Err() == nil
		if addrChanged {
			err = &netconn.EndError{Reason: netconn.AddressChanged, Err: err}
		}
		if isTooSlow(err) {
			w.timeouts.exceeded()
		}
		w.sink.ConnectionEnded(addr, openedAt, err)
		if addrChanged || w.revision > revisionBefore || time.Since(openedAt) > pollTimeout {
			pause = 0
			retry.Reset()
		}
		select {
		case <-target.Done():
			pause = 0
			retry.Reset()
		case <-time.After(pause):
			pause = retry.NextBackOff()
		}
	}
	return ctx.Err()
}

// target returns the address of the change log, and a context that ends when that changes.
func (w *Watcher) target(ctx context.Context) (target context.Context, addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaveTarget() // the context before is not needed any more
	target, w.leaveTarget = context.WithCancel(ctx)
	return target, w.addr
}

// isTooSlow reports whether a connection ended because something took longer than its timeout.
func isTooSlow(err error) bool {
	if reason := netconn.ReasonOf(err); reason != netconn.ConnectFailed {
		return reason == netconn.PollTimeout || reason == netconn.Stalled
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
