package server

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/netconn"
)

// A client for which there is no socket left is rejected at once, though nothing that connected before it has been
// looked at.
func TestSocketsBeyondTheLimitAreRejected(t *testing.T) {
	const maxClients = 28 // 64 less 16 for engines, 16 of its own and 4 of rejected clients
	s := startServerWith(t, serverOptions{sockets: 64})
	held := HoldLoop(t, s.server)
	for range maxClients {
		s.dial()
	}
	rejected := s.dial()
	rejected.expect("1040", "closed")
	s.expectEnd(rejected.localAddr(), netconn.TooManyConnections)
	held.Release()
}

// failingListener fails some calls ahead of those that its listener answers.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("no descriptors")
	}
	return l.Listener.Accept()
}

// A listener that fails for a moment goes on to accept.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	s := &Server{
		listener: &failingListener{Listener: listenTCP(t), failures: 3}, log: zap.NewNop(), group: &errgroup.Group{},
		inbox: make(chan func(), 1), clientSlots: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.accept(ctx) }()
	dialTCP(t, s.listener.Addr().String())
	receive(t, s.inbox, "the client")
	cancel()
	if err := receive(t, ended, "the end"); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if err := s.group.Wait(); err != nil {
		t.Error(err)
	}
}

// violations records the rules that were broken.
type violations struct {
	nopMeter
	rules []invariant.Rule
}

func (v *violations) InvariantViolated(rule invariant.Rule) { v.rules = append(v.rules, rule) }

func (v *violations) expect(t *testing.T, want invariant.Rule) {
	t.Helper()
	if len(v.rules) != 1 || v.rules[0] != want {
		t.Errorf("violations %v, want %v", v.rules, want)
	}
}

// An answer to a client whose connection has been shut down is a violation, as it can't leave; one to a client that has
// gone is none.
func TestAnswerAfterTheEndIsAViolation(t *testing.T) {
	near, far := connectedPair(t)
	_ = far.Close() // so that the end of the other side is waited for no longer
	broken := &violations{}
	c := newClient(&Server{}, 7, near)
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.Quit})
	err := c.conn.Run(t.Context(), func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	if reason := netconn.ReasonOf(err); reason != netconn.Quit {
		t.Fatalf("ended as %s", reason)
	}
	s := &Server{clients: map[broker.Session]*client{7: c}, meter: broken, log: zap.NewNop()}
	s.sendReply(broker.Reply{Session: 8, Kind: broker.ReplyOK})
	if len(broken.rules) > 0 {
		t.Errorf("an answer to a client that has gone is a violation of %v", broken.rules)
	}
	s.sendReply(broker.Reply{Session: 7, Kind: broker.ReplyOK})
	broken.expect(t, invariant.AnswerBeforeClose)
}

// Bytes that are read on a connection that has been shut down are a violation, as they can't be answered.
func TestReadAfterTheEndIsAViolation(t *testing.T) {
	broken := &violations{}
	s := &Server{inbox: make(chan func(), 1), meter: broken, log: zap.NewNop()}
	waitUntil(t, "bytes are read ahead of the close", func() bool { return readAfterTheEnd(t, s) })
	receive(t, s.inbox, "the violation")()
	broken.expect(t, invariant.NoReadAfterShutdown)
}

// readAfterTheEnd has a client's bytes read once its connection has been shut down. It returns false if the socket was
// closed before.
func readAfterTheEnd(t *testing.T, s *Server) (read bool) {
	t.Helper()
	near, far := connectedPair(t)
	c := newClient(s, 7, near)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.Quit})
	_ = c.conn.Run(t.Context(), func(ctx context.Context) error { // its error is the reason above
		for c.conn.FinishedFor() == nil {
			runtime.Gosched()
		}
		received, err := c.receive(ctx)
		read = received
		return err
	})
	return read
}

// The first reason to close a client's connection counts, and one that was not greeted yet ends at once.
func TestFirstReasonToCloseCounts(t *testing.T) {
	near, _ := connectedPair(t)
	c := newClient(&Server{}, 7, near)
	c.close(&netconn.EndError{Reason: netconn.EvictedIdle})
	c.close(&netconn.EndError{Reason: netconn.Shutdown})
	err := c.conn.Run(t.Context(), c.read)
	if reason := netconn.ReasonOf(err); reason != netconn.EvictedIdle {
		t.Errorf("ended as %s", reason)
	}
}
