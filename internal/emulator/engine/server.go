package engine

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	maxStoredResults  = 512                    // results whose further pages can still be fetched
	maxQueuedAnswers  = 256                    // per connection; beyond it the connection of a slow broker is closed
	writeTimeout      = 2 * time.Second        // per answer
	minAnswerInterval = 100 * time.Microsecond // answers to queries that finish within it are sent together
	acceptRetryDelay  = time.Millisecond       // between attempts to accept while the engine is down
	readBufferSize    = 16 << 10
	memoryPerThreadMB = 16 // memory that results report
)

// Attempt is a query that an engine has received.
type Attempt struct {
	Engine, RequestID, Class, IdempotencyKey, Statement string
	Timeout                                             time.Duration // set by the broker; 0 for none
	ReceivedAt                                          time.Time
}

// Observer is notified of attempts at an engine, for the conformance checker. Its methods must not call the server, as
// they are called with its lock held.
type Observer interface {
	// AttemptReceived is called when a complete query has been received.
	AttemptReceived(a Attempt)
	// AttemptEnded is called when a query has been answered, cancelled or lost in a crash.
	AttemptEnded(engine, requestID string, at time.Time)
}

// nopObserver ignores all notifications.
type nopObserver struct{}

func (nopObserver) AttemptReceived(Attempt)                {}
func (nopObserver) AttemptEnded(string, string, time.Time) {}

// Server emulates an engine that listens on a TCP socket. It is safe for concurrent use.
type Server struct {
	ID        string
	classes   map[string]*Class
	cfg       Config
	observer  Observer
	startedAt time.Time
	wakeup    chan struct{} // signals that the model has changed

	mu          sync.Mutex // guards the fields below
	model       *Model
	listener    net.Listener
	conns       map[*brokerConn]bool
	results     map[string]result      // by request id
	resultOrder []string               // request ids of results, oldest first
	owners      map[string]*brokerConn // connection of each query in flight, by request id
	silent      bool
	crashed     bool
}

// result is a result whose further pages can be fetched.
type result struct {
	owner *brokerConn
	pages []string
}

// NewServer returns an engine that already listens at a free port of the loopback address and is past its slow start.
// observer may be nil.
func NewServer(id string, classes []Class, cfg Config, observer Observer) (*Server, error) {
	return NewServerAt(id, anyLoopbackPort, classes, cfg, observer)
}

// NewServerAt is like NewServer, but the engine listens at a given address.
func NewServerAt(id, addr string, classes []Class, cfg Config, observer Observer) (*Server, error) {
	if observer == nil {
		observer = nopObserver{}
	}
	s := &Server{
		ID: id, classes: map[string]*Class{}, cfg: cfg, observer: observer, startedAt: time.Now(),
		wakeup:  make(chan struct{}, 1),
		model:   NewModel(cfg, -cfg.SlowStartDuration),
		conns:   map[*brokerConn]bool{},
		results: map[string]result{},
		owners:  map[string]*brokerConn{},
	}
	for i := range classes {
		s.classes[classes[i].Name] = &classes[i]
	}
	return s, s.listen(addr)
}

func (s *Server) listen(address string) error {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return fmt.Errorf("engine emulator: resolve address: %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return fmt.Errorf("engine emulator: %w", err)
	}
	s.listener = listener
	return nil
}

// Addr returns the address that the engine listens at.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// now returns the current time in the model.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// SetSlowdown makes queries take factor times as long from now on. A factor below 1 counts as 1.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetSlowdown(s.now(), factor)
	s.notifyWorker()
}

// SetSilent makes the engine stop or resume sending; its connections stay open. Answers that are due while it is
// silent are dropped.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Crash ends the engine like a killed process: its queries are lost and its connections are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	_ = s.listener.Close() // an error changes nothing in a crash
	for c := range s.conns {
		c.reset()
	}
	for requestID := range s.owners {
		s.endAttempt(requestID)
	}
	s.model = NewModel(s.cfg, s.now())
	s.results, s.resultOrder, s.owners = map[string]result{}, nil, map[string]*brokerConn{}
}

// Restart starts the engine again after a crash, in slow start, at its previous address or a new one. It does nothing
// if the engine has not crashed.
func (s *Server) Restart(newAddress bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return nil
	}
	addr := s.listener.Addr().String()
	if newAddress {
		addr = anyLoopbackPort
	}
	if err := s.listen(addr); err != nil {
		return err
	}
	s.model = NewModel(s.cfg, s.now())
	s.crashed = false
	s.notifyWorker()
	return nil
}

// notifyWorker makes answerCompletions advance the model.
func (s *Server) notifyWorker() {
	select {
	case s.wakeup <- struct{}{}:
	default: // a notification is pending
	}
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		s.answerCompletions(ctx)
		return nil
	})
	g.Go(func() error {
		stop := context.AfterFunc(ctx, s.closeSockets)
		defer stop()
		s.accept(ctx, g)
		return nil
	})
	return g.Wait()
}

// closeSockets closes the listener and all connections. It ignores errors, as the server ends.
func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.socket.Close()
	}
}

// accept serves each connection in a goroutine of g, until ctx is done.
func (s *Server) accept(ctx context.Context, g *errgroup.Group) {
	for ctx.Err() == nil {
		s.mu.Lock()
		listener := s.listener
		s.mu.Unlock()
		socket, err := listener.Accept()
		if err != nil { // the engine has crashed and may be restarted
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		g.Go(func() error {
			s.serve(ctx, socket)
			return nil
		})
	}
}

// answerCompletions answers queries as the model completes them, until ctx is done.
func (s *Server) answerCompletions(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-timer.C:
		}
		s.mu.Lock()
		for _, c := range s.model.Advance(s.now()) {
			s.finish(c)
		}
		at, ok := s.model.Next()
		now := s.now()
		s.mu.Unlock()
		if ok {
			timer.Reset(max(minAnswerInterval, at-now))
		} else {
			timer.Stop()
		}
	}
}

// finish answers a completed query. s.mu must be held.
func (s *Server) finish(done Completion) {
	c := s.owners[done.RequestID]
	s.endAttempt(done.RequestID)
	if c != nil {
		s.sendResult(c, done.RequestID, done.Class, done.Work)
	}
}

// endAttempt removes the owner of a query and notifies the observer, unless the query has no owner. s.mu must be held.
func (s *Server) endAttempt(requestID string) {
	if _, inFlight := s.owners[requestID]; !inFlight {
		return
	}
	delete(s.owners, requestID)
	s.observer.AttemptEnded(s.ID, requestID, time.Now())
}

// sendResult sends the first page of a result and stores the result if it has more. s.mu must be held.
func (s *Server) sendResult(c *brokerConn, requestID string, class *Class, work time.Duration) {
	pages := class.Result(requestID)
	if len(pages) > 1 {
		s.storeResult(requestID, result{c, pages})
	}
	workMS := float64(work) / float64(time.Millisecond)
	fields := fmt.Sprintf("sheets=%d,toil=%.1f,room=%d", len(pages), workMS, memoryPerThreadMB*class.Threads)
	s.send(c, requestID, statusOK, fields, pages[0])
}

// storeResult stores a result, and evicts the oldest at maxStoredResults. s.mu must be held.
func (s *Server) storeResult(requestID string, r result) {
	if len(s.resultOrder) >= maxStoredResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
	s.results[requestID] = r
	s.resultOrder = append(s.resultOrder, requestID)
}
