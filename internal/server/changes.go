package server

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cenkalti/backoff/v4"

	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
)

const (
	pollTimeout              = time.Second // a poll is answered by then; short, so that a log gone silent is soon noticed
	pollGrace                = 400 * time.Millisecond
	partialPageTimeout       = 400 * time.Millisecond // an answer that has begun is whole by then
	changelogConnectTimeout  = 500 * time.Millisecond
	minPollBackoff           = 20 * time.Millisecond
	maxPollBackoff           = 500 * time.Millisecond
	pollBackoffSpread        = 0.5 // a pause is so much shorter or longer at random
	maxChangelogReceiveBytes = changelog.MaxBody + 64<<10
)

// followChangelog keeps a long poll at the change log. The first try after a loss or a move comes at once; the next ones
// after pauses that grow and are spread at random, as every broker of a fleet loses the same change log at once and
// would otherwise call it again in step.
func (n *Server) followChangelog(ctx context.Context, since int64) error {
	pause, retry := time.Duration(0), newPollBackoff()
	for ctx.Err() == nil {
		at, addr := n.changelogTarget(ctx)
		began, before := time.Now(), since
		err := n.poll(at, addr, &since)
		moved := at.Err() != nil && ctx.Err() == nil
		if moved {
			err = &endError{AddressChanged, err}
		}
		n.ended(ChangelogSide, addr, began, err)
		if moved || since > before || time.Since(began) > pollTimeout {
			pause = 0
			retry.Reset()
		}
		select {
		case <-at.Done():
			pause = 0
			retry.Reset()
		case <-time.After(pause):
			pause = retry.NextBackOff()
		}
	}
	return ctx.Err()
}

// changelogTarget is the address of the change log, with a context that ends when that changes.
func (n *Server) changelogTarget(ctx context.Context) (context.Context, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaveChangelog() // the context before is not needed any more
	ctx, n.leaveChangelog = context.WithCancel(ctx)
	return ctx, n.changelogAddr
}

// poll polls on one connection until that ends, and moves since on.
func (n *Server) poll(ctx context.Context, addr string, since *int64) error {
	nc, err := (&net.Dialer{Timeout: changelogConnectTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return &endError{ConnectFailed, err}
	}
	l := newBufferedConn(nc, 0, maxChangelogReceiveBytes, 4<<10)
	early := newPollBackoff()
	return l.run(ctx, func(ctx context.Context) error {
		for {
			asked := time.Now()
			n.endpointPolls.Add(1)
			if _, err := l.write(changelog.Request(addr, *since, pollTimeout)); err != nil {
				return err
			}
			if err := nc.SetReadDeadline(time.Now().Add(pollTimeout + pollGrace)); err != nil {
				return err
			}
			var r changelog.Response
			for size, begun := 0, false; size == 0; {
				if _, err := l.received.ReadOnce(nc); err != nil {
					switch {
					case isTimeout(err) && begun:
						return &endError{Stalled, err}
					case isTimeout(err):
						return &endError{PollTimeout, err}
					}
					return err
				}
				if r, size, err = changelog.ParseResponse(l.received.Bytes()); err != nil {
					return err
				}
				l.received.Discard(size)
				// Guards against a log that stops in the middle of an event: what it would have told counts as told.
				if size == 0 && !begun {
					begun = true
					if err := nc.SetReadDeadline(time.Now().Add(partialPageTimeout)); err != nil {
						return err
					}
				}
			}
			page, err := changelog.ParsePage(r.Body)
			if err == nil && page.Revision < *since {
				// The picture that is known stays: numbers that go back are none that the protocol gives.
				err = fmt.Errorf("the log is at %d, after %d", page.Revision, *since)
			}
			if err != nil {
				return &endError{Malformed, err}
			}
			if page.Revision == *since && time.Since(asked) < pollTimeout/2 {
				// Guards against a log that answers at once though it has nothing new: asked again on and on, it would
				// take the broker's core and its own.
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(early.NextBackOff()):
				}
			} else {
				early.Reset()
			}
			// Guards against a page that is let go, as the poll ends while the reducer is behind, and never asked for
			// again.
			if page.Revision > *since && n.post(ctx, func() { n.apply(broker.EndpointChanges{Page: page}) }) {
				*since = page.Revision
			}
			if r.Close {
				return &endError{Reason: PeerClosed}
			}
		}
	})
}

// newPollBackoff are those between tries at a change log that does not answer: from firstPause, doubling up to longPause,
// each spread by pauseSpread; they never stop.
func newPollBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minPollBackoff, maxPollBackoff, 2
	b.RandomizationFactor, b.MaxElapsedTime = pollBackoffSpread, 0
	b.Reset()
	return b
}
