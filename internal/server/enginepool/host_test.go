package enginepool

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

const (
	testTimeout     = 20 * time.Second // a test that waits longer fails
	testIdleTimeout = 30 * time.Second // of connections to engines
	testSockets     = 256              // maximum number of connections to engines
)

var testConfig = Config{
	MaxConns: testSockets, MaxStreams: 10, ConnectTimeout: testTimeout, IdleTimeout: testIdleTimeout,
	SilenceThreshold: SilenceThreshold, MaxClientTimeout: time.Minute,
}

var firstAttempt, secondAttempt = broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}

// endedConn is a reported end of a connection.
type endedConn struct {
	addr   string
	reason netconn.Reason
}

// fakeHost implements Loop, EventSink and Observer for a pool. Posted functions are queued until the test calls them.
type fakeHost struct {
	t        *testing.T
	posted   chan func()
	events   []broker.Event // applied or enqueued
	observed []string       // notifications to the observer, on the owner's goroutine
	ended    chan endedConn
}

func newFakeHost(t *testing.T) *fakeHost {
	t.Helper()
	return &fakeHost{t: t, posted: make(chan func(), 10), ended: make(chan endedConn, 10)}
}

// runPosted waits for the next posted function and calls it.
func (h *fakeHost) runPosted(what string) {
	h.t.Helper()
	socktest.Receive(h.t, h.posted, what)()
}

func (h *fakeHost) Post(f func()) { h.posted <- f }

func (h *fakeHost) Start(run func(ctx context.Context)) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(h.t.Context())
	go run(ctx)
	return cancel
}

func (h *fakeHost) Apply(event broker.Event)   { h.events = append(h.events, event) }
func (h *fakeHost) Enqueue(event broker.Event) { h.events = append(h.events, event) }

func (h *fakeHost) DuplicateResponse(engine string) { h.observe("duplicate response of %s", engine) }
func (h *fakeHost) DrainStarted()                   { h.observe("drain started") }
func (h *fakeHost) DrainCompleted(took time.Duration) {
	h.observe("drain completed, bytes sent after its start: %v", took > 0)
}
func (h *fakeHost) LateWrite(engine string) { h.observe("late write to %s", engine) }

func (h *fakeHost) ConnectionEnded(addr string, _ time.Time, err error) {
	h.ended <- endedConn{addr, netconn.ReasonOf(err)}
}

func (h *fakeHost) observe(format string, args ...any) {
	h.observed = append(h.observed, fmt.Sprintf(format, args...))
}

// idlePool is a pool with one connection, to engine e1, on which nothing has been sent yet.
type idlePool struct {
	*Pool
	host         *fakeHost
	conn         *engineConn
	transport    *netconn.Conn
	engineSocket *net.TCPConn     // the engine's end
	clock        func() time.Time // of the send queue
}

func newIdlePool(t *testing.T) *idlePool {
	t.Helper()
	near, far := socktest.Pair(t)
	host := newFakeHost(t)
	p := &idlePool{host: host, engineSocket: far, clock: time.Now}
	p.Pool = New(testConfig, host, host, host)
	options := p.connOptions()
	options.Now = func() time.Time { return p.clock() }
	p.transport = netconn.New(near, options)
	p.conn = newEngineConn("e1", "a")
	p.conn.transport, p.conn.cancel = p.transport, func(error) {}
	p.conn.lastUsed, p.conn.lastReceived = time.Now(), time.Now()
	p.connsByEngine["e1"], p.connCount = []*engineConn{p.conn}, 1
	return p
}

// start starts an attempt of a class at engine e1.
func (p *idlePool) start(id broker.AttemptID, class string, timeout time.Duration) {
	p.StartAttempt(broker.StartAttempt{
		Attempt: id, Engine: "e1", Addr: "a", RequestID: fmt.Sprint(id.Request), Class: class,
		Timeout: timeout, Priority: 1,
	})
}

// sendAll marks all queued bytes as sent.
func (p *idlePool) sendAll() { p.transport.MarkSent(len(p.transport.NextBytes())) }

// run runs the connection without reading from it until the test ends. The returned channel receives the error that
// ended the connection.
func (p *idlePool) run(t *testing.T) <-chan error {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		ended <- p.transport.Run(t.Context(), func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}()
	return ended
}
