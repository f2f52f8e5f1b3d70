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

// The reason code of a connection that ended follows from the type of its error, or from a known error in
// its chain.
func TestReasonOf(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want Reason
	}{
		{"no error", nil, "peer_closed"},
		{"end of file", io.EOF, "peer_closed"},
		{"full queue", ring.ErrFull, "buffer_full"},
		{"packet too large", mysql.ErrTooLarge, "too_large"},
		{"response too large", resp.ErrTooLarge, "too_large"},
		{"page too large", changelog.ErrTooLarge, "too_large"},
		{"packets out of order", mysql.ErrSequence, "malformed"},
		{"bad handshake", mysql.ErrHandshake, "malformed"},
		{"malformed packet", mysql.ErrMalformed, "malformed"},
		{"malformed response", resp.ErrMalformed, "malformed"},
		{"malformed page", changelog.ErrMalformed, "malformed"},
		{"status of the change log", changelog.ErrStatus, "http_status"},
		{"reset", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, "peer_reset"},
		{"broken pipe", os.NewSyscallError("write", syscall.EPIPE), "peer_reset"},
		{"deadline", &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, "idle"},
		{"closed socket", &net.OpError{Op: "read", Err: net.ErrClosed}, "shutdown"},
		{"context ended", context.Canceled, "shutdown"},
		{"any other", errors.New("other"), "failed"},
		{"typed", &EndError{Reason: Stalled}, "stalled"},
		{"typed, over a known error", &EndError{Reason: ReadTimeout, Err: os.ErrDeadlineExceeded}, "read_timeout"},
		{"typed, wrapped", fmt.Errorf("read: %w", &EndError{Reason: Idle, Err: io.EOF}), "idle"},
		{"typed, joined", errors.Join(&EndError{Reason: AccessDenied}, io.EOF), "access_denied"},
		{"known, wrapped", fmt.Errorf("read: %w", resp.ErrMalformed), "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ReasonOf(c.err); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// The text of an EndError goes to clients and to the log.
func TestEndErrorText(t *testing.T) {
	for _, c := range []struct {
		name string
		err  *EndError
		want string
	}{
		{"reason alone", &EndError{Reason: Quit}, "quit"},
		{"with its cause", &EndError{Reason: TooLarge, Err: io.ErrUnexpectedEOF}, "too_large: unexpected EOF"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.err.Error(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Each reason has a place of its own in the counts of each side, in the order of the list.
func TestEndCounts(t *testing.T) {
	var counts EndCounts
	for i, side := range allSides {
		for j, reason := range Reasons {
			for range 100*i + j {
				counts.Add(side, reason)
			}
		}
	}
	counts.Add("nobody", Quit)       // no such side
	counts.Add(ClientSide, "nobody") // no such reason
	for i, side := range allSides {
		j := 0
		(&ConnectionCounts{Ends: &counts}).EachEndReason(side, func(reason Reason, n uint64) {
			if reason != Reasons[j] || n != uint64(100*i+j) {
				t.Errorf("%s: %d of reason %s at place %d", side, n, reason, j)
			}
			j++
		})
		if j != len(Reasons) {
			t.Errorf("%s: %d reasons", side, j)
		}
	}
	(&ConnectionCounts{}).EachEndReason(ClientSide, func(Reason, uint64) { t.Error("counts without a server") })
}
