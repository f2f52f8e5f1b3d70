package node

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/ring"
)

const (
	// engineWait bounds how long bytes for an engine may wait before they leave, be it in the buffer or in a
	// write that blocks. It guards the rule on drains: a send that the module decided on before it was told must
	// not leave after the grace.
	engineWait = 400 * time.Millisecond
	// writeWait bounds a write to others. What waited in the buffer is still written: a late answer is better
	// than none after a standstill of this process.
	writeWait = 5 * time.Second
)

// link is a connection with its two ring buffers and the goroutine that writes.
type link struct {
	nc    net.Conn
	stale time.Duration // bytes that waited so long must not leave; 0: any may
	in    *ring.Buffer  // of the goroutine that reads

	mu        sync.Mutex
	out       *ring.Buffer
	put, sent int64     // bytes put into out and taken by the kernel since the start
	handed    int64     // and those that a write has been given, which may be under way
	since     time.Time // when the oldest byte in out came, or a little before
	marks     []mark
	closing   *ended // end so once out is empty
	kick      chan struct{}
}

// mark is something to do once the bytes before it have left.
type mark struct {
	at int64
	do func()
}

func newLink(nc net.Conn, stale time.Duration, mostIn, mostOut int) *link {
	return &link{nc: nc, stale: stale, in: ring.New(mostIn), out: ring.New(mostOut), kick: make(chan struct{}, 1)}
}

// write puts p into the buffer and returns the offset of its first byte. It never blocks.
func (l *link) write(p []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out.Len() == 0 {
		l.since = time.Now()
	}
	if _, err := l.out.Write(p); err != nil {
		return 0, err
	}
	at := l.put
	l.put += int64(len(p))
	l.wake()
	return at, nil
}

// then calls do, on the goroutine that writes, once all that was put so far has left.
func (l *link) then(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marks = append(l.marks, mark{l.put, do})
	l.wake()
}

// finish ends the link once all that was put so far has left.
func (l *link) finish(why *ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing == nil {
		l.closing = why
	}
	l.wake()
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// left is the number of bytes that may have left. While a write is under way it counts as if all of it had:
// what is beyond this number is proven not to have.
func (l *link) left() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handed
}

// empty tells whether all that was put has left.
func (l *link) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Len() == 0
}

// run reads and writes until either ends, and returns why. The socket is closed then.
func (l *link) run(ctx context.Context, read func(context.Context) error) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { l.nc.Close() })
	defer stop()
	g.Go(func() error {
		err := read(ctx)
		if err == nil {
			err = &ended{Reason: PeerClosed}
		}
		return err
	})
	g.Go(func() error { return l.drain(ctx) })
	err := g.Wait()
	l.nc.Close()
	return err
}

// drain writes what is put, until the link ends.
func (l *link) drain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.kick:
		}
		for {
			l.mu.Lock()
			one, two := l.out.Segments()
			since, closing := l.since, l.closing
			l.handed = l.sent + int64(len(one)+len(two))
			l.mu.Unlock()
			now := time.Now()
			n, err := l.send(one, two, since, now)
			for _, m := range l.wrote(n, now) {
				m.do()
			}
			if err != nil {
				if isTimeout(err) {
					return &ended{WriteTimeout, err}
				}
				return err
			}
			if len(one) == 0 {
				if closing != nil {
					return closing
				}
				break
			}
		}
	}
}

// send writes what waits since a time.
func (l *link) send(one, two []byte, since, now time.Time) (int, error) {
	if len(one) == 0 {
		return 0, nil
	}
	until := now.Add(writeWait)
	if l.stale > 0 {
		until = since.Add(l.stale)
	}
	if err := l.nc.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	n, err := l.nc.Write(one)
	if err == nil && len(two) > 0 {
		var more int
		more, err = l.nc.Write(two)
		n += more
	}
	return n, err
}

// wrote takes the count of bytes that left in a write that began at a time, and returns what they held up.
func (l *link) wrote(n int, began time.Time) []mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 {
		l.out.Discard(n)
		l.sent += int64(n)
		l.since = began
	}
	l.handed = l.sent
	i := 0
	for i < len(l.marks) && l.marks[i].at <= l.sent {
		i++
	}
	due := l.marks[:i:i]
	l.marks = l.marks[i:]
	return due
}
