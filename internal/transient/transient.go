// Package transient classifies errors of the local system that may resolve without intervention, as opposed to errors
// caused by another machine or by a file, and retries calls that fail with such errors.
package transient

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v4"
)

// localErrors are the errors of a machine that temporarily lacks descriptors, ports, buffers or memory.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR,
}

// networkErrors are errors that may be transient, but may also be caused by the remote end.
var networkErrors = []error{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN}

// storageErrors are errors of a file system that may be transient.
var storageErrors = []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ESTALE}

func isAnyOf(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// IsLocalError reports whether a call failed for lack of a resource on this machine. Such an error does not depend on
// the remote end.
func IsLocalError(err error) bool { return isAnyOf(err, localErrors) }

// IsConnectError reports whether another attempt to connect may succeed soon.
func IsConnectError(err error) bool { return IsLocalError(err) || isAnyOf(err, networkErrors) }

// IsListenError reports whether another attempt to listen may succeed soon. An address in use is such an error, as the
// process that uses it may be about to end.
func IsListenError(err error) bool { return IsLocalError(err) || errors.Is(err, syscall.EADDRINUSE) }

// IsFileError reports whether another attempt to read or write a file may succeed soon.
func IsFileError(err error) bool { return IsLocalError(err) || isAnyOf(err, storageErrors) }

// IsOutOfBuffers reports whether a write failed for lack of buffers. No bytes of it were sent, and the connection
// remains usable.
func IsOutOfBuffers(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// Bounds of the backoff in Retry.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Retry calls f, and calls it again with exponential backoff while f fails with an error that isTransient reports as
// transient, until timeout elapses or ctx ends. It returns the last error of f.
func Retry(ctx context.Context, timeout time.Duration, isTransient func(error) bool, f func() error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval, policy.MaxElapsedTime = minBackoff, maxBackoff, timeout
	policy.Reset()
	var last error
	_ = backoff.Retry(func() error { // its error adds nothing to the last error of f
		last = f()
		if last != nil && !isTransient(last) {
			return backoff.Permanent(last)
		}
		return last
	}, backoff.WithContext(policy, ctx))
	return last
}
