package enginepool

import (
	"bufio"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// startAt starts the first attempt at engine e1 with the given address.
func startAt(pool *Pool, addr string) {
	pool.StartAttempt(broker.StartAttempt{
		Attempt: firstAttempt, Engine: "e1", Addr: addr, RequestID: "1", Class: "lookup", Timeout: testTimeout,
		Priority: defaultPriority,
	})
}

// An attempt waits for its connection and is sent on it. A connection that the broker closes ends with the given
// reason, and its attempt ends with it.
func TestConnectionIsDialedAndClosed(t *testing.T) {
	listener, host := socktest.Listen(t), newFakeHost(t)
	addr := listener.Addr().String()
	pool := New(testConfig, host, host, host)
	startAt(pool, addr)
	engine, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engine.Close() }) // the pool has closed the connection
	host.runPosted("the connection")
	if err := engine.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(engine).ReadString('\n'); err != nil || line != "*4\r\n" {
		t.Fatalf("the engine got %q, %v", line, err)
	}
	pool.CloseConnections("e1", 0)
	host.runPosted("the end of the connection")
	if diff := cmp.Diff(endedConn{addr, netconn.EngineGone}, socktest.Receive(t, host.ended, "its report"),
		cmp.AllowUnexported(endedConn{})); diff != "" {
		t.Error(diff)
	}
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset}}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Error(diff)
	}
	if stats := pool.Stats(); stats != (Stats{Dials: 1}) {
		t.Errorf("stats are %+v, want one dial only", stats)
	}
}

// An attempt to an engine that refuses the connection ends with ConnectFailed: the engine never received it.
func TestRefusedConnection(t *testing.T) {
	listener, host := socktest.Listen(t), newFakeHost(t)
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	pool := New(testConfig, host, host, host)
	startAt(pool, addr)
	host.runPosted("the end of the connection")
	if diff := cmp.Diff(endedConn{addr, netconn.ConnectFailed}, socktest.Receive(t, host.ended, "its report"),
		cmp.AllowUnexported(endedConn{})); diff != "" {
		t.Error(diff)
	}
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Error(diff)
	}
}

// A connection that its engine closes ends with the reason that the peer closed it.
func TestConnectionClosedByEngine(t *testing.T) {
	listener, host := socktest.Listen(t), newFakeHost(t)
	addr := listener.Addr().String()
	pool := New(testConfig, host, host, host)
	startAt(pool, addr)
	engine, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	host.runPosted("the connection")
	request := make([]byte, 4<<10)
	if _, err := engine.Read(request); err != nil {
		t.Fatal(err)
	}
	if err := engine.Close(); err != nil {
		t.Fatal(err)
	}
	host.runPosted("the end of the connection")
	if got := socktest.Receive(t, host.ended, "its report"); got.reason != netconn.PeerClosed {
		t.Errorf("the connection ended with reason %s, want %s", got.reason, netconn.PeerClosed)
	}
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset}}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Error(diff)
	}
}
