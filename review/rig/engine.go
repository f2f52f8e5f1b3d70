package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is one attempt at an engine.
type Attempt struct {
	Engine    *Engine
	ID        string
	Fields    map[string]string
	Body      string
	Began     time.Time     // when it had come whole
	Cancelled chan struct{} // closed at never_mind or at the end of its connection
	conn      *engineConn
	once      sync.Once
}

func (a *Attempt) cancel() { a.once.Do(func() { close(a.Cancelled) }) }

// Reply writes an answer.
func (a *Attempt) Reply(word, fields, body string) { a.conn.send(a.ID, word, fields, body) }

// Patience returns the time that the broker will wait.
func (a *Attempt) Patience() time.Duration {
	ms, _ := strconv.Atoi(a.Fields["patience"])
	return time.Duration(ms) * time.Millisecond
}

// RunFor works for a time and serves one page. It stops when the attempt is given up or its time is over, and reports
// whether it ended well.
func (a *Attempt) RunFor(work time.Duration, page string) bool {
	timer := time.NewTimer(min(work, a.Patience()))
	defer timer.Stop()
	select {
	case <-a.Cancelled:
		return false
	case <-timer.C:
	}
	if work > a.Patience() {
		return false
	}
	a.Reply("OK", fmt.Sprintf("sheets=1,toil=%d,room=64", work.Milliseconds()), page)
	return true
}

// Engine is an engine that listens on loopback. Handle runs on a goroutine for each attempt.
type Engine struct {
	ID     string
	Handle func(*Attempt)

	listener net.Listener
}

type engineConn struct {
	net.Conn
	mu       sync.Mutex
	attempts map[string]*Attempt
}

func (c *engineConn) send(parts ...string) { c.write(Message(nil, parts...)) }

func (c *engineConn) write(message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(c.Conn, message)
}

// Message returns a RESP array of bulk strings. lengths replaces its length figures, by their position in the message
// (0: that of the array).
func Message(lengths map[int]int, parts ...string) string {
	length := func(i, n int) int {
		if other, ok := lengths[i]; ok {
			return other
		}
		return n
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", length(0, len(parts)))
	for i, part := range parts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", length(i+1, len(part)), part)
	}
	return b.String()
}

// ResetConnection resets the connection under the request.
func (a *Attempt) ResetConnection() {
	if tcp, ok := a.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = a.conn.Close()
}

// ReplyRaw writes bytes in place of an answer.
func (a *Attempt) ReplyRaw(message string) { a.conn.write(message) }

// NewEngine returns an engine that serves.
func NewEngine(id string, handle func(*Attempt)) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Handle: handle, listener: listener}
	go e.accept()
	return e, nil
}

// Addr returns the address of the engine.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(&engineConn{Conn: conn, attempts: map[string]*Attempt{}})
	}
}

func (e *Engine) serve(c *engineConn) {
	defer func() {
		c.Close()
		c.mu.Lock()
		for _, a := range c.attempts {
			a.cancel()
		}
		c.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c.Conn, 64<<10)
	for {
		parts, err := readArray(r)
		if err != nil || len(parts) < 2 {
			return
		}
		id := parts[1]
		switch parts[0] {
		case "want":
			if len(parts) != 4 {
				return
			}
			a := &Attempt{
				Engine: e, ID: id, Fields: fields(parts[2]), Body: parts[3], Began: time.Now(),
				Cancelled: make(chan struct{}), conn: c,
			}
			c.mu.Lock()
			c.attempts[id] = a
			c.mu.Unlock()
			go func() {
				e.Handle(a)
				c.mu.Lock()
				if c.attempts[id] == a {
					delete(c.attempts, id)
				}
				c.mu.Unlock()
			}()
		case "never_mind":
			c.mu.Lock()
			if a := c.attempts[id]; a != nil {
				a.cancel()
			}
			c.mu.Unlock()
		case "there":
			c.send(id, "UP", "-", "")
		case "busy":
			c.send(id, "UP", "l=queue:0;x1:0.10;x0:0.10", "")
		case "turn":
			c.send(id, "ERR", "-", "")
		}
	}
}

func fields(text string) map[string]string {
	out := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		out[name] = value
	}
	return out
}

func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, 0, count)
	for range count {
		n, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		part := make([]byte, n+2)
		if _, err := io.ReadFull(r, part); err != nil {
			return nil, err
		}
		parts = append(parts, string(part[:n]))
	}
	return parts, nil
}

func readLength(r *bufio.Reader, mark byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != mark {
		return 0, fmt.Errorf("got %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
