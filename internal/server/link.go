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
	// maxEngineSendDelay bounds how long bytes for an engine may wait before they leave, in the buffer or behind others
	// that the system does not take. It guards the rule on drains: a send that the module decided on before it was
	// told must not leave after the grace. leaveWithin has the bound of a deployment.
	maxEngineSendDelay = 400 * time.Millisecond
	drainGraceFraction = 0.8 // of the deployment's grace, whose rest is for the way
	// writeTimeout bounds a write to others. What waited in the buffer is still written: a late answer is better
	// than none after a standstill of this process.
	writeTimeout = 5 * time.Second
)

// engineSendDelay is how long bytes for an engine may wait, where those told of a drain must have left within grace. A
// deployment that gives no grace leaves the bound to the program.
func engineSendDelay(grace time.Duration) time.Duration {
	if grace <= 0 {
		return maxEngineSendDelay
	}
	return min(maxEngineSendDelay, time.Duration(drainGraceFraction*float64(grace)))
}

// bufferedConn is a connection with its two ring buffers and the goroutine that writes.
type bufferedConn struct {
	socket       net.Conn
	maxSendDelay time.Duration // bytes that waited so long must not leave; 0: any may
	received     *ring.Buffer  // of the goroutine that reads

	mu                     sync.Mutex
	pending                *ring.Buffer
	queuedBytes, sentBytes int64         // bytes put into out and taken by the system, or taken back, since the start
	handedBytes            int64         // as sent, and what a call that is under way has been given
	writes                 []queuedWrite // what is in out, in order
	hooks                  []sentHook
	closeReason            *endError // end so once out is empty
	closedFor              *endError // closing, once that is so
	wakeup                 chan struct{}
}

// queuedWrite is what one write put into the buffer.
type queuedWrite struct {
	start, end int64
	queuedAt   time.Time
	withdrawn  bool // taken back: not a byte of it is to leave
}

// sentHook is something to do once the bytes before it have left.
type sentHook struct {
	offset int64
	call   func()
}

func newBufferedConn(socket net.Conn, maxSendDelay time.Duration, maxReceive, maxSend int) *bufferedConn {
	return &bufferedConn{socket: socket, maxSendDelay: maxSendDelay, received: ring.New(maxReceive), pending: ring.New(maxSend), wakeup: make(chan struct{}, 1)}
}

// write puts p into the buffer and returns the offset of its first byte. It never blocks.
func (l *bufferedConn) write(p []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.pending.Write(p); err != nil {
		return 0, err
	}
	at := l.queuedBytes
	l.queuedBytes += int64(len(p))
	l.writes = append(l.writes, queuedWrite{start: at, end: l.queuedBytes, queuedAt: time.Now()})
	l.wake()
	return at, nil
}

// withdraw takes back what was put at an offset, if not one byte of it can have left: it never will.
func (l *bufferedConn) withdraw(at int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := slices.BinarySearchFunc(l.writes, at, func(p queuedWrite, at int64) int { return cmp.Compare(p.start, at) })
	if !ok || at < l.handedBytes {
		return false
	}
	l.writes[i].withdrawn = true
	l.wake()
	return true
}

// withdrawAll takes back all of which not one byte has left and returns the number of bytes that may have: the link is about to
// close, and what is beyond that number is said never to have left, so it must not any more.
func (l *bufferedConn) withdrawAll() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.writes {
		l.writes[i].withdrawn = l.writes[i].withdrawn || l.writes[i].start >= l.handedBytes
	}
	return l.handedBytes
}

// afterSent calls do, on the goroutine that writes, once all that was put so far has left.
func (l *bufferedConn) afterSent(call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hooks = append(l.hooks, sentHook{l.queuedBytes, call})
	l.wake()
}

// closeAfterSent ends the link once all that was put so far has left.
func (l *bufferedConn) closeAfterSent(reason *endError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeReason == nil {
		l.closeReason = reason
	}
	l.wake()
}

func (l *bufferedConn) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// allSent tells whether all that was put has left.
func (l *bufferedConn) allSent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.Len() == 0
}

// run reads and writes until either ends, and returns why. The socket is closed then.
func (l *bufferedConn) run(ctx context.Context, read func(context.Context) error) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { l.socket.Close() })
	defer stop()
	g.Go(func() error {
		err := read(ctx)
		if err == nil {
			err = &endError{Reason: PeerClosed}
		}
		return err
	})
	g.Go(func() error { return l.writeLoop(ctx) })
	err := g.Wait()
	l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closedFor != nil { // the other side may have ended first, as it was told to
		return l.closedFor
	}
	return err
}

// writeLoop writes what is put, until the link ends.
func (l *bufferedConn) writeLoop(ctx context.Context) error {
	conn, ok := l.socket.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no socket", l.socket)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wakeup:
		}
		if err := l.flush(raw); err != nil {
			return err
		}
		l.mu.Lock()
		closing := l.closeReason
		if l.pending.Len() > 0 {
			closing = nil // it was put since, and has its kick
		}
		l.closedFor = closing
		l.mu.Unlock()
		if closing != nil {
			if closing.Reason != EvictedIdle { // it said nothing that could be unread, and its place is wanted
				l.closeGracefully()
			}
			return closing
		}
	}
}

// flush writes until nothing is left. It waits outside of the calls that write, so that what the system does not
// take can still be taken back, and what it has not taken is known never to have left.
func (l *bufferedConn) flush(raw syscall.RawConn) error {
	for {
		until, ok := l.nextDeadline()
		l.markSent(0)
		if !ok {
			return nil
		}
		if err := l.socket.SetWriteDeadline(until); err != nil {
			return err
		}
		var failed error
		err := raw.Write(func(fd uintptr) bool {
			for {
				p := l.nextBytes()
				if len(p) == 0 {
					return true
				}
				n, err := syscall.Write(int(fd), p)
				l.markSent(max(n, 0))
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
			if until, ok := l.nextDeadline(); l.maxSendDelay == 0 || ok && !time.Now().Before(until) {
				return &endError{WriteTimeout, err}
			}
		case err != nil:
			return err
		}
	}
}

// nextDeadline is when the bytes that are next to leave must have left; false if nothing waits.
func (l *bufferedConn) nextDeadline() (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipWithdrawn()
	if len(l.writes) == 0 {
		return time.Time{}, false
	}
	if l.maxSendDelay > 0 {
		return l.writes[0].queuedAt.Add(l.maxSendDelay), true
	}
	return time.Now().Add(writeTimeout), true
}

// nextBytes gives the bytes that are next to leave, up to those that were taken back. Until mark they count as if they
// had left.
func (l *bufferedConn) nextBytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipWithdrawn()
	p, _ := l.pending.Segments()
	if i := slices.IndexFunc(l.writes, func(o queuedWrite) bool { return o.withdrawn }); i >= 0 {
		p = p[:min(int64(len(p)), l.writes[i].start-l.sentBytes)]
	}
	l.handedBytes = l.sentBytes + int64(len(p))
	return p
}

// markSent takes the count of bytes that left, and does what they held up.
func (l *bufferedConn) markSent(n int) {
	l.mu.Lock()
	l.advance(n)
	l.handedBytes = l.sentBytes
	i := 0
	for i < len(l.hooks) && l.hooks[i].offset <= l.sentBytes {
		i++
	}
	due := l.hooks[:i:i]
	l.hooks = l.hooks[i:]
	l.mu.Unlock()
	for _, m := range due { // not under the lock: it may wait for the reducer
		m.call()
	}
}

// skipWithdrawn passes over what was taken back.
func (l *bufferedConn) skipWithdrawn() {
	for len(l.writes) > 0 && l.writes[0].withdrawn {
		l.advance(int(l.writes[0].end - l.sentBytes))
	}
}

// advance moves on by n bytes of out.
func (l *bufferedConn) advance(n int) {
	if n == 0 {
		return
	}
	l.pending.Discard(n)
	l.sentBytes += int64(n)
	i := 0
	for i < len(l.writes) && l.writes[i].end <= l.sentBytes {
		i++
	}
	l.writes = slices.Delete(l.writes, 0, i)
}

// closeGracefully ends what is written and reads on until the other side has ended as well, for a while: closing with bytes
// unread would reset the connection, and could destroy the last words on their way.
func (l *bufferedConn) closeGracefully() {
	tcp, ok := l.socket.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	enough := time.AfterFunc(lingerTime, func() { l.socket.Close() })
	defer enough.Stop()
	io.CopyN(io.Discard, l.socket, lingerBytes) //nolint:errcheck // however it ends, that is enough
}
