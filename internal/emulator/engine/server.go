package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/resp"
)

const (
	mostKept   = 512                    // results whose pages may still be asked for
	mostOut    = 256                    // answers that wait for a connection; a broker that reads none loses it
	writeWait  = 2 * time.Second        // for one answer
	gatherWait = 100 * time.Microsecond // answers that are ready together leave together
)

// Run is a query as the engine took it.
type Run struct {
	Engine, Ref, Class, Op, Body string
	At                           time.Time
}

// Observer is told what an engine sees, for whoever checks the rules.
type Observer interface {
	// AttemptReceived says that a query came whole.
	AttemptReceived(r Run)
	// AttemptEnded says that a query's end was written, or that it was given up.
	AttemptEnded(engine, ref string, at time.Time)
}

// Server plays an engine on sockets.
type Server struct {
	ID      string
	classes map[string]*Class
	cfg     Config
	watch   Observer

	mu     sync.Mutex
	model  *Model
	began  time.Time
	ln     net.Listener
	conns  map[*conn]bool
	kept   map[string]kept // results by id
	order  []string
	silent bool
	kick   chan struct{}
	owner  map[string]*conn // of what runs
	down   bool
}

type kept struct {
	c     *conn
	pages []string
}

// conn is a broker's connection.
type conn struct {
	nc  net.Conn
	out chan []byte
}

// NewServer returns an engine that listens at a loopback address already.
func NewServer(id string, classes []Class, cfg Config, watch Observer) (*Server, error) {
	s := &Server{ID: id, classes: map[string]*Class{}, cfg: cfg, watch: watch, began: time.Now(), conns: map[*conn]bool{},
		kept: map[string]kept{}, kick: make(chan struct{}, 1), owner: map[string]*conn{}}
	for i := range classes {
		s.classes[classes[i].Name] = &classes[i]
	}
	s.model = NewModel(cfg, -cfg.SlowStartDuration) // it is warm
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in engine: %w", err)
	}
	s.ln = ln
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// Slow makes everything take so many times as long.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Slow(s.now(), factor)
	s.wake()
}

// Silence lets it say nothing more, with its connections open, or speak again. What it would have said is gone.
func (s *Server) Silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// Crash ends it as a process ends that is killed: what runs is gone, and connections are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.ln.Close()
	for c := range s.conns {
		if tcp, ok := c.nc.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // it is closed next
		}
		c.nc.Close()
	}
	for ref := range s.owner {
		s.ended(ref)
	}
	s.model = NewModel(s.cfg, s.now())
	s.kept, s.order, s.owner = map[string]kept{}, nil, map[string]*conn{}
}

// Return starts it again after a crash, cold, at its old address or at another one.
func (s *Server) Return(elsewhere bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return nil
	}
	addr := s.ln.Addr().String()
	if elsewhere {
		addr = "127.0.0.1:0"
	}
	if err := s.listen(addr); err != nil {
		return err
	}
	s.model = NewModel(s.cfg, s.now())
	s.down = false
	s.wake()
	return nil
}

func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.work(ctx) })
	g.Go(func() error {
		stop := context.AfterFunc(ctx, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ln.Close()
			for c := range s.conns {
				c.nc.Close()
			}
		})
		defer stop()
		for ctx.Err() == nil {
			s.mu.Lock()
			ln := s.ln
			s.mu.Unlock()
			nc, err := ln.Accept()
			if err != nil { // it crashed, and may come back
				select {
				case <-ctx.Done():
				case <-time.After(time.Millisecond):
				}
				continue
			}
			g.Go(func() error { s.serve(ctx, nc); return nil })
		}
		return nil
	})
	return g.Wait()
}

// work answers what the model ends.
func (s *Server) work(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		case <-timer.C:
		}
		s.mu.Lock()
		for _, d := range s.model.Advance(s.now()) {
			s.finish(d)
		}
		at, ok := s.model.Next()
		now := s.now()
		s.mu.Unlock()
		if ok {
			timer.Reset(max(gatherWait, at-now))
		} else {
			timer.Stop()
		}
	}
}

// finish answers a query that ran; s.mu is held.
func (s *Server) finish(d Done) {
	c := s.owner[d.Ref]
	s.ended(d.Ref)
	if c == nil {
		return
	}
	s.result(c, d.Ref, d.Class, d.Work)
}

// result answers with the first page and keeps the others.
func (s *Server) result(c *conn, ref string, class *Class, work time.Duration) {
	pages := class.Result(ref)
	if len(pages) > 1 {
		if len(s.order) >= mostKept {
			delete(s.kept, s.order[0])
			s.order = s.order[1:]
		}
		s.kept[ref] = kept{c, pages}
		s.order = append(s.order, ref)
	}
	fields := fmt.Sprintf("sheets=%d,toil=%.1f,room=%d", len(pages), float64(work)/float64(time.Millisecond), 16*class.Threads)
	s.say(c, ref, "OK", fields, pages[0])
}

func (s *Server) ended(ref string) {
	if _, there := s.owner[ref]; !there {
		return
	}
	delete(s.owner, ref)
	if s.watch != nil {
		s.watch.AttemptEnded(s.ID, ref, time.Now())
	}
}

// say sends an answer; s.mu is held.
func (s *Server) say(c *conn, parts ...string) {
	if s.silent {
		return
	}
	select {
	case c.out <- resp.Append(nil, parts...):
	default:
		c.nc.Close() // it reads nothing
	}
}

// serve reads a broker's connection, and writes it in a goroutine of its own.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := &conn{nc: nc, out: make(chan []byte, mostOut)}
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.conns[c] = true
	if s.down {
		nc.Close()
	}
	s.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		defer nc.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case b := <-c.out:
				if err := nc.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
					return err
				}
				if _, err := nc.Write(b); err != nil {
					return err
				}
			}
		}
	})
	var buf []byte
	b := make([]byte, 16<<10)
	for {
		n, err := nc.Read(b)
		buf = append(buf, b[:n]...)
		used, bad := s.take(c, buf)
		buf = append(buf[:0], buf[used:]...)
		if err != nil || bad != nil {
			break
		}
	}
	cancel()
	nc.Close()
	g.Wait() //nolint:errcheck // a connection that ends is no fault here
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for ref, o := range s.owner { // all that is open on it is given up
		if o == c {
			s.model.Cancel(s.now(), ref)
			s.ended(ref)
		}
	}
	s.wake()
}

var errCommand = errors.New("engine: a command that is not known")

// take takes the whole commands off buf and returns how many bytes that were.
func (s *Server) take(c *conn, buf []byte) (used int, err error) {
	for {
		parts, n, err := resp.Parse(buf[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		words := make([]string, 0, len(parts))
		for _, p := range parts {
			words = append(words, string(p))
		}
		s.mu.Lock()
		err = s.command(c, words)
		s.wake()
		s.mu.Unlock()
		if err != nil {
			return used, err
		}
	}
}

// command carries out one command; s.mu is held.
func (s *Server) command(c *conn, words []string) error {
	if len(words) < 2 {
		return errCommand
	}
	id := words[1]
	switch {
	case words[0] == "want" && len(words) == 4:
		s.want(c, id, words[2], words[3])
	case words[0] == "never_mind" && len(words) == 2:
		if s.owner[id] == c && s.model.Cancel(s.now(), id) {
			s.ended(id)
		}
	case words[0] == "hurry" && len(words) == 3: // priorities are not heeded
	case words[0] == "turn" && len(words) == 3:
		k, there := s.kept[id]
		page, err := strconv.Atoi(words[2])
		if !there || err != nil || page < 0 || page >= len(k.pages) {
			s.say(c, id, "ERR", "-", "no such page")
			return nil
		}
		s.say(c, id, "ROWS", "sheet="+words[2], k.pages[page])
	case words[0] == "shut" && len(words) == 2:
		delete(s.kept, id)
	case words[0] == "there" && len(words) == 2:
		s.say(c, id, "UP", "-", "")
	case words[0] == "busy" && len(words) == 2:
		jobs, threads := s.model.Running()
		s.say(c, id, "UP", fmt.Sprintf("l=queue:%d;x1:%.3f;x0:%.3f", max(0, jobs-s.cfg.Sessions/2), min(1, threads/s.cfg.Cores), min(1, threads/s.cfg.Cores/2)), "")
	default:
		return errCommand
	}
	return nil
}

// want takes a query; s.mu is held.
func (s *Server) want(c *conn, id, fields, body string) {
	values := map[string]string{}
	for f := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(f, "=")
		values[name] = value
	}
	class := s.classes[values["sort"]]
	if s.watch != nil {
		s.watch.AttemptReceived(Run{Engine: s.ID, Ref: id, Class: values["sort"], Op: values["op"], Body: body, At: time.Now()})
	}
	if s.watch != nil {
		defer func() {
			if s.owner[id] == nil { // it is over already
				s.watch.AttemptEnded(s.ID, id, time.Now())
			}
		}()
	}
	if class == nil {
		s.say(c, id, "ERR", "-", "no such class")
		return
	}
	switch s.model.Submit(s.now(), Job{Ref: id, Class: class, Op: values["op"], Group: group(body)}) {
	case Full:
		s.say(c, id, "BUSY", "-", "")
	case Dropped:
		s.result(c, id, class, 0)
	case Runs:
		s.owner[id] = c
	}
}

// group is the number of the data set in a statement's schema, as in sales_17.orders.
func group(body string) int {
	_, after, _ := strings.Cut(body, "_")
	digits, _, _ := strings.Cut(after, ".")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return n
}
