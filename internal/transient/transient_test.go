package transient

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestErrorsAreClassified(t *testing.T) {
	connect := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
	}
	for _, tt := range []struct {
		err                          error
		local, connect, listen, file bool
	}{
		{connect(syscall.ENFILE), true, true, true, true},
		{connect(syscall.EADDRNOTAVAIL), true, true, true, true},
		{connect(syscall.ENETUNREACH), false, true, false, false},
		{connect(syscall.EADDRINUSE), false, false, true, false},
		{connect(syscall.ECONNREFUSED), false, false, false, false},
		{connect(syscall.ETIMEDOUT), false, false, false, false},
		{fmt.Errorf("config: %w", &os.PathError{Op: "open", Path: "a", Err: syscall.EIO}), false, false, false, true},
		{&os.PathError{Op: "open", Path: "a", Err: syscall.ENOENT}, false, false, false, false},
	} {
		got := [...]bool{IsLocalError(tt.err), IsConnectError(tt.err), IsListenError(tt.err), IsFileError(tt.err)}
		if want := [...]bool{tt.local, tt.connect, tt.listen, tt.file}; got != want {
			t.Errorf("%v: local, connect, listen, file: got %v, want %v", tt.err, got, want)
		}
	}
}

// TestRetryStopsAtPermanentErrorOrTimeout guards against retries after a permanent error or the timeout, and against
// no retry after a transient error.
func TestRetryStopsAtPermanentErrorOrTimeout(t *testing.T) {
	errTransient, errPermanent := errors.New("transient"), errors.New("permanent")
	isTransient := func(err error) bool { return errors.Is(err, errTransient) }
	for name, tt := range map[string]struct {
		errs  []error // errors of successive calls; the last one repeats
		calls int
		want  error
	}{
		"immediate success":               {[]error{nil}, 1, nil},
		"success after transient errors":  {[]error{errTransient, errTransient, nil}, 3, nil},
		"permanent error":                 {[]error{errPermanent}, 1, errPermanent},
		"permanent after transient error": {[]error{errTransient, errPermanent}, 2, errPermanent},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			err := Retry(t.Context(), time.Minute, isTransient, func() error {
				calls++
				return tt.errs[min(calls, len(tt.errs))-1]
			})
			if !errors.Is(err, tt.want) || calls != tt.calls {
				t.Errorf("got %d calls and error %v, want %d and %v", calls, err, tt.calls, tt.want)
			}
		})
	}
	if err := Retry(t.Context(), time.Millisecond, isTransient, func() error { return errTransient }); !isTransient(err) {
		t.Errorf("after the timeout: got %v, want %v", err, errTransient)
	}
}
