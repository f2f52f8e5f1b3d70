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

func TestClassification(t *testing.T) {
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
			t.Errorf("%v: local, connect, listen, file are %v, want %v", tt.err, got, want)
		}
	}
}

// A call is repeated while its error may pass, and no longer than it may take.
func TestRetry(t *testing.T) {
	errPasses, errStays := errors.New("passes"), errors.New("stays")
	mayPass := func(err error) bool { return errors.Is(err, errPasses) }
	for name, tt := range map[string]struct {
		errs  []error // of the calls, in order; the last one repeats
		calls int
		want  error
	}{
		"at once":        {[]error{nil}, 1, nil},
		"after a while":  {[]error{errPasses, errPasses, nil}, 3, nil},
		"for good":       {[]error{errStays}, 1, errStays},
		"changes to bad": {[]error{errPasses, errStays}, 2, errStays},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			err := Retry(t.Context(), time.Minute, mayPass, func() error {
				calls++
				return tt.errs[min(calls, len(tt.errs))-1]
			})
			if !errors.Is(err, tt.want) || calls != tt.calls {
				t.Errorf("%d calls and %v, want %d and %v", calls, err, tt.calls, tt.want)
			}
		})
	}
	if err := Retry(t.Context(), time.Millisecond, mayPass, func() error { return errPasses }); !mayPass(err) {
		t.Errorf("after its time: %v", err)
	}
}
