package server

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"wheatlane/internal/resp"
)

// fakeEngine is one that a test plays: it shows what comes and says what the test tells it to.
type fakeEngine struct {
	addr            string
	listener        net.Listener
	messages        chan engineMessage
	closed          chan struct{} // a connection ended
	answeredCommand string        // a kind of probe that is only answered
}

type engineMessage struct {
	conn  net.Conn
	words []string
}

func (s engineMessage) reply(parts ...string) { s.conn.Write(resp.Append(nil, parts...)) }
func (s engineMessage) requestID() string     { return s.words[1] }

func newFakeEngine(t *testing.T) *fakeEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEngine{addr: ln.Addr().String()}
	e.acceptOn(t, ln)
	return e
}

// acceptOn shows what comes to a listener.
func (e *fakeEngine) acceptOn(t *testing.T, ln net.Listener) {
	e.listener, e.messages, e.closed = ln, make(chan engineMessage, 1000), make(chan struct{}, 1000)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go func() {
				defer func() { nc.Close(); e.closed <- struct{}{} }()
				for buf, b := []byte(nil), make([]byte, 4096); ; {
					n, err := nc.Read(b)
					if err != nil {
						return
					}
					buf = append(buf, b[:n]...)
					for {
						parts, n, _ := resp.Parse(buf)
						if n == 0 {
							break
						}
						s := engineMessage{conn: nc}
						for _, p := range parts {
							s.words = append(s.words, string(p))
						}
						e.messages <- s
						buf = buf[n:]
					}
				}
			}()
		}
	}()
}

// expect is the next message, which must be of a kind.
func (e *fakeEngine) expect(t *testing.T, word string) engineMessage {
	t.Helper()
	s := receive(t, e.messages, word)
	for s.words[0] == e.answeredCommand {
		s.reply(s.requestID(), "UP", "-", "")
		s = receive(t, e.messages, word)
	}
	if s.words[0] != word {
		t.Fatalf("engine got %q, want %s", s.words, word)
	}
	return s
}

// newUnconnectableEngine listens, but connections to it come up only once open is called, as its queue is full until then.
func newUnconnectableEngine(t *testing.T) (e *fakeEngine, open func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { filler.Close(); file.Close() })
	e = &fakeEngine{addr: addr}
	return e, func() {
		ln, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		e.acceptOn(t, ln)
	}
}
