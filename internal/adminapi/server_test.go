package adminapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

const testTimeout = 20 * time.Second // a test that waits longer fails

// testConnections is the connection limit of the server under test.
const testConnections = 32

// fakeBroker is a Broker with a static list of engines.
type fakeBroker struct {
	mu          sync.Mutex
	listed      map[string]bool // by engine id
	maintenance map[string]bool // by engine id
	ready       bool
	busy        bool // Vars blocks until its context ends
}

func (b *fakeBroker) Ready(context.Context) (bool, error) { return b.ready, nil }

func (b *fakeBroker) Vars(ctx context.Context, buf []byte) ([]byte, error) {
	if b.busy {
		<-ctx.Done()
		return nil, ErrBusy
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	unhealthy := "0"
	if len(b.maintenance) > 0 {
		unhealthy = "1"
	}
	return append(buf, "relay_current 3\nrelay_cluster_unhealthy "+unhealthy+"\n"...), nil
}

func (b *fakeBroker) StartMaintenance(_ context.Context, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.listed[id] {
		return ErrNotListed
	}
	b.maintenance[id] = true
	return nil
}

func (b *fakeBroker) EndMaintenance(_ context.Context, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.listed[id] {
		return ErrNotListed
	}
	delete(b.maintenance, id)
	return nil
}

// serve runs a server for the broker until the test ends and returns its address.
func serve(t *testing.T, b Broker) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		done <- (&Server{Broker: b, Log: zap.NewNop(), MaxConnections: testConnections}).Serve(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // the test has read the reply
	})
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// call sends a text on a new connection and returns the reply, which ends when the server closes the connection.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	send(t, conn, text)
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

// Each call has the reply of the admin protocol. The cases run in order, as maintenance mode carries over from one
// case to the next.
func TestReplies(t *testing.T) {
	listed := map[string]bool{"e1": true}
	addr := serve(t, &fakeBroker{listed: listed, maintenance: map[string]bool{}, ready: true})
	for _, c := range []struct{ name, send, want string }{
		{"check", "check\n", "ACK check\n"},
		{"vars", "vars\n", "ACK vars\nrelay_current 3\nrelay_cluster_unhealthy 0\n--\n"},
		{"set-down", "set-down e1\n", "ACK set-down e1\n"},
		{"set-down again", "set-down e1\r\n", "ACK set-down e1\n"},
		{"vars in maintenance", "vars\n", "ACK vars\nrelay_current 3\nrelay_cluster_unhealthy 1\n--\n"},
		{"set-down unknown", "set-down e9\n", "NAK not_listed\n"},
		{"set-up", "set-up e1\n", "ACK set-up e1\n"},
		{"set-up again", "set-up e1\n", "ACK set-up e1\n"},
		{"set-up unknown", "set-up e9\n", "NAK not_listed\n"},
		{"two lines", "check\nvars\n", "ACK check\n"}, // only the first line of a connection is answered
		{"unknown call", "restart\n", `NAK unknown_call "restart"` + "\n"},
		{"missing id", "set-down\n", "NAK missing_argument set-down takes an engine's id\n"},
		{"check with an argument", "check 1\n", "NAK extra_argument check takes no argument\n"},
		{"vars with an argument", "vars 1\n", "NAK extra_argument vars takes no argument\n"},
		{"invalid UTF-8", "set-up \xff\n", "NAK not_utf8\n"},
		{"too long", strings.Repeat("v", 4*MaxLineBytes), "NAK too_long no line feed in 256 bytes\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, call(t, addr, c.send)); diff != "" {
				t.Errorf("reply differs (-want +got):\n%s", diff)
			}
		})
	}
}

// A caller that closes before its line is complete gets no reply.
func TestIncompleteLineIsNotAnswered(t *testing.T) {
	conn := dial(t, serve(t, &fakeBroker{ready: true}))
	send(t, conn, "che")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if reply, err := io.ReadAll(conn); err != nil || len(reply) > 0 {
		t.Fatalf("got reply %q, error %v; want neither", reply, err)
	}
}

func TestCheckIsRejectedWhenNotReady(t *testing.T) {
	addr := serve(t, &fakeBroker{})
	if got := call(t, addr, "check\n"); got != "NAK not_ready\n" {
		t.Fatalf("got %q, want NAK not_ready", got)
	}
}

// Callers that send nothing or an incomplete line must not delay the replies to other callers.
func TestSlowCallersDelayNoOthers(t *testing.T) {
	addr := serve(t, &fakeBroker{listed: map[string]bool{}, maintenance: map[string]bool{}, ready: true})
	slow := make([]net.Conn, testConnections/2)
	for i := range slow {
		slow[i] = dial(t, addr)
		if i%2 == 0 {
			send(t, slow[i], "set-do")
		}
	}
	for range 3 {
		if got := call(t, addr, "check\n"); got != "ACK check\n" {
			t.Fatalf("got %q, want ACK check", got)
		}
	}
	// A slow connection is still open and is answered once its line is complete.
	send(t, slow[0], "wn x\n")
	if line, err := bufio.NewReader(slow[0]).ReadString('\n'); err != nil || line != "NAK not_listed\n" {
		t.Fatalf("got line %q, error %v; want NAK not_listed", line, err)
	}
}

// A call that the broker can't execute in time is answered with the reason busy. The deployment page promises a reply
// within 1 s.
func TestBusyBrokerIsReported(t *testing.T) {
	addr := serve(t, &fakeBroker{busy: true})
	if got := call(t, addr, "vars\n"); got != "NAK busy\n" {
		t.Fatalf("got %q, want NAK busy", got)
	}
}
