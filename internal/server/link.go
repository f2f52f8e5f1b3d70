package server

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/ring"
)

const (
	// latestLeave bounds how long bytes for an engine may wait before they leave, in the buffer or behind others
	// that the system does not take. It guards the rule on drains: a send that the module decided on before it was
	// told must not leave after the grace. leaveWithin has the bound of a deployment.
	latestLeave = 400 * time.Millisecond
	gracePart   = 0.8 // of the deployment's grace, whose rest is for the way
	// writeWait bounds a write to others. What waited in the buffer is still written: a late answer is better
	// than none after a standstill of this process.
	writeWait = 5 * time.Second
)

// leaveWithin is how long bytes for an engine may wait, where those told of a drain must have left within grace. A
// deployment that gives no grace leaves the bound to the program.
func leaveWithin(grace time.Duration) time.Duration {
	if grace <= 0 {
		return latestLeave
	}
	return min(latestLeave, time.Duration(gracePart*float64(grace)))
}

// link is a connection with its two ring buffers and the goroutine that writes.
type link struct {
	nc    net.Conn
	stale time.Duration // bytes that waited so long must not leave; 0: any may
	in    *ring.Buffer  // of the goroutine that reads

	mu        sync.Mutex
	out       *ring.Buffer
	put, sent int64 // bytes put into out and taken by the system, or taken back, since the start
	handed    int64 // as sent, and what a call that is under way has been given
	puts      []put // what is in out, in order
	marks     []mark
	closing   *ended // end so once out is empty
	parted    *ended // closing, once that is so
	kick      chan struct{}
}

// put is what one write put into the buffer.
type put struct {
	at, end int64
	when    time.Time
	back    bool // taken back: not a byte of it is to leave
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
	if _, err := l.out.Write(p); err != nil {
		return 0, err
	}
	at := l.put
	l.put += int64(len(p))
	l.puts = append(l.puts, put{at: at, end: l.put, when: time.Now()})
	l.wake()
	return at, nil
}

// takeBack takes back what was put at an offset, if not one byte of it can have left: it never will.
func (l *link) takeBack(at int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := slices.BinarySearchFunc(l.puts, at, func(p put, at int64) int { return cmp.Compare(p.at, at) })
	if !ok || at < l.handed {
		return false
	}
	l.puts[i].back = true
	l.wake()
	return true
}

// cut takes back all of which not one byte has left and returns the number of bytes that may have: the link is about to
// close, and what is beyond that number is said never to have left, so it must not any more.
func (l *link) cut() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.puts {
		l.puts[i].back = l.puts[i].back || l.puts[i].at >= l.handed
	}
	return l.handed
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parted != nil { // the other side may have ended first, as it was told to
		return l.parted
	}
	return err
}

// drain writes what is put, until the link ends.
func (l *link) drain(ctx context.Context) error {
	conn, ok := l.nc.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no socket", l.nc)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.kick:
		}
		if err := l.push(raw); err != nil {
			return err
		}
		l.mu.Lock()
		closing := l.closing
		if l.out.Len() > 0 {
			closing = nil // it was put since, and has its kick
		}
		l.parted = closing
		l.mu.Unlock()
		if closing != nil {
			if closing.Reason != MadeRoom { // it said nothing that could be unread, and its place is wanted
				l.partWith()
			}
			return closing
		}
	}
}

// push writes until nothing is left. It waits outside of the calls that write, so that what the system does not
// take can still be taken back, and what it has not taken is known never to have left.
func (l *link) push(raw syscall.RawConn) error {
	for {
		until, ok := l.next()
		l.mark(0)
		if !ok {
			return nil
		}
		if err := l.nc.SetWriteDeadline(until); err != nil {
			return err
		}
		var failed error
		err := raw.Write(func(fd uintptr) bool {
			for {
				p := l.take()
				if len(p) == 0 {
					return true
				}
				n, err := syscall.Write(int(fd), p)
				l.mark(max(n, 0))
				switch {
				case err == syscall.EAGAIN:
					return false
				case err != nil && err != syscall.EINTR:
					failed = os.NewSyscallError("write", err)
					return true
				}
			}
		})
		switch {
		case failed != nil:
			return failed
		case err != nil && isTimeout(err):
			// What waited longest may have left meanwhile, and what is behind it came later.
			if until, ok := l.next(); l.stale == 0 || ok && !time.Now().Before(until) {
				return &ended{WriteTimeout, err}
			}
		case err != nil:
			return err
		}
	}
}

// next is when the bytes that are next to leave must have left; false if nothing waits.
func (l *link) next() (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skip()
	if len(l.puts) == 0 {
		return time.Time{}, false
	}
	if l.stale > 0 {
		return l.puts[0].when.Add(l.stale), true
	}
	return time.Now().Add(writeWait), true
}

// take gives the bytes that are next to leave, up to those that were taken back. Until mark they count as if they
// had left.
func (l *link) take() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skip()
	p, _ := l.out.Segments()
	if i := slices.IndexFunc(l.puts, func(o put) bool { return o.back }); i >= 0 {
		p = p[:min(int64(len(p)), l.puts[i].at-l.sent)]
	}
	l.handed = l.sent + int64(len(p))
	return p
}

// mark takes the count of bytes that left, and does what they held up.
func (l *link) mark(n int) {
	l.mu.Lock()
	l.pass(n)
	l.handed = l.sent
	i := 0
	for i < len(l.marks) && l.marks[i].at <= l.sent {
		i++
	}
	due := l.marks[:i:i]
	l.marks = l.marks[i:]
	l.mu.Unlock()
	for _, m := range due { // not under the lock: it may wait for the reducer
		m.do()
	}
}

// skip passes over what was taken back.
func (l *link) skip() {
	for len(l.puts) > 0 && l.puts[0].back {
		l.pass(int(l.puts[0].end - l.sent))
	}
}

// pass moves on by n bytes of out.
func (l *link) pass(n int) {
	if n == 0 {
		return
	}
	l.out.Discard(n)
	l.sent += int64(n)
	i := 0
	for i < len(l.puts) && l.puts[i].end <= l.sent {
		i++
	}
	l.puts = slices.Delete(l.puts, 0, i)
}

// partWith ends what is written and reads on until the other side has ended as well, for a while: closing with bytes
// unread would reset the connection, and could destroy the last words on their way.
func (l *link) partWith() {
	tcp, ok := l.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	enough := time.AfterFunc(lingerTime, func() { l.nc.Close() })
	defer enough.Stop()
	io.CopyN(io.Discard, l.nc, lingerBytes) //nolint:errcheck // however it ends, that is enough
}
