package main

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

// attempt is one request that came whole to an engine.
type attempt struct {
	engine, id, class, key, body string
	patience                     time.Duration
	begun                        time.Time // its last byte was read
	ended                        time.Time // its answer was written or it was given up; zero: it is out
	end                          string
}

// engines is a group of stand-ins for query engines. They keep no rule but those of the wire.
type engines struct {
	rec *record
	// work returns how long an attempt runs and the answer: a result, or BUSY, ERR.
	work func(a *attempt) (time.Duration, string)

	mu       sync.Mutex
	attempts []*attempt
	all      []*engine
}

type engine struct {
	group *engines
	id    string
	addr  string
	lis   net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	inflight int
}

func (g *engines) add(id string) *engine {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	e := &engine{group: g, id: id, addr: lis.Addr().String(), lis: lis, conns: map[net.Conn]bool{}}
	g.all = append(g.all, e)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e
}

// list returns the attempts that came so far.
func (g *engines) list() []attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]attempt, 0, len(g.attempts))
	for _, a := range g.attempts {
		out = append(out, *a)
	}
	return out
}

// readArray reads one RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, count)
	for i := range parts {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		buf := make([]byte, size+2)
		if _, err := io.ReadFull(in, buf); err != nil {
			return nil, err
		}
		parts[i] = string(buf[:size])
	}
	return parts, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 3 || line[0] != kind {
		return 0, fmt.Errorf("malformed: %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

func array(parts ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(parts))
	for _, p := range parts {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(p), p)
	}
	return out
}

func fieldsOf(text string) map[string]string {
	out := map[string]string{}
	for _, f := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(f, "="); ok {
			out[name] = value
		}
	}
	return out
}

func (e *engine) serve(conn net.Conn) {
	var writing sync.Mutex
	open := map[string]*attempt{}
	pages := map[string][]string{}
	var mu sync.Mutex
	g := e.group
	send := func(parts ...string) {
		writing.Lock()
		defer writing.Unlock()
		conn.Write(array(parts...))
	}
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		for _, a := range open {
			g.finish(a, "given up: connection closed")
			e.change(-1)
		}
		clear(open)
	}()
	in := bufio.NewReader(conn)
	for {
		parts, err := readArray(in)
		if err != nil || len(parts) < 2 {
			return
		}
		switch parts[0] {
		case "want":
			f := fieldsOf(parts[2])
			ms, _ := strconv.Atoi(f["patience"])
			a := &attempt{
				engine: e.id, id: parts[1], class: f["sort"], key: f["op"], body: parts[3],
				patience: time.Duration(ms) * time.Millisecond, begun: time.Now(),
			}
			g.mu.Lock()
			g.attempts = append(g.attempts, a)
			g.mu.Unlock()
			g.rec.linef(a.begun, "engine %s: want %s %s (%d bytes)", e.id, a.id, parts[2], len(a.body))
			mu.Lock()
			open[a.id] = a
			mu.Unlock()
			e.change(1)
			took, word := g.work(a)
			began := time.Now()
			time.AfterFunc(took, func() {
				mu.Lock()
				if open[a.id] != a {
					mu.Unlock()
					return
				}
				delete(open, a.id)
				result := resultPages(a)
				pages[a.id] = result
				mu.Unlock()
				e.change(-1)
				g.finish(a, word)
				if word == "OK" {
					worked := time.Since(began).Milliseconds()
					send(a.id, "OK", fmt.Sprintf("sheets=%d,toil=%d,room=20", len(result), max(1, worked)), result[0])
				} else {
					send(a.id, word, "-", "")
				}
			})
		case "never_mind", "shut":
			mu.Lock()
			a := open[parts[1]]
			delete(open, parts[1])
			delete(pages, parts[1])
			mu.Unlock()
			if a != nil {
				e.change(-1)
				g.finish(a, "given up: "+parts[0])
			}
		case "turn":
			mu.Lock()
			result := pages[parts[1]]
			mu.Unlock()
			n, _ := strconv.Atoi(parts[2])
			if n < 1 || n >= len(result) {
				send(parts[1], "ERR", "-", "")
			} else {
				send(parts[1], "ROWS", "sheet="+parts[2], result[n])
			}
		case "there":
			send(parts[1], "UP", "-", "")
		case "busy":
			e.mu.Lock()
			load := float64(e.inflight) / 64
			e.mu.Unlock()
			send(parts[1], "UP", fmt.Sprintf("l=queue:0;x1:%.2f;x0:%.2f", min(1, load), min(1, load)), "")
		}
	}
}

func (e *engine) change(by int) {
	e.mu.Lock()
	e.inflight += by
	e.mu.Unlock()
}

// resultPages returns the pages of a result: one row that names the attempt.
func resultPages(a *attempt) []string { return []string{a.id + "\t" + a.engine + "\trow\n"} }

func (g *engines) finish(a *attempt, end string) {
	g.mu.Lock()
	a.ended, a.end = time.Now(), end
	g.mu.Unlock()
	g.rec.linef(a.ended, "engine %s: end %s %s", a.engine, a.id, end)
}
