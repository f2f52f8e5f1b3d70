package server

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"wheatlane/internal/resp"
	"wheatlane/internal/socktest"
)

// Commands sent to engines.
const (
	commandStart     = "want"
	commandFetchPage = "turn"
	commandRelease   = "shut"
	commandCancel    = "never_mind"
	commandLoadProbe = "busy"
	commandLiveness  = "there"
)

// fakeEngine is an engine whose responses are sent by the test.
type fakeEngine struct {
	addr            string
	listener        net.Listener
	messages        chan engineMessage // messages received
	closed          chan struct{}      // one value per connection that ended
	answeredCommand string             // answered immediately by expect and not returned to the test
}

// engineMessage is a message from the broker to an engine.
type engineMessage struct {
	conn  net.Conn
	words []string
}

func (m engineMessage) command() string   { return m.words[0] }
func (m engineMessage) requestID() string { return m.words[1] }

// fields and body are valid for messages that start an attempt.
func (m engineMessage) fields() string { return m.words[2] }
func (m engineMessage) body() string   { return m.words[3] }

// write writes raw bytes. It ignores errors, as the connection may have ended; the test detects that elsewhere.
func (m engineMessage) write(raw []byte) { _, _ = m.conn.Write(raw) }

func (m engineMessage) reply(parts ...string) { m.write(resp.Append(nil, parts...)) }

// replyOK replies without rows.
func (m engineMessage) replyOK() { m.reply(m.requestID(), "OK", "sheets=1", "") }

// replyRows replies with a result of one page.
func (m engineMessage) replyRows(rows string) { m.write(resultMessage(m.requestID(), rows)) }

// closeConn closes the connection that the message was received on.
func (m engineMessage) closeConn() { _ = m.conn.Close() }

// resultMessage returns a response with a result of one page.
func resultMessage(requestID, rows string) []byte {
	return resp.Append(nil, requestID, "OK", "sheets=1", rows)
}

// newFakeEngine starts an engine that runs until the test ends.
func newFakeEngine(t *testing.T) *fakeEngine {
	t.Helper()
	listener := socktest.Listen(t)
	e := &fakeEngine{addr: listener.Addr().String()}
	e.acceptOn(t, listener)
	return e
}

// acceptOn accepts connections of a listener and reads their messages.
func (e *fakeEngine) acceptOn(t *testing.T, listener net.Listener) {
	t.Helper()
	e.listener, e.messages, e.closed = listener, make(chan engineMessage, 1000), make(chan struct{}, 1000)
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	socktest.Serve(t, listener, func(_ int, conn net.Conn) { go e.read(conn) })
}

// read delivers the messages of a connection until it ends.
func (e *fakeEngine) read(conn net.Conn) {
	defer func() {
		_ = conn.Close() // the test may have closed it
		e.closed <- struct{}{}
	}()
	var unread []byte
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		unread = e.deliver(conn, append(unread, buf[:n]...))
	}
}

// deliver passes the complete messages of a connection to the test and returns the bytes after them.
func (e *fakeEngine) deliver(conn net.Conn, unread []byte) []byte {
	for {
		parts, n, _ := resp.Parse(unread) // malformed bytes are not delivered; the test times out
		if n == 0 {
			return unread
		}
		words := make([]string, 0, len(parts))
		for _, p := range parts {
			words = append(words, string(p))
		}
		e.messages <- engineMessage{conn: conn, words: words}
		unread = unread[n:]
	}
}

// expect returns the next message, whose command must be want.
func (e *fakeEngine) expect(t *testing.T, want string) engineMessage {
	t.Helper()
	m := socktest.Receive(t, e.messages, want)
	for m.command() == e.answeredCommand {
		m.reply(m.requestID(), "UP", "-", "")
		m = socktest.Receive(t, e.messages, want)
	}
	if m.command() != want {
		t.Fatalf("engine received %q, want command %s", m.words, want)
	}
	return m
}

// expectAttempt returns the next message, which must start an attempt.
func (e *fakeEngine) expectAttempt(t *testing.T) engineMessage {
	t.Helper()
	return e.expect(t, commandStart)
}

// expectReleaseAndAttempt expects the next two messages to release an attempt and to start another one. They come on
// two connections, so either may be read first.
func (e *fakeEngine) expectReleaseAndAttempt(t *testing.T) (release, attempt engineMessage) {
	t.Helper()
	first := socktest.Receive(t, e.messages, "a release or an attempt")
	if first.command() == commandRelease {
		return first, e.expectAttempt(t)
	}
	if first.command() != commandStart {
		t.Fatalf("engine received %q, want a release or an attempt", first.words)
	}
	return e.expect(t, commandRelease), first
}

// expectCancel expects the next message to cancel an attempt.
func (e *fakeEngine) expectCancel(t *testing.T, attempt engineMessage) {
	t.Helper()
	if m := e.expect(t, commandCancel); m.requestID() != attempt.requestID() {
		t.Fatalf("cancelled %s, want %s", m.requestID(), attempt.requestID())
	}
}

// newUnconnectableEngine returns an engine that listens with a full accept queue, so that connections to it are
// established only after open is called.
func newUnconnectableEngine(t *testing.T) (e *fakeEngine, open func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { _ = file.Close() }) // open's listener has a duplicate of the descriptor
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	e = &fakeEngine{addr: fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)}
	socktest.Dial(t, e.addr) // fills the accept queue
	return e, func() {
		listener, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		e.acceptOn(t, listener)
	}
}
