package endpointwatch

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"wheatlane/internal/server/netconn"
)

const (
	// dialTimeout is the time for which one attempt to connect is kept. The system sends a lost SYN again after 1 s.
	dialTimeout = 1250 * time.Millisecond
	// nextDialDelay is the time after which the next attempt starts beside those that are pending. An attempt that comes
	// up needs far less, and after an outage the change log must be noticed well within the time that drains may take.
	nextDialDelay = 250 * time.Millisecond
	// nextDialJitter is the fraction by which nextDialDelay is randomly extended at most.
	nextDialJitter = 0.2
)

// dialResult is the result of one attempt to connect.
type dialResult struct {
	socket    net.Conn
	startedAt time.Time
	err       error
}

// dialer connects to the change log by overlapping attempts, similar to RFC 8305: while one is pending, others are
// started, and the first one that comes up is used. Attempts that fail at once are delayed by a backoff instead.
type dialer struct {
	watcher *Watcher
	addr    string
	results chan dialResult
	pending int // attempts that have neither come up nor failed
}

// connect returns a connection to the change log. It tries until ctx ends.
func (w *Watcher) connect(ctx context.Context, addr string) (net.Conn, error) {
	attempts, cancel := context.WithCancel(ctx)
	d := &dialer{watcher: w, addr: addr, results: make(chan dialResult)}
	defer func() {
		cancel()
		go d.closeLate(d.pending)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-next.C:
			d.start(attempts)
			next.Reset(jittered(nextDialDelay))
		case result := <-d.results:
			d.pending--
			if result.err == nil {
				return result.socket, nil
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if d.attemptFailed(result) {
				next.Reset(w.retry.NextBackOff())
			}
		}
	}
}

// start starts an attempt.
func (d *dialer) start(ctx context.Context) {
	d.pending++
	go func() {
		startedAt := time.Now()
		socket, err := d.watcher.dial(ctx, "tcp", d.addr)
		d.results <- dialResult{socket: socket, startedAt: startedAt, err: err}
	}()
}

// attemptFailed reports a failed attempt, and reports whether it was refused rather than unanswered: the next attempt
// follows after a backoff then.
func (d *dialer) attemptFailed(result dialResult) (refused bool) {
	err := &netconn.EndError{Reason: netconn.ConnectFailed, Err: result.err}
	d.watcher.sink.ConnectionEnded(d.addr, result.startedAt, err)
	if exceededTimeout(err) {
		d.watcher.timeouts.recordTimeout()
		return false
	}
	return true
}

// closeLate closes the connections of attempts that come up although they are no longer needed.
func (d *dialer) closeLate(pending int) {
	for range pending {
		if result := <-d.results; result.err == nil {
			_ = result.socket.Close() // nothing was sent on it
		}
	}
}

// jittered returns a delay that is randomly extended: brokers that lose the change log at the same time do not try
// again in lockstep.
func jittered(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 + nextDialJitter*rand.Float64()))
}
