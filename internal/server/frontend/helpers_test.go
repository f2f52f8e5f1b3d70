package frontend

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

const testTimeout = socktest.Timeout

// fakeHost implements Loop, EventSink and Observer for a frontend. Posted functions are queued in its inbox until a
// test runs them.
type fakeHost struct {
	inbox chan func()

	// Owned by the test, which is the loop.
	events     []broker.Event
	violations []invariant.Rule

	mu   sync.Mutex // guards ends
	ends []netconn.Reason
}

func newFakeHost() *fakeHost { return &fakeHost{inbox: make(chan func(), 100)} }

func (h *fakeHost) Post(ctx context.Context, f func()) bool {
	select {
	case h.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *fakeHost) Apply(event broker.Event)   { h.events = append(h.events, event) }
func (h *fakeHost) Enqueue(event broker.Event) { h.events = append(h.events, event) }

func (h *fakeHost) Violated(rule invariant.Rule, _ ...zap.Field) {
	h.violations = append(h.violations, rule)
}

func (h *fakeHost) ConnectionEnded(end ConnectionEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, netconn.ReasonOf(end.Err))
}

// runOne waits for the next function in the inbox and runs it.
func (h *fakeHost) runOne(t *testing.T, what string) {
	t.Helper()
	socktest.Receive(t, h.inbox, what)()
}

// runUntil runs the functions in the inbox until a condition holds.
func (h *fakeHost) runUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	socktest.WaitUntil(t, what, func() bool {
		for len(h.inbox) > 0 {
			(<-h.inbox)()
		}
		return condition()
	})
}

// expectViolation fails the test unless exactly one violation, of the given rule, was reported.
func (h *fakeHost) expectViolation(t *testing.T, want invariant.Rule) {
	t.Helper()
	if len(h.violations) != 1 || h.violations[0] != want {
		t.Errorf("violations %v, want %v", h.violations, want)
	}
}

// newTestFrontend returns a frontend that uses a host. listener may be nil.
func newTestFrontend(listener net.Listener, host *fakeHost, maxRejected int) *Frontend {
	var lastSession broker.Session
	return New(listener, Config{
		NextSession: func() broker.Session { lastSession++; return lastSession },
		MaxConns:    1, MaxRejected: maxRejected, Log: zap.NewNop(),
		MaxClientTimeout: func() time.Duration { return testTimeout },
		EarliestArrival:  func(readAt time.Duration) time.Duration { return readAt },
	}, host, host, host)
}

// newTestClient returns a client of a frontend and the remote end of its connection.
func newTestClient(t *testing.T, f *Frontend) (c *client, far *net.TCPConn) {
	t.Helper()
	near, far := socktest.Pair(t)
	return newClient(f, 7, near), far
}

// serve serves the clients of a frontend until the test ends.
func serve(t *testing.T, f *Frontend) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = socktest.Receive(t, ended, "the frontend's end") // the context's error, or nil after the final reads
	})
}

// serveClient reads a new client's commands until the test ends, and returns it and the remote end of its connection.
func serveClient(t *testing.T, f *Frontend) (c *client, far *net.TCPConn) {
	t.Helper()
	c, far = newTestClient(t, f)
	close(c.admitted)
	go func() { _ = c.conn.Run(t.Context(), c.read) }()
	send(t, far, loginPacket())
	return c, far
}

// send sends bytes.
func send(t *testing.T, far *net.TCPConn, bytes []byte) {
	t.Helper()
	if _, err := far.Write(bytes); err != nil {
		t.Fatal(err)
	}
}

// holdTurn gives a client the turn of a large message, which it keeps.
func holdTurn(c *client) {
	c.frontend.turns.begin(c, 0)
	c.frontend.turns.arrive(c, 0)
	<-c.turnGranted
}

// packetBytes returns a packet of the MySQL protocol.
func packetBytes(seq byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

// loginPacket returns a client's response to the greeting.
func loginPacket() []byte {
	return packetBytes(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
}
