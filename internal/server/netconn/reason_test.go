package netconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"wheatlane/internal/changelog"
	"wheatlane/internal/mysql"
	"wheatlane/internal/resp"
	"wheatlane/internal/ring"
)

// The reason code of an ended connection is determined by an EndError in the error's chain, or else by a known error.
func TestReasonOf(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want Reason
	}{
		{"no error", nil, "peer_closed"},
		{"end of file", io.EOF, "peer_closed"},
		{"full send queue", ring.ErrFull, "buffer_full"},
		{"packet too large", mysql.ErrTooLarge, "too_large"},
		{"response too large", resp.ErrTooLarge, "too_large"},
		{"page too large", changelog.ErrTooLarge, "too_large"},
		{"packets out of order", mysql.ErrSequence, "malformed"},
		{"bad handshake", mysql.ErrHandshake, "malformed"},
		{"malformed packet", mysql.ErrMalformed, "malformed"},
		{"malformed response", resp.ErrMalformed, "malformed"},
		{"malformed page", changelog.ErrMalformed, "malformed"},
		{"error status of the change log", changelog.ErrStatus, "http_status"},
		{"reset", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, "peer_reset"},
		{"broken pipe", os.NewSyscallError("write", syscall.EPIPE), "peer_reset"},
		{"deadline", &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, "idle"},
		{"closed socket", &net.OpError{Op: "read", Err: net.ErrClosed}, "shutdown"},
		{"context ended", context.Canceled, "shutdown"},
		{"unknown error", errors.New("other"), "failed"},
		{"EndError", &EndError{Reason: Stalled}, "stalled"},
		{"EndError around a known error", &EndError{Reason: ReadTimeout, Err: os.ErrDeadlineExceeded}, "read_timeout"},
		{"wrapped EndError", fmt.Errorf("read: %w", &EndError{Reason: Idle, Err: io.EOF}), "idle"},
		{"joined EndError", errors.Join(&EndError{Reason: AccessDenied}, io.EOF), "access_denied"},
		{"wrapped known error", fmt.Errorf("read: %w", resp.ErrMalformed), "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ReasonOf(c.err); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// The text of an EndError contains its reason code and its cause. It is sent to clients and logged.
func TestEndErrorText(t *testing.T) {
	for _, c := range []struct {
		name string
		err  *EndError
		want string
	}{
		{"reason only", &EndError{Reason: Quit}, "quit"},
		{"reason and cause", &EndError{Reason: TooLarge, Err: io.ErrUnexpectedEOF}, "too_large: unexpected EOF"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.err.Error(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Each reason is counted separately for each side, and reported in the order of Reasons.
func TestEndCounts(t *testing.T) {
	var counts EndCounts
	for i, side := range allSides {
		for j, reason := range Reasons {
			for range 100*i + j {
				counts.Add(side, reason)
			}
		}
	}
	counts.Add("unknown", Quit)
	counts.Add(ClientSide, "unknown")
	for i, side := range allSides {
		j := 0
		(&ConnectionCounts{Ends: &counts}).EachEndReason(side, func(reason Reason, n uint64) {
			if reason != Reasons[j] || n != uint64(100*i+j) {
				t.Errorf("%s: count %d of reason %s at index %d, want %d of %s", side, n, reason, j, 100*i+j, Reasons[j])
			}
			j++
		})
		if j != len(Reasons) {
			t.Errorf("%s: %d reasons, want %d", side, j, len(Reasons))
		}
	}
	(&ConnectionCounts{}).EachEndReason(ClientSide, func(Reason, uint64) {
		t.Error("f is called although ended connections are not counted")
	})
}
