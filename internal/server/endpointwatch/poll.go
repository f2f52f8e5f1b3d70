package endpointwatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v4"

	"wheatlane/internal/changelog"
	"wheatlane/internal/server/netconn"
)

const (
	// pollTimeout is the time for which the change log is requested to hold a poll. It is short so that an unresponsive
	// change log is detected soon.
	pollTimeout = time.Second
	// minHoldTime is the hold time below which a response without a new revision counts as early.
	minHoldTime    = pollTimeout / 2
	maxHeaderBytes = 64 << 10 // of a response
	maxSendBytes   = 4 << 10
)

// revisionError reports a revision lower than the known one. By the protocol, revisions never decrease.
type revisionError struct{ got, known int64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("change log revision decreased from %d to %d", e.known, e.got)
}

// connection is a connection to the change log.
type connection struct {
	watcher              *Watcher
	addr                 string
	conn                 *netconn.Conn
	earlyResponseBackoff *backoff.ExponentialBackOff // after early responses without a new revision
}

// poll connects and polls on the connection until it ends, and returns the reason.
func (w *Watcher) poll(ctx context.Context, addr string) error {
	socket, err := w.connect(ctx, addr)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	c := &connection{
		watcher: w, addr: addr, earlyResponseBackoff: newPollBackoff(),
		conn: netconn.New(socket, netconn.Options{
			MaxReceiveBytes: w.maxListBytes + maxHeaderBytes, MaxSendBytes: maxSendBytes,
		}),
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

// pollOnce sends a poll and passes its response to the sink.
func (c *connection) pollOnce(ctx context.Context) error {
	sentAt := time.Now()
	if err := c.send(); err != nil {
		return err
	}
	page, closes, err := c.receivePage()
	if err != nil {
		return err
	}
	isNew := page.Revision > c.watcher.revision
	if err := c.delayAfterEarlyResponse(ctx, isNew, sentAt); err != nil {
		return err
	}
	// A page that the sink does not accept leaves the revision unchanged, so that the page is polled again.
	if isNew && c.watcher.sink.EndpointsChanged(ctx, page) {
		c.watcher.revision = page.Revision
	}
	if closes {
		return &netconn.EndError{Reason: netconn.PeerClosed}
	}
	return nil
}

// receivePage reads one response and returns its page. closes reports whether the connection ends after it.
func (c *connection) receivePage() (page changelog.Page, closes bool, err error) {
	response, size, err := c.receive()
	if err != nil {
		return page, false, err
	}
	c.watcher.timeouts.recordResponse()
	page, err = changelog.ParsePage(response.Body)
	c.conn.Received.Discard(size)
	if err == nil && page.Revision < c.watcher.revision {
		err = &revisionError{page.Revision, c.watcher.revision}
	}
	if err != nil {
		return page, false, &netconn.EndError{Reason: netconn.Malformed, Err: err}
	}
	return page, response.Close, nil
}

// send queues a poll and sets the deadline of its response.
func (c *connection) send() error {
	c.watcher.polls.Add(1)
	if _, err := c.conn.Write(changelog.PollRequest(c.addr, c.watcher.revision, pollTimeout)); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(pollTimeout + c.watcher.timeouts.current().grace))
}

// receive reads one response and returns its size in the receive buffer, of which it is a part. Once the response has
// begun, it has a separate deadline: by the protocol, an update in a partially sent response counts as announced.
func (c *connection) receive() (response changelog.Response, size int, err error) {
	begun := false
	for {
		if err := c.conn.ReadOnce(); err != nil {
			return response, 0, receiveError(err, begun)
		}
		response, size, err = changelog.ParseResponse(c.conn.Received.Bytes())
		if size > 0 || err != nil {
			return response, size, err
		}
		c.conn.Received.Reserve(changelog.ResponseLength(c.conn.Received.Bytes()))
		if !begun {
			begun = true
			if err := c.conn.SetReadDeadline(time.Now().Add(c.watcher.timeouts.current().partial)); err != nil {
				return response, 0, err
			}
		}
	}
}

// receiveError returns err, wrapped with its reason if a timeout expired. begun reports whether a part of the response
// was received.
func receiveError(err error, begun bool) error {
	switch {
	case netconn.IsTimeout(err) && begun:
		return &netconn.EndError{Reason: netconn.Stalled, Err: err}
	case netconn.IsTimeout(err):
		return &netconn.EndError{Reason: netconn.PollTimeout, Err: err}
	}
	return err
}

// delayAfterEarlyResponse waits for a backoff if the response arrived early and has no new revision. Without the delay,
// a change log that responds in this way would be polled in a busy loop that saturates a core on both sides.
func (c *connection) delayAfterEarlyResponse(ctx context.Context, isNew bool, sentAt time.Time) error {
	if isNew || time.Since(sentAt) >= minHoldTime {
		c.earlyResponseBackoff.Reset()
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.earlyResponseBackoff.NextBackOff()):
		return nil
	}
}
