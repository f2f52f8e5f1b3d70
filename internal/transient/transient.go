// Package transient tells failures of the local system that pass by themselves from those that say something of
// another machine or of a file, and repeats calls that fail so.
package transient

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v4"
)

// localResources are the errors of a machine that lacks descriptors, ports, buffers or memory for the moment.
var localResources = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR,
}

// momentary are errors that may pass but may also say something of the other end.
var momentary = []error{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN}

// storage are errors of a file system that may pass.
var storage = []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ESTALE}

func isAny(err error, list []error) bool {
	for _, known := range list {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// IsLocalError reports whether a call failed for want of something on this machine. It says nothing of the other end.
func IsLocalError(err error) bool { return isAny(err, localResources) }

// IsConnectError reports whether another try to connect may succeed soon.
func IsConnectError(err error) bool { return IsLocalError(err) || isAny(err, momentary) }

// IsListenError reports whether another try to listen may succeed soon: another process may be about to end.
func IsListenError(err error) bool { return IsLocalError(err) || errors.Is(err, syscall.EADDRINUSE) }

// IsFileError reports whether another try to read or write a file may succeed soon.
func IsFileError(err error) bool { return IsLocalError(err) || isAny(err, storage) }

// IsOutOfBuffers reports whether a write failed for want of buffers: nothing of it left, and the connection goes on.
func IsOutOfBuffers(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// The pauses between calls of Retry.
const (
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Retry calls f again, after pauses that grow, while it fails with an error that may pass, for a time at most and
// until ctx ends. It returns the last error of f.
func Retry(ctx context.Context, within time.Duration, mayPass func(error) bool, f func() error) error {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.MaxElapsedTime = minPause, maxPause, within
	b.Reset()
	var last error
	_ = backoff.Retry(func() error { // its own error says no more than the last one of f
		last = f()
		if last != nil && !mayPass(last) {
			return backoff.Permanent(last)
		}
		return last
	}, backoff.WithContext(b, ctx))
	return last
}
