package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/resp"
)

const testTimeout = 20 * time.Second // limit of each wait in a test

// recordingObserver records the ids of the attempts that it is notified of.
type recordingObserver struct {
	mu       sync.Mutex
	received []string
	ended    []string
}

func (o *recordingObserver) AttemptReceived(a Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received = append(o.received, a.RequestID+" "+a.Class)
}

func (o *recordingObserver) AttemptEnded(_, requestID string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, requestID)
}

func (o *recordingObserver) expectCounts(t *testing.T, received, ended int) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.received) != received || len(o.ended) != ended {
		t.Fatalf("received %q, ended %q, want %d and %d", o.received, o.ended, received, ended)
	}
}

// testBroker is the broker's end of a connection.
type testBroker struct {
	t      *testing.T
	socket net.Conn
	unread []byte
}

func dial(t *testing.T, s *Server) *testBroker {
	t.Helper()
	socket, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() }) // the engine may have closed it
	return &testBroker{t: t, socket: socket}
}

func (b *testBroker) send(parts ...string) {
	b.t.Helper()
	if _, err := b.socket.Write(resp.Append(nil, parts...)); err != nil {
		b.t.Fatal(err)
	}
}

// next returns the next answer as "ID STATUS PAGE/PAGES", without its body, or "closed" at the end of the connection.
func (b *testBroker) next() string {
	b.t.Helper()
	if err := b.socket.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		b.t.Fatal(err)
	}
	buf := make([]byte, 4096)
	for {
		parts, n, err := resp.Parse(b.unread)
		if err != nil {
			b.t.Fatal(err)
		}
		if n > 0 {
			response, err := resp.ParseResponse(parts)
			if err != nil {
				b.t.Fatal(err)
			}
			answer := fmt.Sprintf("%s %s %d/%d", response.RequestID, parts[1], response.Page, response.PageCount)
			b.unread = b.unread[n:]
			return answer
		}
		n, err = b.socket.Read(buf)
		b.unread = append(b.unread, buf[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			return "closed"
		}
		if err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *testBroker) expect(answer string) {
	b.t.Helper()
	if got := b.next(); got != answer {
		b.t.Fatalf("received %s, want %s", got, answer)
	}
}

// request sends a command and expects an answer.
func (b *testBroker) request(answer string, parts ...string) {
	b.t.Helper()
	b.send(parts...)
	b.expect(answer)
}

var (
	quickClass = Class{Name: "lookup", MeanWork: time.Millisecond, Threads: 1, MeanRows: 3}
	wideClass  = Class{Name: "report", MeanWork: time.Millisecond, Threads: 4, MeanRows: 2000}
	slowClass  = Class{Name: "slow", MeanWork: time.Hour, Threads: 1, MeanRows: 1}
)

// startServer runs an engine with a limit of two queries in flight, until the test ends.
func startServer(t *testing.T, observer Observer) *Server {
	t.Helper()
	cfg := Config{Cores: 4, SaturationPoint: 2, MaxQueries: 2, DedupWindow: time.Minute}
	s, err := NewServer("e1", []Class{quickClass, wideClass, slowClass}, cfg, observer)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// The server answers each command of the protocol as specified, also after a crash and a restart.
func TestServerImplementsProtocol(t *testing.T) {
	observer := &recordingObserver{}
	s := startServer(t, observer)
	b := dial(t, s)
	t.Run("probes", func(t *testing.T) {
		b.t = t
		b.request("t1 UP 0/0", "there", "t1")
		b.request("t2 UP 0/0", "busy", "t2")
	})
	t.Run("queries", func(t *testing.T) {
		b.t = t
		b.request("q1 OK 0/1", "want", "q1", "sort=lookup,patience=100,op=k1", "SELECT 1 FROM chart_7.s")
		b.request("q2 OK 0/1", "want", "q2", "sort=lookup,patience=100,op=k1", "SELECT 1 FROM chart_7.s") // duplicate key
		b.request("q3 ERR 0/0", "want", "q3", "sort=odd", "x")
	})
	t.Run("pages", func(t *testing.T) {
		b.t = t
		pages := len(wideClass.Result("q4"))
		b.request(fmt.Sprintf("q4 OK 0/%d", pages), "want", "q4", "sort=report", "x")
		b.request("q4 ROWS 1/0", "turn", "q4", "1")
		b.request("q4 ERR 0/0", "turn", "q4", fmt.Sprint(pages))
		b.send("shut", "q4")
		b.request("q4 ERR 0/0", "turn", "q4", "1")
	})
	other := dial(t, s)
	t.Run("capacity", func(t *testing.T) {
		b.t, other.t = t, t
		b.send("want", "q5", "sort=slow", "x")
		b.send("want", "q6", "sort=slow", "x")
		b.request("q7 BUSY 0/0", "want", "q7", "sort=slow", "x")
		b.send("never_mind", "q5") // no answer
		b.send("hurry", "q6", "3") // no answer
		b.request("q8 OK 0/1", "want", "q8", "sort=lookup", "x")
		other.request("q9 OK 0/1", "want", "q9", "sort=lookup", "x")
	})
	t.Run("crash and restart", func(t *testing.T) {
		testCrashAndRestart(t, s, b, other)
	})
	observer.expectCounts(t, 10, 10)
}

// testCrashAndRestart crashes an engine with two connections and restarts it at another address.
func testCrashAndRestart(t *testing.T, s *Server, b, other *testBroker) {
	t.Helper()
	b.t, other.t = t, t
	s.Crash()
	b.expect("closed")
	other.expect("closed")
	if socket, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Addr()); err == nil {
		_ = socket.Close()
		t.Fatal("the engine listens after its crash")
	}
	if err := s.Restart(true); err != nil {
		t.Fatal(err)
	}
	again := dial(t, s)
	again.request("q1 OK 0/1", "want", "q1", "sort=lookup,op=k1", "x") // the crash cleared the dedup window
	again.send("nonsense", "x")
	again.expect("closed")
}
