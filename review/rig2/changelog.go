package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// changelog is a stand-in for the change log.
type changelog struct {
	rec      *record
	addr     string
	listener *net.TCPListener
	accepted chan net.Conn

	mu      sync.Mutex
	events  []map[string]any
	changed chan struct{} // closed with the next event
	back    chan struct{} // closed while the change log is there
	fillers []net.Conn    // fill the listener's queue while it has vanished
}

// newChangelog listens with a queue of one connection, so that a few fill it.
func newChangelog(rec *record) *changelog {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 1)
	}
	if err != nil {
		fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	file.Close()
	if err != nil {
		fatal(err)
	}
	c := &changelog{
		rec: rec, addr: listener.Addr().String(), listener: listener.(*net.TCPListener), accepted: make(chan net.Conn),
		changed: make(chan struct{}), back: make(chan struct{}),
	}
	close(c.back)
	go c.acceptWhileThere()
	go (&http.Server{Handler: c}).Serve(c)
	return c
}

// acceptWhileThere accepts connections unless the change log has vanished.
func (c *changelog) acceptWhileThere() {
	for {
		<-c.there()
		c.listener.SetDeadline(time.Now().Add(20 * time.Millisecond))
		if conn, err := c.listener.Accept(); err == nil {
			c.accepted <- conn
		}
	}
}

// Accept implements net.Listener, as Close and Addr do.
func (c *changelog) Accept() (net.Conn, error) { return <-c.accepted, nil }
func (c *changelog) Close() error              { return nil }
func (c *changelog) Addr() net.Addr            { return c.listener.Addr() }

// there returns a channel that is closed while the change log is there.
func (c *changelog) there() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.back
}

// vanish makes the change log vanish as a machine does: open connections stay open and silent, and new ones never come
// up, as the queue of the listening socket is full.
func (c *changelog) vanish() {
	c.mu.Lock()
	c.back = make(chan struct{})
	c.mu.Unlock()
	time.Sleep(40 * time.Millisecond) // nothing is accepted any more
	for range 8 {
		conn, err := net.DialTimeout("tcp", c.addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		c.fillers = append(c.fillers, conn)
	}
	c.rec.linef(time.Now(), "change log: vanished")
}

// appear ends what vanish began. The connections from before end.
func (c *changelog) appear() {
	for _, conn := range c.fillers {
		conn.Close()
	}
	c.fillers = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.back)
	c.rec.linef(time.Now(), "change log: back")
}

type host struct {
	engine *engine
	state  string
	born   int64 // Unix millisecond; 0: long ago
}

// tell adds an event. The first event holds the whole list.
func (c *changelog) tell(hosts ...host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := len(c.events) + 1
	list := []map[string]any{}
	for i, h := range hosts {
		c.rec.linef(time.Now(), "change log: event %d: %s %s", seq, h.engine.id, h.state)
		list = append(list, map[string]any{
			"host": h.engine.id, "dial": h.engine.addr, "site": "dc", "class": "std-8core", "block": i / 4,
			"health": h.state, "share": 1, "born_ms": h.born,
		})
	}
	c.events = append(c.events, map[string]any{
		"seq": seq, "fleet": map[string]any{"seq": seq, "whole": seq == 1, "hosts": list},
	})
	close(c.changed)
	c.changed = make(chan struct{})
}

// since returns the events after an event.
func (c *changelog) since(n int) map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := []map[string]any{}
	if n < len(c.events) {
		results = c.events[n:]
	}
	return map[string]any{"seq": len(c.events), "results": results}
}

// ServeHTTP answers a call when there are later events, or when its time is over.
func (c *changelog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	c.rec.linef(time.Now(), "change log: asked since %d by %s", n, r.RemoteAddr)
	c.mu.Lock()
	changed, later := c.changed, len(c.events) > n
	c.mu.Unlock()
	if !later {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	body, _ := json.Marshal(c.since(n))
	select {
	case <-c.there():
	default: // vanished: nothing is said, and the connection ends with the return
		<-c.there()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}
