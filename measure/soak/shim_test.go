package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/rawclient"
)

// shimmedProgram is the program with the shims, which the tests of this package share.
var shimmedProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "shimmed")
	if err == nil {
		shimmedProgram, err = buildShimmed(context.Background(), dir, "wheatlane/cmd/wheatlane")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// brokerLog is what a broker has logged.
type brokerLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *brokerLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// expectNone fails for each line with a text.
func (l *brokerLog) expectNone(t *testing.T, text string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			t.Errorf("the broker logs %s", line)
		}
	}
}

// waitFor waits for a line with a text.
func (l *brokerLog) waitFor(t *testing.T, text string) {
	t.Helper()
	const patience = 20 * time.Second // a line that takes so long never comes
	for end := time.Now().Add(patience); time.Now().Before(end); runtime.Gosched() {
		l.mu.Lock()
		found := slices.ContainsFunc(l.lines, func(line string) bool { return strings.Contains(line, text) })
		l.mu.Unlock()
		if found {
			return
		}
	}
	t.Fatalf("the broker never logs %q", text)
}

// startTestBroker starts one engine, a change log and one broker with faults, until the test ends.
func startTestBroker(t *testing.T, environment ...string) (*brokerSlot, *brokerLog) {
	t.Helper()
	e, err := engine.NewServer("e-00", engineClasses, engineSize, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = e.Run(t.Context()) }() // ends with the test
	endpoint := changelogserver.Endpoint{ID: e.ID, Addr: e.Addr(), Class: "std-8core"}
	changes, err := changelogserver.New("127.0.0.1:0", []changelogserver.Endpoint{endpoint}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = changes.Run(t.Context()) }() // ends with the test
	p, err := newProxy(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	p.setTarget(changes.Addr())
	log := &brokerLog{}
	b := &brokerSlot{
		name: "b", program: shimmedProgram, changelogProxies: [2]*proxy{p, p}, changes: changes, fleetSize: 1,
		environment: func(*brokerSlot) []string { return environment },
		onLine:      func(_ *brokerSlot, line []byte) { log.add(string(line)) },
	}
	if err := (&soak{}).prepareBroker(t.Context(), b, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	if err := b.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.current().kill() })
	return b, log
}

// askBroker sends a request and waits for a complete answer.
func askBroker(ctx context.Context, address, class string, number int) error {
	const patience = 20 * time.Second // an answer that takes so long never comes
	statement := fmt.Sprintf(
		"/* service=%s,ref=%016x,allow=1200,project=fishing-fleet,replay=op%d */ SELECT a FROM s_1.t",
		class, number+1, number,
	)
	s, err := rawclient.Connect(ctx, address, statement, func(time.Time) {})
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.ReadAnswer(time.Now().Add(patience))
	return err
}

// expectAnswer expects a whole answer, whatever it is.
func expectAnswer(t *testing.T, address string, number int) {
	t.Helper()
	if err := askBroker(t.Context(), address, "lookup", number); err != nil {
		t.Fatalf("request %d: %v", number, err)
	}
}

// faultsOf is the environment in which calls fail from and to a time after the start.
func faultsOf(errno syscall.Errno, from, to time.Duration, calls ...string) string {
	text := faultsVariable + "=1"
	for _, call := range calls {
		text += fmt.Sprintf(";%s@%d-%d=%d:1000", call, from.Milliseconds(), to.Milliseconds(), errno)
	}
	return text
}

// A broker starts though the system has no descriptors for the first moment: neither for its files nor for its
// sockets.
func TestStartWithoutDescriptorsForAMoment(t *testing.T) {
	t.Parallel()
	b, _ := startTestBroker(t, faultsOf(syscall.ENFILE, 0, 700*time.Millisecond, "open", "socket"))
	expectAnswer(t, b.listen, 1)
}

// Connections that can't be made for want of ports or buffers say nothing of the engines: none is ejected, and each
// request has its answer.
func TestLocalFaultsAreNotCountedAgainstEngines(t *testing.T) {
	t.Parallel()
	const requests = 24
	b, log := startTestBroker(t, faultsOf(syscall.EADDRNOTAVAIL, 0, time.Hour, "connect"))
	var g errgroup.Group
	for n := range requests {
		g.Go(func() error {
			return askBroker(t.Context(), b.listen, "lookup", n)
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	log.expectNone(t, "engine ejected")
}

// A client whose connection the system has taken before SIGTERM is served, though the broker can't accept it for a
// while, until after the time in which new requests are taken.
func TestAcceptFailsAcrossShutdown(t *testing.T) {
	t.Parallel()
	b, log := startTestBroker(t, faultsOf(syscall.ENFILE, 0, 1900*time.Millisecond, "accept"))
	answered := make(chan error, 1)
	go func() {
		answered <- askBroker(t.Context(), b.listen, "load", 1)
	}()
	log.waitFor(t, "accept failed")
	if err := b.terminate(b.current()); err != nil {
		t.Error(err)
	}
	if err := <-answered; err != nil {
		t.Errorf("the request was not answered: %v", err)
	}
	log.expectNone(t, "invariant violated")
}

// A read that the system ends with ETIMEDOUT is the end of the connection, not a deadline of this program.
func TestBrokenConnectionIsNoDeadline(t *testing.T) {
	t.Parallel()
	b, _ := startTestBroker(t, faultsOf(syscall.ETIMEDOUT, time.Second, 1300*time.Millisecond, "read"))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		err := askBroker(t.Context(), b.listen, "lookup", int(time.Now().UnixNano()>>20))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a request has no answer and its connection no end")
		}
	}
	expectAnswer(t, b.listen, 1)
}

// Writes for which the system has no buffers are repeated: no connection ends for them.
func TestWritesWithoutBuffersForAMoment(t *testing.T) {
	t.Parallel()
	b, _ := startTestBroker(t, faultsOf(syscall.ENOBUFS, 0, time.Second, "write"))
	for n := range 3 {
		expectAnswer(t, b.listen, n)
	}
}
