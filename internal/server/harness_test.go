package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
)

const testTimeout = 20 * time.Second // a test that waits so long has failed

// receive takes from a channel, or fails.
func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// testServer is a broker with what is round it.
type testServer struct {
	t          *testing.T
	server     *Server
	addr       string
	changelog  fakeChangelog
	logs       *observer.ObservedLogs
	stopSignal chan struct{}
	ended      chan error
}

const settingsJSON = `{"PeersTotal":1,"RoundNs":5000000,"MachineTypes":["std"],
 "Domain":{"SizeCores":[8],"KindMemoryMb":[16384],"WidthByClass":[1,2,1],"ClassLoad":[false,true,false]},
 "Limits":{"Cancel":true,"MaxAttempts":2,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":true,"ConnIdleNs":%d},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":15000000000,"FallMultiple":2.5,"FallNs":1000000000},
 "RequestClasses":[{"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":20000000000,"Worth":1},
 {"Name":"load","Effect":"by_key","PromiseNs":3000000000,"GiveUpNs":20000000000,"WindowNs":15000000000,"Worth":20,"ByArrival":true,"LateWorth":0.5},
 {"Name":"once","Effect":"once","PromiseNs":3000000000,"GiveUpNs":20000000000,"Worth":1,"LateWorth":0.5}]}`

func startServer(t *testing.T, hosts ...string) *testServer {
	return startWithLimits(t, 30*time.Second, 1024, hosts...)
}

func startWithLimits(t *testing.T, idle time.Duration, sockets int, hosts ...string) *testServer {
	t.Helper()
	return startMeasured(t, nopMeter{}, idle, sockets, hosts...)
}

func startMeasured(t *testing.T, m Meter, idle time.Duration, sockets int, hosts ...string) *testServer {
	t.Helper()
	return startConfigured(t, m, idle, sockets, func(*config.Config) {}, hosts...)
}

// startConfigured starts a broker on a configuration that change has had its way with.
func startConfigured(t *testing.T, m Meter, idle time.Duration, sockets int, change func(*config.Config), hosts ...string) *testServer {
	t.Helper()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settingsJSON, idle))
	if err != nil {
		t.Fatal(err)
	}
	known, err := changelog.ParsePage([]byte(pageJSON(1, true, hosts...)))
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, changelog: fakeChangelog{make(chan string, 1000), make(chan string)}, stopSignal: make(chan struct{}), ended: make(chan error, 1)}
	changes := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.changelog.polls <- r.URL.RawQuery
		select {
		case text := <-s.changelog.pages:
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	core, logs := observer.New(zapcore.InfoLevel)
	s.logs = logs
	ctx, cancel := context.WithCancel(context.Background())
	cfg := config.Config{
		Listen: "127.0.0.1:0", Changelog: changes.Listener.Addr().String(), Sockets: sockets,
		Known: known, Settings: set,
	}
	change(&cfg)
	n, err := New(ctx, cfg, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	n.SetMeter(m)
	s.server = n
	s.addr = n.Addr().String()
	go func() { s.ended <- n.Run(ctx, s.stopSignal) }()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, s.ended, "the broker's end"); err != nil {
			t.Error(err)
		}
		changes.CloseClientConnections()
		changes.Close()
	})
	return s
}

// publish has the change log tell something, and waits until the broker has taken it.
func (s *testServer) publish(page string, seq int) {
	s.t.Helper()
	select {
	case s.changelog.pages <- page:
	case <-time.After(testTimeout):
		s.t.Fatal("nobody polls")
	}
	for since := fmt.Sprintf("since=%d&", seq); !strings.Contains(receive(s.t, s.changelog.polls, "a poll"), since); {
	}
}

// endReasons waits for the log lines of an ended connection and joins their codes.
func (s *testServer) endReasons(peer string) string {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lines := s.logs.FilterField(zap.String("peer", peer)).All()
		if len(lines) > 0 {
			var codes []string
			for _, l := range lines {
				codes = append(codes, l.ContextMap()["reason"].(string))
			}
			return strings.Join(codes, ",")
		}
	}
	return "none"
}

// connectedPair is a connection on loopback.
func connectedPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); other.Close() })
	return nc.(*net.TCPConn), other.(*net.TCPConn)
}

// waitUntil waits for something to be so.
func waitUntil(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !so(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%s is never so", what)
		}
	}
}

// inLoop asks something of the goroutine that owns the reducer.
func inLoop[T any](s *testServer, of func(n *Server) T) T {
	s.t.Helper()
	got := make(chan T, 1)
	s.server.inbox <- func() { got <- of(s.server) }
	return receive(s.t, got, "the reducer's goroutine")
}

// streamCount is how many attempts and probes are on connections to an engine.
func (s *testServer) streamCount(engine string) int {
	return inLoop(s, func(n *Server) (sum int) {
		for _, c := range n.pool.connsByEngine[engine] {
			sum += len(c.streams)
		}
		return sum
	})
}

func withCancellation(cancel bool) func(*config.Config) {
	return func(c *config.Config) {
		c.Settings.ConnectTimeout = testTimeout
		c.Settings.Control.Limits.Cancellation = cancel
	}
}

// newIdleServer is a node that does not run, with a connection to engine e1 that nothing has left on yet, and its other side.
func newIdleServer(t *testing.T) (n *Server, l *bufferedConn, far *net.TCPConn) {
	t.Helper()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settingsJSON, 30*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	near, far := connectedPair(t)
	n = &Server{cfg: config.Config{Settings: set, Sockets: 1024}, meter: nopMeter{}}
	n.pool = newEnginePool(n)
	l = newBufferedConn(near, maxEngineSendDelay, maxEngineReceiveBytes, maxEngineSendBytes)
	c := &engineConn{
		engine: "e1", addr: "a", transport: l, cancel: func() {}, streams: map[string]*stream{}, retiredIDs: map[string]time.Time{},
		lastUsed: time.Now(), lastReceived: time.Now(),
	}
	n.pool.connsByEngine["e1"], n.pool.connCount = []*engineConn{c}, 1
	return n, l, far
}
