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

// desk is a broker that knows engines by name.
type desk struct {
	mu     sync.Mutex
	listed map[string]bool
	down   map[string]bool
	ready  bool
	hold   chan struct{} // while open, Vars waits for ctx
}

func (d *desk) Ready(context.Context) (bool, error) { return d.ready, nil }

func (d *desk) Vars(ctx context.Context, to []byte) ([]byte, error) {
	if d.hold != nil {
		<-ctx.Done()
		return nil, ErrBusy
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(to, "relay_current 3\nrelay_cluster_unhealthy "+map[bool]string{false: "0", true: "1"}[len(d.down) > 0]+"\n"...), nil
}

func (d *desk) StartMaintenance(_ context.Context, id string) error { return d.set(id, true) }
func (d *desk) EndMaintenance(_ context.Context, id string) error   { return d.set(id, false) }

func (d *desk) set(id string, down bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed[id] {
		return ErrNotListed
	}
	if down {
		d.down[id] = true
	} else {
		delete(d.down, id)
	}
	return nil
}

func serve(t *testing.T, b Broker) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- (&Server{Broker: b, Log: zap.NewNop()}).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// call sends text and reads all that comes until the broker closes the connection.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

func TestCalls(t *testing.T) {
	addr := serve(t, &desk{listed: map[string]bool{"e1": true}, down: map[string]bool{}, ready: true})
	for _, c := range []struct{ send, want string }{
		{"check\n", "ACK check\n"},
		{"vars\n", "ACK vars\nrelay_current 3\nrelay_cluster_unhealthy 0\n--\n"},
		{"set-down e1\n", "ACK set-down e1\n"},
		{"set-down e1\r\n", "ACK set-down e1\n"}, // again: the same
		{"vars\n", "ACK vars\nrelay_current 3\nrelay_cluster_unhealthy 1\n--\n"},
		{"set-down e9\n", "NAK not_listed\n"},
		{"set-up e1\n", "ACK set-up e1\n"},
		{"set-up e1\n", "ACK set-up e1\n"},
		{"set-up e9\n", "NAK not_listed\n"},
		{"check\nvars\n", "ACK check\n"}, // one line a connection
		{"restart\n", `NAK unknown_call "restart"` + "\n"},
		{"set-down\n", "NAK missing_argument set-down takes an engine's id\n"},
		{"check 1\n", "NAK extra_argument check takes no argument\n"},
		{"set-up \xff\n", "NAK not_utf8\n"},
		{strings.Repeat("v", 4*MaxLine), "NAK too_long no line feed in 256 bytes\n"},
		{"che", ""}, // half a line, then the caller closes
	} {
		var got string
		if c.send == "che" {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, c.send)
			conn.(*net.TCPConn).CloseWrite()
			conn.SetDeadline(time.Now().Add(patience))
			b, _ := io.ReadAll(conn)
			conn.Close()
			got = string(b)
		} else {
			got = call(t, addr, c.send)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%q: %s", c.send, diff)
		}
	}
}

func TestNotReady(t *testing.T) {
	addr := serve(t, &desk{})
	if got := call(t, addr, "check\n"); got != "NAK not_ready\n" {
		t.Fatalf("got %q", got)
	}
}

// Callers that send nothing, or half a line, hold up nobody: the broker answers the others meanwhile.
func TestSlowCallersDelayNobody(t *testing.T) {
	addr := serve(t, &desk{listed: map[string]bool{}, down: map[string]bool{}, ready: true})
	var slow []net.Conn
	for i := range mostCallers / 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "set-do")
		}
		slow = append(slow, c)
	}
	for range 3 {
		if got := call(t, addr, "check\n"); got != "ACK check\n" {
			t.Fatalf("got %q", got)
		}
	}
	// Each slow one is still open, and gets its answer once its line is whole.
	io.WriteString(slow[0], "wn x\n")
	slow[0].SetDeadline(time.Now().Add(patience))
	if line, err := bufio.NewReader(slow[0]).ReadString('\n'); err != nil || line != "NAK not_listed\n" {
		t.Fatalf("got %q, %v", line, err)
	}
}

// A broker that can't carry a call out in time is answered for all the same, well within the second owed.
func TestBusyBrokerIsAnswered(t *testing.T) {
	addr := serve(t, &desk{hold: make(chan struct{})})
	if got := call(t, addr, "vars\n"); got != "NAK busy\n" {
		t.Fatalf("got %q", got)
	}
}
