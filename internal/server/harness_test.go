package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/internal/config"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

const (
	testTimeout     = 20 * time.Second // a test that waits so long has failed
	longTimeout     = 15 * time.Second // of a request that is to be served
	testIdleTimeout = 30 * time.Second // of connections to engines
	testSockets     = 1024
)

// settingsJSON are the settings of tests; the verb is ConnIdleNs.
const settingsJSON = `{"PeersTotal":1,"RoundNs":5000000,"MachineTypes":["std"],
 "Domain":{"SizeCores":[8],"KindMemoryMb":[16384],"WidthByClass":[1,2,1],"ClassLoad":[false,true,false]},
 "Limits":{"Cancel":true,"MaxAttempts":2,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":true,
  "ConnIdleNs":%d},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":15000000000,"FallMultiple":2.5,"FallNs":1000000000},
 "RequestClasses":[
  {"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":20000000000,"Worth":1},
  {"Name":"load","Effect":"by_key","PromiseNs":3000000000,"GiveUpNs":20000000000,"WindowNs":15000000000,
   "Worth":20,"ByArrival":true,"LateWorth":0.5},
  {"Name":"once","Effect":"once","PromiseNs":3000000000,"GiveUpNs":20000000000,"Worth":1,"LateWorth":0.5}]}`

// testSettings returns the settings of tests with an idle timeout of connections to engines.
func testSettings(t *testing.T, idleTimeout time.Duration) config.Settings {
	t.Helper()
	settings, err := config.DecodeSettings(fmt.Appendf(nil, settingsJSON, idleTimeout))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// testServer is a running broker with a fake change log.
type testServer struct {
	t          *testing.T
	server     *Server
	addr       string
	changelog  *fakeChangelog
	logs       *observer.ObservedLogs
	stopSignal chan struct{}
	ended      chan error // what Run returned
}

// serverOptions are what a test may change of a broker; zero values are the usual ones.
type serverOptions struct {
	meter       Meter
	idleTimeout time.Duration // of connections to engines
	sockets     int
	configure   func(*config.Config)
}

// startServer runs a broker whose change log lists endpoints, until the test ends.
func startServer(t *testing.T, endpoints ...string) *testServer {
	t.Helper()
	return startServerWith(t, serverOptions{}, endpoints...)
}

func startServerWith(t *testing.T, o serverOptions, endpoints ...string) *testServer {
	t.Helper()
	if o.idleTimeout == 0 {
		o.idleTimeout = testIdleTimeout
	}
	if o.sockets == 0 {
		o.sockets = testSockets
	}
	known := parsePage(t, pageJSON(1, true, endpoints...))
	s := &testServer{
		t: t, changelog: newFakeChangelog(t), stopSignal: make(chan struct{}), ended: make(chan error, 1),
	}
	cfg := config.Config{
		Listen: "127.0.0.1:0", Changelog: s.changelog.addr, Sockets: o.sockets,
		Known: known, Settings: testSettings(t, o.idleTimeout),
	}
	if o.configure != nil {
		o.configure(&cfg)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	s.logs = logs
	ctx, cancel := context.WithCancel(t.Context())
	var err error
	if s.server, err = New(ctx, cfg, zap.New(core)); err != nil {
		t.Fatal(err)
	}
	if o.meter != nil {
		s.server.SetMeter(o.meter)
	}
	s.addr = s.server.Addr().String()
	go func() { s.ended <- s.server.Run(ctx, s.stopSignal) }()
	t.Cleanup(func() {
		cancel()
		s.waitForEnd()
	})
	return s
}

// waitForEnd waits until Run has returned without an error. It may be called more than once.
func (s *testServer) waitForEnd() {
	s.t.Helper()
	err := socktest.Receive(s.t, s.ended, "the broker's end")
	s.ended <- err
	if err != nil {
		s.t.Error(err)
	}
}

// endAcceptWindow begins a shutdown in the loop, with the time for new requests over already.
func (s *testServer) endAcceptWindow() {
	s.server.loop.inbox <- func() {
		s.server.beginShutdown()
		s.server.shutdown.requestedAt = time.Now().Add(-s.server.shutdown.acceptWindow)
	}
}

// publish has the change log answer with a page, and waits until the broker polls from its revision on.
func (s *testServer) publish(page string, revision int) {
	s.t.Helper()
	select {
	case s.changelog.pages <- page:
	case <-time.After(testTimeout):
		s.t.Fatal("nobody polls")
	}
	since := fmt.Sprintf("since=%d&", revision)
	for poll := ""; !strings.Contains(poll, since); {
		poll = socktest.Receive(s.t, s.changelog.polls, "a poll")
	}
}

// endReasons waits for the log lines of an ended connection and joins their codes.
func (s *testServer) endReasons(peer string) string {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lines := s.logs.FilterField(zap.String("peer", peer)).All()
		if len(lines) == 0 {
			continue
		}
		codes := make([]string, 0, len(lines))
		for _, line := range lines {
			codes = append(codes, fmt.Sprint(line.ContextMap()["reason"]))
		}
		return strings.Join(codes, ",")
	}
	return "none"
}

// expectEnd waits for the log line of an ended connection, which must have one reason.
func (s *testServer) expectEnd(peer string, want netconn.Reason) {
	s.t.Helper()
	if got := s.endReasons(peer); got != string(want) {
		s.t.Errorf("the connection of %s ended as %s, want %s", peer, got, want)
	}
}

// streamCount returns how many attempts and probes are on connections to engines.
func (s *testServer) streamCount() int {
	return inLoop(s, func(server *Server) int { return server.pool.Stats().Streams })
}

// reconfigurePool changes the configuration of the pool of connections to engines.
func (s *testServer) reconfigurePool(change func(*enginepool.Config)) {
	inLoop(s, func(server *Server) bool {
		poolConfig := server.pool.Config()
		change(&poolConfig)
		server.pool.Reconfigure(poolConfig)
		return true
	})
}

// inLoop returns what f returns in the broker's loop.
func inLoop[T any](s *testServer, f func(*Server) T) T {
	s.t.Helper()
	got := make(chan T, 1)
	s.server.loop.inbox <- func() { got <- f(s.server) }
	return socktest.Receive(s.t, got, "the loop's answer")
}
