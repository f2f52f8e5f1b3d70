package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"wheatlane/internal/server/netconn"

	"github.com/cenkalti/backoff/v4"
)

const (
	minPollBackoff    = 20 * time.Millisecond
	maxPollBackoff    = 500 * time.Millisecond
	pollBackoffSpread = 0.5 // a pause is up to so much shorter or longer at random
)

// followChangelog long-polls the change log from a revision on, until ctx ends. The first poll after a loss
// or a change of address comes at once; the next ones after pauses that grow and are spread at random, as
// every broker of a fleet loses the same change log at once and would otherwise poll it again in step.
func (s *Server) followChangelog(ctx context.Context, revision int64) error {
	pause, retry := time.Duration(0), newPollBackoff()
	var waits pollWaits
	for ctx.Err() == nil {
		target, addr := s.changelogTarget(ctx)
		openedAt, before := time.Now(), revision
		err := s.poll(target, addr, &revision, &waits)
		addressChanged := target.Err() != nil && ctx.Err() == nil
		if addressChanged {
			err = &netconn.EndError{Reason: netconn.AddressChanged, Err: err}
		}
		if lostToWait(err) {
			waits.lost()
		}
		s.connectionEnded(netconn.ChangelogSide, addr, openedAt, err)
		if addressChanged || revision > before || time.Since(openedAt) > pollTimeout {
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

// lostToWait reports whether a poll ended because something took longer than it waits.
func lostToWait(err error) bool {
	if reason := netconn.ReasonOf(err); reason != netconn.ConnectFailed {
		return reason == netconn.PollTimeout || reason == netconn.Stalled
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// changelogTarget returns the address of the change log, and a context that ends when that changes.
func (s *Server) changelogTarget(ctx context.Context) (target context.Context, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveChangelog() // the context before is not needed any more
	target, s.leaveChangelog = context.WithCancel(ctx)
	return target, s.changelogAddr
}

// newPollBackoff returns the pauses between polls of a change log that does not answer: an exponential
// backoff that doubles from minPollBackoff to maxPollBackoff, is spread by pollBackoffSpread and never
// stops.
func newPollBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minPollBackoff, maxPollBackoff, 2
	b.RandomizationFactor, b.MaxElapsedTime = pollBackoffSpread, 0
	b.Reset()
	return b
}

// revisionError is a change log whose revisions go back, which the protocol excludes: the list that is
// known stays.
type revisionError struct{ got, known int64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("the log is at %d, after %d", e.got, e.known)
}
