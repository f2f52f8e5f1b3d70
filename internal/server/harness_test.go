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
	testTimeout     = 20 * time.Second // limit of a single wait, after which the test fails
	longTimeout     = 15 * time.Second // client timeout of requests that are to be served
	testIdleTimeout = 30 * time.Second // idle timeout of connections to engines
	testSockets     = 1024
)

// settingsJSON is the format of the tests' settings. Its verb is for the key ConnIdleNs.
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

// testSettings returns the tests' settings with the given idle timeout of connections to engines.
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
	ended      chan error // result of Run
}

// serverOptions are a test's changes to the default broker. Zero values keep the defaults.
type serverOptions struct {
	meter       Meter
	idleTimeout time.Duration // idle timeout of connections to engines
	sockets     int
	configure   func(*config.Config)
}

// startServer starts a broker whose endpoint list has the given entries, and which runs until the test ends.
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
		Listen: "127.0.0.1:0", Changelog: s.changelog.addr, MaxDescriptors: o.sockets,
		InitialEndpoints: known, Settings: testSettings(t, o.idleTimeout),
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

// waitForEnd waits until Run returns, which must be without an error. It may be called more than once.
func (s *testServer) waitForEnd() {
	s.t.Helper()
	err := socktest.Receive(s.t, s.ended, "the broker's end")
	s.ended <- err
	if err != nil {
		s.t.Error(err)
	}
}

// endAcceptWindow begins a shutdown whose accept window has already elapsed.
func (s *testServer) endAcceptWindow() {
	s.server.loop.inbox <- func() {
		s.server.beginShutdown()
		s.server.shutdown.requestedAt = time.Now().Add(-s.server.shutdown.acceptWindow)
	}
}

// publish responds to the next poll with a page, and waits until the broker polls from the page's revision.
func (s *testServer) publish(page string, revision int) {
	s.t.Helper()
	select {
	case s.changelog.pages <- page:
	case <-time.After(testTimeout):
		s.t.Fatal("the broker does not poll the change log")
	}
	since := fmt.Sprintf("since=%d&", revision)
	for poll := ""; !strings.Contains(poll, since); {
		poll = socktest.Receive(s.t, s.changelog.polls, "a poll")
	}
}

// endReasons waits for the log lines of an ended connection and returns their reason codes, separated by commas.
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

// expectEnd waits for the log line of an ended connection, whose reason must be want.
func (s *testServer) expectEnd(peer string, want netconn.Reason) {
	s.t.Helper()
	if got := s.endReasons(peer); got != string(want) {
		s.t.Errorf("connection to %s ended as %s, want %s", peer, got, want)
	}
}

// streamCount returns the number of attempts and probes on connections to engines.
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

// inLoop calls f in the broker's loop and returns its result.
func inLoop[T any](s *testServer, f func(*Server) T) T {
	s.t.Helper()
	got := make(chan T, 1)
	s.server.loop.inbox <- func() { got <- f(s.server) }
	return socktest.Receive(s.t, got, "the result of the call in the loop")
}
