package endpointwatch

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cenkalti/backoff/v4"

	"wheatlane/internal/changelog"
	"wheatlane/internal/server/netconn"
)

const (
	// pollTimeout is how long the change log is asked to hold a poll. It is short, so that a silent change log is soon
	// noticed.
	pollTimeout = time.Second
	// minHoldTime is the time before which an answer with nothing new is early.
	minHoldTime     = pollTimeout / 2
	maxReceiveBytes = changelog.MaxBody + 64<<10 // a page and the header of its response
	maxSendBytes    = 4 << 10
)

// revisionError is the error of a change log whose revisions go back, which the protocol excludes.
type revisionError struct{ got, known int64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("the log is at %d, after %d", e.got, e.known)
}

// connection is a connection to the change log.
type connection struct {
	watcher    *Watcher
	addr       string
	conn       *netconn.Conn
	emptyPause *backoff.ExponentialBackOff // between polls that are answered early with nothing new
}

// poll polls on one connection until that ends, and returns why.
func (w *Watcher) poll(ctx context.Context, addr string) error {
	socket, err := (&net.Dialer{Timeout: w.timeouts.current().connect}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	c := &connection{
		watcher: w, addr: addr, emptyPause: newPollBackoff(),
		conn: netconn.New(socket, netconn.Options{MaxReceiveBytes: maxReceiveBytes, MaxSendBytes: maxSendBytes}),
	}
	return c.conn.Run(ctx, c.run)
}

func (c *connection) run(ctx context.Context) error {
	for {
		if err := c.pollOnce(ctx); err != nil {
			return err
		}
	}
}

// pollOnce sends a poll and passes its answer on.
func (c *connection) pollOnce(ctx context.Context) error {
	sentAt := time.Now()
	if err := c.send(); err != nil {
		return err
	}
	response, err := c.receive()
	if err != nil {
		return err
	}
	c.watcher.timeouts.answered()
	page, err := changelog.ParsePage(response.Body)
	if err == nil && page.Revision < c.watcher.revision {
		err = &revisionError{page.Revision, c.watcher.revision}
	}
	if err != nil {
		return &netconn.EndError{Reason: netconn.Malformed, Err: err}
	}
	isNew := page.Revision > c.watcher.revision
	if err := c.pace(ctx, isNew, sentAt); err != nil {
		return err
	}
	// A page that the sink does not take leaves the revision as it is, so that it is polled again.
	if isNew && c.watcher.sink.EndpointsChanged(ctx, page) {
		c.watcher.revision = page.Revision
	}
	if response.Close {
		return &netconn.EndError{Reason: netconn.PeerClosed}
	}
	return nil
}

// send queues a poll and sets the deadline of its answer.
func (c *connection) send() error {
	c.watcher.polls.Add(1)
	if _, err := c.conn.Write(changelog.PollRequest(c.addr, c.watcher.revision, pollTimeout)); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(pollTimeout + c.watcher.timeouts.current().grace))
}

// receive reads one response. Once it has begun it has a deadline of its own: an update in an answer that stops in the
// middle counts as announced.
func (c *connection) receive() (changelog.Response, error) {
	begun := false
	for {
		if err := c.conn.ReadOnce(); err != nil {
			return changelog.Response{}, receiveError(err, begun)
		}
		response, size, err := changelog.ParseResponse(c.conn.Received.Bytes())
		if err != nil {
			return changelog.Response{}, err
		}
		if size > 0 {
			c.conn.Received.Discard(size)
			return response, nil
		}
		if !begun {
			begun = true
			if err := c.conn.SetReadDeadline(time.Now().Add(c.watcher.timeouts.current().partial)); err != nil {
				return changelog.Response{}, err
			}
		}
	}
}

// receiveError returns the reason of a failed read of a response.
func receiveError(err error, begun bool) error {
	switch {
	case netconn.IsTimeout(err) && begun:
		return &netconn.EndError{Reason: netconn.Stalled, Err: err}
	case netconn.IsTimeout(err):
		return &netconn.EndError{Reason: netconn.PollTimeout, Err: err}
	}
	return err
}

// pace waits after an answer that came early with nothing new. Without it, a change log that answers so would be polled
// in a busy loop that saturates a core on both sides.
func (c *connection) pace(ctx context.Context, isNew bool, sentAt time.Time) error {
	if isNew || time.Since(sentAt) >= minHoldTime {
		c.emptyPause.Reset()
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.emptyPause.NextBackOff()):
		return nil
	}
}
