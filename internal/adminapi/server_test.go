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

const patience = 20 * time.Second // a test that waits so long has failed

// testCallers are served at once.
const testCallers = 32

// fakeBroker is a broker that knows engines by their ids.
type fakeBroker struct {
	mu          sync.Mutex
	listed      map[string]bool
	maintenance map[string]bool
	ready       bool
	busy        bool // Vars waits for its context to end
}

func (b *fakeBroker) Ready(context.Context) (bool, error) { return b.ready, nil }

func (b *fakeBroker) Vars(ctx context.Context, to []byte) ([]byte, error) {
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
	return append(to, "relay_current 3\nrelay_cluster_unhealthy "+unhealthy+"\n"...), nil
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

// serve starts a server for the broker until the test ends and returns its address.
func serve(t *testing.T, b Broker) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- (&Server{Broker: b, Log: zap.NewNop(), MaxConnections: testCallers}).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// dial connects to a server for as long as the test lasts.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // the test has read what it wanted
	})
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
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

// call sends a text on a connection of its own and reads until the broker closes it.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	send(t, conn, text)
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// Calls see the maintenance mode that those ahead of them have left.
func TestCalls(t *testing.T) {
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
		{"two lines", "check\nvars\n", "ACK check\n"}, // one line a connection
		{"unknown call", "restart\n", `NAK unknown_call "restart"` + "\n"},
		{"no id", "set-down\n", "NAK missing_argument set-down takes an engine's id\n"},
		{"check with an argument", "check 1\n", "NAK extra_argument check takes no argument\n"},
		{"vars with an argument", "vars 1\n", "NAK extra_argument vars takes no argument\n"},
		{"no UTF-8", "set-up \xff\n", "NAK not_utf8\n"},
		{"too long", strings.Repeat("v", 4*MaxLineBytes), "NAK too_long no line feed in 256 bytes\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, call(t, addr, c.send)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A caller that closes after half a line gets no answer.
func TestHalfALine(t *testing.T) {
	conn := dial(t, serve(t, &fakeBroker{ready: true}))
	send(t, conn, "che")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err != nil || len(answer) > 0 {
		t.Fatalf("got %q, %v", answer, err)
	}
}

func TestNotReady(t *testing.T) {
	addr := serve(t, &fakeBroker{})
	if got := call(t, addr, "check\n"); got != "NAK not_ready\n" {
		t.Fatalf("got %q", got)
	}
}

// Callers that send nothing, or half a line, delay nobody: the broker answers the others meanwhile.
func TestSlowCallersDelayNobody(t *testing.T) {
	addr := serve(t, &fakeBroker{listed: map[string]bool{}, maintenance: map[string]bool{}, ready: true})
	slow := make([]net.Conn, testCallers/2)
	for i := range slow {
		slow[i] = dial(t, addr)
		if i%2 == 0 {
			send(t, slow[i], "set-do")
		}
	}
	for range 3 {
		if got := call(t, addr, "check\n"); got != "ACK check\n" {
			t.Fatalf("got %q", got)
		}
	}
	// Each slow one is still open, and gets its answer once its line is complete.
	send(t, slow[0], "wn x\n")
	if line, err := bufio.NewReader(slow[0]).ReadString('\n'); err != nil || line != "NAK not_listed\n" {
		t.Fatalf("got %q, %v", line, err)
	}
}

// A call that the broker can't carry out in time is answered all the same, well within the second owed.
func TestBusyBrokerIsAnswered(t *testing.T) {
	addr := serve(t, &fakeBroker{busy: true})
	if got := call(t, addr, "vars\n"); got != "NAK busy\n" {
		t.Fatalf("got %q", got)
	}
}
