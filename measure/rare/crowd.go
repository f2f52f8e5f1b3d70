package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/conformance"
)

const (
	dialWait  = 2 * time.Second
	longest   = 1500 * time.Millisecond // a client waits up to this before it leaves
	leaveGap  = 20 * time.Millisecond   // between clients that come to leave, in the mean
	keySpace  = 260 * time.Millisecond  // between requests of one key, as clients keep it
	killClose = 500 * time.Millisecond  // from KILL QUERY to the close, by the protocol
	keys      = 4
)

// crowd is clients that leave before their answers, and some that rest until the broker ends them.
type crowd struct {
	addr  string
	judge *conformance.Checker
	kinds []client.Class

	mu    sync.Mutex
	rng   *rand.Rand
	count uint32
	next  [keys]time.Time // when the next request of a key may be written
}

func newCrowd(addr string, seed uint64, judge *conformance.Checker) *crowd {
	c := &crowd{addr: addr, judge: judge, rng: rand.New(rand.NewPCG(seed, 2))}
	for i, allow := range []time.Duration{2 * time.Second, 20 * time.Second, 25 * time.Second} {
		c.kinds = append(c.kinds, client.Class{Engine: cluster.Classes[i], Timeout: allow})
	}
	return c
}

func (c *crowd) drawn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *crowd) ref() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Sprintf("cccc%012x", c.count)
}

// leave lets clients come and leave until ctx ends.
func (c *crowd) leave(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(leavers)
	for ctx.Err() == nil {
		g.Go(func() error { return c.one(ctx) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.drawn(int(2 * leaveGap)))):
		}
	}
	return g.Wait()
}

// one asks once and leaves after a while, if no answer came.
func (c *crowd) one(ctx context.Context) error {
	kind := c.kinds[[]int{0, 0, 1, 2, 2, 2}[c.drawn(6)]]
	key := ""
	if kind.Engine.HoldsDataSetLock {
		n := c.drawn(keys)
		key = fmt.Sprintf("%016x", n+1)
		c.mu.Lock()
		at := time.Now()
		if c.next[n].After(at) {
			at = c.next[n]
		}
		c.next[n] = at.Add(keySpace)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(at)):
		}
	}
	ref := c.ref()
	s, err := c.dial(kind.Text(ref, cluster.Tenants[c.drawn(2)], "op"+ref, key, c.drawn(24), false), func(at time.Time) {
		c.judge.RequestSent(conformance.Request{ID: ref, Class: kind.Engine.Name, Key: key, SentAt: at, Timeout: kind.Timeout})
	})
	if err != nil {
		return nil // it is stopping
	}
	defer s.nc.Close()
	s.nc.SetReadDeadline(time.Now().Add(time.Duration(c.drawn(int(longest)))))
	answer, err := s.packet()
	if err == nil {
		c.judge.RequestEnded(ref, outcome(answer), time.Now())
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.judge.RequestEnded(ref, conformance.Unanswered, time.Now())
		return nil
	}
	switch c.drawn(3) {
	case 0:
		killer, err := c.dial(fmt.Sprintf("KILL QUERY %d", s.id), func(time.Time) {})
		if err != nil { // it is stopping, so the close that follows is all that it hears
			s.nc.Close()
			c.judge.RequestEnded(ref, conformance.ClientLeft, time.Now())
			return nil
		}
		defer killer.nc.Close()
		c.judge.RequestEnded(ref, conformance.ClientLeft, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(killClose):
		}
	case 1:
		s.nc.(*net.TCPConn).SetLinger(0)
		fallthrough
	default:
		s.nc.Close()
		c.judge.RequestEnded(ref, conformance.ClientLeft, time.Now())
	}
	return nil
}

// rest lets clients be answered once and rest. Each asks again once its connection is shut, and tells of what it asks. The
// function that it returns waits for them.
func (c *crowd) rest(ctx context.Context, shut func(ref string)) (wait func() error) {
	var g errgroup.Group
	var ready sync.WaitGroup
	for range resting {
		ready.Add(1)
		g.Go(func() error {
			s, err := c.dial("PING", func(time.Time) {}) // no fields: it is answered at once, and nothing is sent on
			if err != nil {
				ready.Done()
				return fmt.Errorf("a client that rests: %w", err)
			}
			defer s.nc.Close()
			stop := context.AfterFunc(ctx, func() { s.nc.Close() })
			defer stop()
			_, err = s.packet()
			ready.Done()
			if err != nil {
				return fmt.Errorf("a client that rests: %w", err)
			}
			if _, err := s.r.ReadByte(); !errors.Is(err, io.EOF) {
				return nil // reset, or ended by us
			}
			ref := c.ref()
			shut(ref)
			c.judge.RequestSent(conformance.Request{ID: ref, Class: c.kinds[0].Engine.Name, SentAt: time.Now(), Timeout: c.kinds[0].Timeout})
			c.judge.RequestEnded(ref, conformance.ClientLeft, time.Now()) // no answer is owed to what crosses a close
			s.nc.Write(query(c.kinds[0].Text(ref, cluster.Tenants[0], "op"+ref, "", 0, false)))
			io.Copy(io.Discard, s.r)
			return nil
		})
	}
	ready.Wait()
	return g.Wait
}

// session is a client's connection.
type session struct {
	nc net.Conn
	r  *bufio.Reader
	id uint32
}

// dial connects and writes login and a first statement at once. asked is told as that is written.
func (c *crowd) dial(text string, asked func(time.Time)) (*session, error) {
	nc, err := net.DialTimeout("tcp", c.addr, dialWait)
	if err != nil {
		return nil, err
	}
	s := &session{nc: nc, r: bufio.NewReader(nc)}
	login := packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
	asked(time.Now())
	if _, err := nc.Write(append(login, query(text)...)); err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetReadDeadline(time.Now().Add(dialWait))
	greeting, err := s.packet()
	if err == nil && len(greeting) > 0 && greeting[0] != 0xff {
		if _, rest, ok := bytes.Cut(greeting[1:], []byte{0}); ok && len(rest) >= 4 {
			s.id = binary.LittleEndian.Uint32(rest)
			_, err = s.packet() // the login's OK
		}
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetReadDeadline(time.Time{})
	return s, nil
}

func packet(seq byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func query(text string) []byte { return packet(0, "\x03"+text) }

func (s *session) packet() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(s.r, payload)
	return payload, err
}

// outcome reads the first packet of an answer. Rows are not held against what engines make: other clients' are.
func outcome(answer []byte) conformance.Outcome {
	if len(answer) < 3 || answer[0] != 0xff {
		return conformance.Served
	}
	switch code := int(answer[1]) | int(answer[2])<<8; code {
	case 1040, 1203, 1226:
		return conformance.Rejected
	}
	return conformance.Failed
}
