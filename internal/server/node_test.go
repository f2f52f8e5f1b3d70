package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
	"wheatlane/internal/mysql"
	"wheatlane/internal/resp"
)

const patience = 20 * time.Second // a test that waits so long has failed

// next takes from a channel, or fails.
func next[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// engine is one that a test plays: it shows what comes and says what the test tells it to.
type engine struct {
	addr   string
	ln     net.Listener
	got    chan said
	closed chan struct{} // a connection ended
	past   string        // a kind of probe that is only answered
}

type said struct {
	conn  net.Conn
	parts []string
}

func (s said) reply(parts ...string) { s.conn.Write(resp.Append(nil, parts...)) }
func (s said) id() string            { return s.parts[1] }

func newEngine(t *testing.T) *engine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{addr: ln.Addr().String()}
	e.serve(t, ln)
	return e
}

// serve shows what comes to a listener.
func (e *engine) serve(t *testing.T, ln net.Listener) {
	e.ln, e.got, e.closed = ln, make(chan said, 1000), make(chan struct{}, 1000)
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
						s := said{conn: nc}
						for _, p := range parts {
							s.parts = append(s.parts, string(p))
						}
						e.got <- s
						buf = buf[n:]
					}
				}
			}()
		}
	}()
}

// next is the next message, which must be of a kind.
func (e *engine) next(t *testing.T, word string) said {
	t.Helper()
	s := next(t, e.got, word)
	for s.parts[0] == e.past {
		s.reply(s.id(), "UP", "-", "")
		s = next(t, e.got, word)
	}
	if s.parts[0] != word {
		t.Fatalf("engine got %q, want %s", s.parts, word)
	}
	return s
}

// log is a change log that a test plays.
type log struct {
	polls chan string // queries that came
	pages chan string // answers to give
}

func host(id, addr, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":%d}`, id, addr, health, born)
}

func page(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":%v,"hosts":[%s]}}]}`, seq, seq, whole, strings.Join(hosts, ","))
}

// site is a broker with what is round it.
type site struct {
	t    *testing.T
	node *Server
	addr string
	log  log
	logs *observer.ObservedLogs
	stop chan struct{}
	done chan error
}

const settings = `{"PeersTotal":1,"RoundNs":5000000,"MachineTypes":["std"],
 "Domain":{"SizeCores":[8],"KindMemoryMb":[16384],"WidthByClass":[1,2,1],"ClassLoad":[false,true,false]},
 "Limits":{"Cancel":true,"MaxAttempts":2,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":true,"ConnIdleNs":%d},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":15000000000,"FallMultiple":2.5,"FallNs":1000000000},
 "RequestClasses":[{"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":20000000000,"Worth":1},
 {"Name":"load","Effect":"by_key","PromiseNs":3000000000,"GiveUpNs":20000000000,"WindowNs":15000000000,"Worth":20,"ByArrival":true,"LateWorth":0.5},
 {"Name":"once","Effect":"once","PromiseNs":3000000000,"GiveUpNs":20000000000,"Worth":1,"LateWorth":0.5}]}`

func serve(t *testing.T, hosts ...string) *site { return serveWith(t, 30*time.Second, 1024, hosts...) }

func serveWith(t *testing.T, idle time.Duration, sockets int, hosts ...string) *site {
	t.Helper()
	return serveMeasured(t, nopMeter{}, idle, sockets, hosts...)
}

func serveMeasured(t *testing.T, m Meter, idle time.Duration, sockets int, hosts ...string) *site {
	t.Helper()
	return serveChanged(t, m, idle, sockets, func(*config.Config) {}, hosts...)
}

// serveChanged starts a broker on a configuration that change has had its way with.
func serveChanged(t *testing.T, m Meter, idle time.Duration, sockets int, change func(*config.Config), hosts ...string) *site {
	t.Helper()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settings, idle))
	if err != nil {
		t.Fatal(err)
	}
	known, err := changelog.ParsePage([]byte(page(1, true, hosts...)))
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, log: log{make(chan string, 1000), make(chan string)}, stop: make(chan struct{}), done: make(chan error, 1)}
	changes := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.log.polls <- r.URL.RawQuery
		select {
		case text := <-s.log.pages:
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	core, logs := observer.New(zapcore.InfoLevel)
	s.logs = logs
	ctx, cancel := context.WithCancel(context.Background())
	cfg := config.Config{Listen: "127.0.0.1:0", Changelog: changes.Listener.Addr().String(), Sockets: sockets,
		Known: known, Settings: set}
	change(&cfg)
	n, err := New(ctx, cfg, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	n.SetMeter(m)
	s.node = n
	s.addr = n.Addr().String()
	go func() { s.done <- n.Run(ctx, s.stop) }()
	t.Cleanup(func() {
		cancel()
		if err := next(t, s.done, "the broker's end"); err != nil {
			t.Error(err)
		}
		changes.CloseClientConnections()
		changes.Close()
	})
	return s
}

// change has the change log tell something, and waits until the broker has taken it.
func (s *site) change(page string, seq int) {
	s.t.Helper()
	select {
	case s.log.pages <- page:
	case <-time.After(patience):
		s.t.Fatal("nobody polls")
	}
	for since := fmt.Sprintf("since=%d&", seq); !strings.Contains(next(s.t, s.log.polls, "a poll"), since); {
	}
}

// customer plays a MySQL client.
type customer struct {
	t  *testing.T
	nc net.Conn
	r  *bufio.Reader
	id uint32
}

func newCustomer(t *testing.T, nc net.Conn) *customer {
	return &customer{t: t, nc: nc, r: bufio.NewReader(nc)}
}

func packet(seq byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func loginAs(user string) []byte {
	return packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+user+"\x00\x00main\x00")
}

// dial connects and, in the same write, logs in and asks a first thing.
func (s *site) dial(first ...string) *customer {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	c := newCustomer(s.t, nc)
	out := loginAs("app")
	for _, text := range first {
		out = append(out, packet(0, "\x03"+text)...)
	}
	if _, err := nc.Write(out); err != nil {
		s.t.Fatal(err)
	}
	greeting := c.packet()
	_, rest, _ := strings.Cut(greeting[1:], "\x00")
	c.id = binary.LittleEndian.Uint32([]byte(rest))
	if ok := c.packet(); ok[0] != 0 {
		s.t.Fatalf("login: %q", ok)
	}
	return c
}

// packet reads one packet; empty at the end of the connection.
func (c *customer) packet() string {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(patience))
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.r, head); err != nil {
		if errors.Is(err, io.EOF) {
			return ""
		}
		c.t.Fatal(err)
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	if _, err := io.ReadFull(c.r, payload); err != nil {
		c.t.Fatal(err)
	}
	return string(payload)
}

func (c *customer) ask(text string) { c.nc.Write(packet(0, "\x03"+text)) }

// answer reads the answer: "ok", the code of an error, or the rows of a result.
func (c *customer) answer() string {
	c.t.Helper()
	switch p := c.packet(); {
	case p == "":
		return "closed"
	case p[0] == 0:
		return "ok"
	case p[0] == 0xff:
		return fmt.Sprint(int(p[1]) | int(p[2])<<8)
	}
	for range mysql.Columns + 1 {
		c.packet()
	}
	var rows strings.Builder
	for p := c.packet(); p[0] != 0xfe; p = c.packet() {
		for len(p) > 0 {
			n := int(p[0])
			rows.WriteString(p[1:1+n] + "|")
			p = p[1+n:]
		}
	}
	return "rows " + rows.String()
}

func (c *customer) want(answer string) {
	c.t.Helper()
	if got := c.answer(); got != answer {
		c.t.Fatalf("client got %s, want %s", got, answer)
	}
}

// query words a request; its id is made of a number.
func query(class string, n int, allow time.Duration, key string) string {
	text := fmt.Sprintf("service=%s,ref=%016x,allow=%d,replay=op%d", class, n, allow.Milliseconds(), n)
	if key != "" {
		text += ",lookup=" + key
	}
	return "/* " + text + " */ SELECT a FROM s_1.t"
}

const long = 15 * time.Second

// Rule 1: a request gets its one whole answer, also where login and query come ahead of the greeting and the
// result has several pages, which come in any order. What the engine is asked is what the client sent.
func TestServed(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 7, long, ""))
	w := e.next(t, "want")
	if w.id() != "0000000000000007" || w.parts[3] != "SELECT a FROM s_1.t" || !strings.HasPrefix(w.parts[2], "sort=lookup,patience=1") ||
		!strings.Contains(w.parts[2], ",op=op7") {
		t.Fatalf("engine got %q", w.parts)
	}
	w.reply(w.id(), "OK", "sheets=3,toil=5,room=1", "1\t2\t3\n")
	for range 2 {
		e.next(t, "turn")
	}
	w.reply(w.id(), "ROWS", "sheet=2", "7\t8\t9\n")
	w.reply(w.id(), "ROWS", "sheet=1", "4\t\t6\n")
	c.want("rows 1|2|3|4||6|7|8|9|")
	c.nc.Write(packet(0, "\x0e"))
	c.want("ok")
}

// Rule 1: what no engine answers is refused before the client gives up.
func TestASilentEngineCostsARefusalInTime(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, 300*time.Millisecond, ""))
	w := e.next(t, "want")
	c.want("1226")
	if m := e.next(t, "never_mind"); m.id() != w.id() {
		t.Fatalf("called off %s", m.id())
	}
}

// Rule 2: a repeat or a refusal only where it can do no harm, by what proves that nothing ran.
func TestNoEffectTwice(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		end   func(w said)
		again bool // another attempt follows
		want  string
	}{
		"busy never ran":          {"once", func(w said) { w.reply(w.id(), "BUSY", "-", "") }, true, "rows "},
		"an error may have run":   {"once", func(w said) { w.reply(w.id(), "ERR", "-", "") }, false, "1105"},
		"a reset may have run":    {"once", func(w said) { w.conn.Close() }, false, "1105"},
		"bad bytes may have run":  {"once", func(w said) { w.conn.Write([]byte("?")) }, false, "1105"},
		"a reset, keyed":          {"load", func(w said) { w.conn.Close() }, true, "rows "},
		"an error, and may again": {"lookup", func(w said) { w.reply(w.id(), "ERR", "-", "") }, true, "rows "},
	} {
		t.Run(name, func(t *testing.T) {
			e, o := newEngine(t), newEngine(t)
			s := serve(t, host("e1", e.addr, "in_service", 0), host("e2", o.addr, "in_service", 0))
			got := make(chan said)
			for _, x := range []*engine{e, o} {
				go func() {
					for m := range x.got {
						got <- m
					}
				}()
			}
			client := s.dial(query(c.class, 1, time.Second, ""))
			first := next(t, got, "an attempt")
			c.end(first)
			if c.again {
				w := next(t, got, "another attempt")
				if w.id() != first.id() || !strings.Contains(w.parts[2], "op=op1") {
					t.Fatalf("got %q", w.parts)
				}
				w.reply(w.id(), "OK", "-", "")
			}
			client.want(c.want)
			select {
			case m := <-got:
				t.Fatalf("more came: %q", m.parts)
			default:
			}
		})
	}
}

// Rule 2: a refused connect proves that nothing ran, so a refusal is true.
func TestARefusedConnectIsRefused(t *testing.T) {
	e := newEngine(t)
	e.ln.Close()
	s := serve(t, host("e1", e.addr, "in_service", 0))
	s.dial(query("once", 1, 300*time.Millisecond, "")).want("1226")
}

// Rule 3: an engine that drains gets nothing new; one that is gone loses its connections, and so does one
// whose address passes to another.
func TestDrainAndGone(t *testing.T) {
	e, o := newEngine(t), newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	s.change(page(2, false, host("e1", e.addr, "terminating", 0), host("e2", o.addr, "in_service", 0)), 2)
	for i := range 5 {
		c := s.dial(query("lookup", 10+i, long, ""))
		m := o.next(t, "want")
		m.reply(m.id(), "OK", "-", "")
		c.want("rows ")
	}
	w.reply(w.id(), "OK", "-", "x\ty\tz\n") // what it holds it may finish
	a.want("rows x|y|z|")
	s.change(page(3, false, host("e3", e.addr, "in_service", 0)), 3)
	next(t, e.closed, "the end of the old engine's connection")
	b := s.dial(query("lookup", 20, long, ""))
	var m said
	select {
	case m = <-e.got:
	case m = <-o.got:
	}
	s.change(page(4, false, host("e2", o.addr, "terminated", 0), host("e3", e.addr, "terminated", 0), host("e4", e.addr, "in_service", 0)), 4)
	w = e.next(t, "want") // its attempt was lost with the engine, and is made again
	if w.id() != m.id() {
		t.Fatalf("got %q", w.parts)
	}
	w.reply(w.id(), "OK", "-", "")
	b.want("rows ")
}

// Rule 4: a newly started engine is sent no more than the module's budget for it, however many wait.
func TestAColdEngineIsNotFlooded(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", time.Now().UnixMilli()))
	const clients = 100
	var all []*customer
	for range clients {
		all = append(all, s.dial())
	}
	for i, c := range all {
		c.ask(query("lookup", i, 500*time.Millisecond, ""))
	}
	for _, c := range all {
		c.want("1226")
	}
	wants := 0
	for len(e.got) > 0 {
		if m := <-e.got; m.parts[0] == "want" {
			wants++
		}
	}
	// 2.5 times a third of 8 cores, 85% of them busy, for a second; the module takes a lookup for 0.1 s.
	if most := 56; wants == 0 || wants > most {
		t.Fatalf("%d were sent, %d at the most", wants, most)
	}
}

// Rule 5: requests of one key run one at a time and in order, on whichever connections they come.
func TestOneAtATimeForEachKey(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	const key = "7f3a9c21e0b4d655"
	a := s.dial(query("load", 1, long, key))
	first := e.next(t, "want")
	b := s.dial(query("load", 2, long, key))
	c := s.dial(query("lookup", 3, long, "")) // taken after it, and sent: the one before waits
	other := e.next(t, "want")
	if other.id() != fmt.Sprintf("%016x", 3) {
		t.Fatalf("%s was sent while its key was busy", other.id())
	}
	other.reply(other.id(), "OK", "-", "")
	c.want("rows ")
	first.reply(first.id(), "OK", "-", "")
	a.want("rows ")
	second := e.next(t, "want")
	second.reply(second.id(), "OK", "-", "")
	b.want("rows ")
}

// A client that waits no more is told so, and so is the engine.
func TestKillQuery(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	s.dial(fmt.Sprintf("KILL QUERY %d", c.id)).want("ok")
	c.want("1317")
	if m := e.next(t, "never_mind"); m.id() != w.id() {
		t.Fatalf("called off %s", m.id())
	}
	d := s.dial(query("lookup", 2, long, ""))
	w = e.next(t, "want")
	d.nc.Close() // says as much
	if m := e.next(t, "never_mind"); m.id() != w.id() {
		t.Fatalf("called off %s", m.id())
	}
}

// SIGTERM: requests go on coming for a while, what was taken is finished, and then the broker ends well.
func TestPlannedRestart(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, long, ""))
	first := e.next(t, "want")
	close(s.stop)
	b := s.dial(query("lookup", 2, long, ""))
	second := e.next(t, "want")
	for _, w := range []said{first, second} {
		w.reply(w.id(), "OK", "-", "")
	}
	a.want("rows ")
	b.want("rows ")
	err := next(t, s.done, "the broker's end")
	if err != nil {
		t.Fatal(err)
	}
	s.done <- err // for the clean-up
}

// What a broker spent of what its fleet shares is in its log, whenever it ends: one request, its attempt, the one
// connection it took, and the calls to the change log, which differ from run to run and are only there.
func TestTheLogSaysWhatWasSpent(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	a.want("rows ")
	close(s.stop)
	err := next(t, s.done, "the broker's end")
	s.done <- err // for the clean-up
	got := map[string]uint64{}
	for _, line := range s.logs.FilterMessage("costs").All() {
		for name, v := range line.ContextMap() {
			got[name] += v.(uint64)
		}
	}
	if got["polls"] == 0 {
		t.Fatal("no call to the change log was counted")
	}
	delete(got, "polls")
	if diff := cmp.Diff(map[string]uint64{"taken": 1, "first": 1, "further": 0, "refused": 0, "probes": 0, "doubts": 0,
		"dials": 1, "tells": 0}, got); diff != "" {
		t.Fatal(diff)
	}
}

// What can't be read costs its own connection, with an answer and one log line; the rest is served on.
func TestBadInput(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	big := append([]byte{0, 0, 255, 0}, "\x03SELECT"...)
	for name, c := range map[string]struct {
		login, then []byte
		want        []string // answers after the greeting
		reason      Reason   // of its log line
	}{
		"wrong user":        {loginAs("root"), nil, []string{"1045", "closed"}, AccessDenied},
		"no login":          {packet(1, "hello"), nil, []string{"1043", "closed"}, Malformed},
		"login of sequence": {packet(3, "hello"), nil, []string{"1156", "closed"}, Malformed},
		"huge packet":       {loginAs("app"), big, []string{"ok", "1153", "closed"}, TooLarge},
		"out of order":      {loginAs("app"), packet(9, "\x0e"), []string{"ok", "1156", "closed"}, Malformed},
		"empty":             {loginAs("app"), packet(0, ""), []string{"ok", "1835", "closed"}, Malformed},
		"odd command":       {loginAs("app"), append(packet(0, "\x1d"), packet(0, "\x01")...), []string{"ok", "1047", "closed"}, Quit},
		"odd database":      {loginAs("app"), append(packet(0, "\x02x"), packet(0, "\x01")...), []string{"ok", "1049", "closed"}, Quit},
		"no fields":         {loginAs("app"), append(packet(0, "\x03SELECT 1"), packet(0, "\x01")...), []string{"ok", "1210", "closed"}, Quit},
	} {
		t.Run(name, func(t *testing.T) {
			s.logs.TakeAll()
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			peer := nc.LocalAddr().String()
			cl := &customer{t: t, nc: nc, r: bufio.NewReader(nc)}
			cl.packet()
			nc.Write(c.login)
			var got []string
			if c.then != nil {
				got = append(got, cl.answer())
				// The end of a session is read by itself, so that it does not overtake the answer before it.
				split := len(c.then)
				if c.reason == Quit {
					split -= 5
				}
				nc.Write(c.then[:split])
				got = append(got, cl.answer())
				nc.Write(c.then[split:])
			} else {
				got = append(got, cl.answer())
			}
			got = append(got, cl.answer())
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
			nc.Close()
			if got := s.reasons(peer); got != string(c.reason) {
				t.Fatalf("log lines: %q, want one with %s", got, c.reason)
			}
		})
	}
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
}

// reasons waits for the log lines of an ended connection and joins their codes.
func (s *site) reasons(peer string) string {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lines := s.logs.FilterField(zap.String("peer", peer)).All()
		if len(lines) > 0 {
			var codes []string
			for _, l := range lines {
				codes = append(codes, l.ContextMap()["reason"].(string))
			}
			return strings.Join(codes, ",")
		}
	}
	return "none"
}

// Seen on days with clients that ask once and stay: those that came later got error 1040, 5,905 in a minute.
// At the cap those make room that never log in and those that are idle; while all are busy, one more is refused.
func TestACrowdMakesRoom(t *testing.T) {
	e, o, p := newEngine(t), newEngine(t), newEngine(t) // enough to take all at once
	s := serveWith(t, 30*time.Second, 64, host("e1", e.addr, "in_service", 0), host("e2", o.addr, "in_service", 0),
		host("e3", p.addr, "in_service", 0))
	const most = 28 // 64 less 16 for engines and 16 of its own, and an eighth of that
	silent, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	first := &customer{t: t, nc: silent, r: bufio.NewReader(silent)}
	first.packet() // the greeting
	idle := s.dial()
	var busy []*customer
	for i := range most {
		busy = append(busy, s.dial(query("lookup", 1+i, long, "")))
	}
	first.want("closed")
	idle.want("closed")
	for _, c := range []struct {
		nc   net.Conn
		want Reason
	}{{silent, EvictedIdle}, {idle.nc, EvictedIdle}} {
		if got := s.reasons(c.nc.LocalAddr().String()); got != string(c.want) {
			t.Errorf("ended as %s, want %s", got, c.want)
		}
	}
	for range busy { // all are in once the engines have them
		select {
		case <-e.got:
		case <-o.got:
		case <-p.got:
		case <-time.After(patience):
			t.Fatal("not all were sent")
		}
	}
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	(&customer{t: t, nc: nc, r: bufio.NewReader(nc)}).want("1040")
}

// Whoever says nothing, or begins a message and does not end it, is closed within 3 s of connecting, however
// slowly more of it comes.
func TestWhoSaysNothingIsClosed(t *testing.T) {
	s := serve(t)
	half := packet(0, "\x03SELECT")[:8]
	for name, c := range map[string]struct {
		say  []byte
		want Reason
	}{
		"nothing":      {nil, LoginTimeout},
		"half a login": {loginAs("app")[:9], LoginTimeout},
		"half a query": {append(loginAs("app"), half...), ReadTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.Write(c.say)
			nc.SetReadDeadline(time.Now().Add(patience))
			if _, err := io.Copy(io.Discard, nc); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
			if got := s.reasons(nc.LocalAddr().String()); got != string(c.want) {
				t.Fatalf("ended as %s, want %s", got, c.want)
			}
			lasted := s.logs.FilterField(zap.String("peer", nc.LocalAddr().String())).All()[0].ContextMap()["lasted"]
			if lasted.(time.Duration) < time.Second {
				t.Fatalf("closed after %v", lasted)
			}
		})
	}
}

// An answer that stops short on a connection that stays open costs all that is out there, and no more time than an
// answer may take to come. What is safe to repeat is, on another connection.
func TestAnAnswerThatStopsShort(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a, b := s.dial(query("load", 1, long, "")), s.dial(query("load", 2, long, ""))
	first, second := e.next(t, "want"), e.next(t, "want")
	if first.conn != second.conn {
		t.Fatal("they are on two connections")
	}
	second.conn.Write(resp.Append(nil, second.id(), "OK", "sheets=1", "x\ty\tz\n")[:40])
	next(t, e.closed, "the end of the connection")
	for range 2 {
		w := e.next(t, "want")
		w.reply(w.id(), "OK", "sheets=1", "x\ty\tz\n")
	}
	a.want("rows x|y|z|")
	b.want("rows x|y|z|")
	if got := s.reasons(e.addr); got != string(Stalled) {
		t.Fatalf("it ended as %s", got)
	}
}

// A second copy of an answer, or one for an id that nobody knows, changes nothing; above all it is none for the
// next attempt of its request.
func TestSecondCopies(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, long, ""))
	first := e.next(t, "want")
	first.reply("00000000000000ff", "OK", "sheets=1", "no\tno\tno\n")
	first.reply(first.id(), "ERR", "-", "")
	again := e.next(t, "want")
	first.reply(first.id(), "ERR", "-", "")
	first.reply(first.id(), "OK", "sheets=1", "no\tno\tno\n")
	again.reply(again.id(), "OK", "sheets=1", "x\ty\tz\n")
	again.reply(again.id(), "OK", "sheets=1", "x\ty\tz\n")
	c.want("rows x|y|z|")
	c.nc.Write(packet(0, "\x0e"))
	c.want("ok") // no second answer came in between
	if first.conn == again.conn {
		t.Fatal("an id was twice on one connection")
	}
}

// An engine whose machine vanished, or that stops answering for good, leaves its connection open and silent. Once
// the answer of what is out there is due, the module calls it off, and the connection is asked whether it is alive;
// if it says nothing, it is closed, and the attempt goes to a new connection. One that answers is kept.
func TestASilentConnectionIsReplaced(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t)
			s := serveChanged(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) {
				c.Settings.Control.Limits.LoadProbes = true
			}, host("e1", e.addr, "in_service", 0))
			e.past = "busy"
			a := s.dial(query("load", 1, long, ""))
			kept := e.next(t, "want")
			// Both are due by the same patience, and either may come first.
			called, asked := next(t, e.got, "the word"), next(t, e.got, "the question")
			if called.parts[0] == "there" {
				called, asked = asked, called
			}
			if called.parts[0] != "never_mind" || called.id() != kept.id() || asked.parts[0] != "there" {
				t.Fatalf("engine got %q and %q", called.parts, asked.parts)
			}
			if alive {
				asked.reply(asked.id(), "UP", "-", "")
			} else {
				next(t, e.closed, "the end of the silent connection")
			}
			w := e.next(t, "want")
			if w.id() != kept.id() || w.conn == kept.conn {
				t.Fatal("what was called off was not sent again on a new connection")
			}
			w.reply(w.id(), "OK", "sheets=1", "x\ty\tz\n")
			a.want("rows x|y|z|")
			if alive {
				b := s.dial(query("load", 3, long, ""))
				w := e.next(t, "want")
				w.reply(w.id(), "OK", "sheets=1", "x\ty\tz\n")
				b.want("rows x|y|z|")
				return
			}
			if got := s.reasons(e.addr); got != string(Retired) {
				t.Fatalf("it ended as %s", got)
			}
		})
	}
}

// What came whole counts, also if what follows it on the connection can't be read.
func TestAWholeAnswerAheadOfASpoiltOne(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("once", 1, long, "")) // may not be sent again
	w := e.next(t, "want")
	w.conn.Write(append(resp.Append(nil, w.id(), "OK", "-", "x\ty\tz\n"), "?"...))
	c.want("rows x|y|z|")
	if got := s.reasons(e.addr); got != string(Malformed) {
		t.Fatalf("it ended as %s", got)
	}
}

// A page of the change log that the reducer could not take before the poll ended is asked for again.
func TestAPageThatWasNotTakenIsAskedForAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	body := page(2, false)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		io.Copy(io.Discard, nc)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // the page is read long before that
	defer cancel()
	n := &Server{inbox: make(chan func())} // whose reducer takes nothing
	since := int64(1)
	if err := n.poll(ctx, ln.Addr().String(), &since); err == nil || since != 1 {
		t.Fatalf("ended with %v, the next poll asks since %d", err, since)
	}
}

// A change log that stops in the middle of an event and stays open is asked again without waiting for its answer.
func TestAChangeLogThatStopsInTheMiddle(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":2,")
		io.Copy(io.Discard, nc)
	}()
	since := int64(1)
	err = (&Server{}).poll(t.Context(), ln.Addr().String(), &since)
	if got := reasonOf(err); got != Stalled || since != 1 {
		t.Fatalf("ended as %s, the next poll asks since %d", got, since)
	}
}

// Connections to engines that are idle are closed from this side, before the engines do.
func TestIdleEngineConnectionsClose(t *testing.T) {
	e := newEngine(t)
	s := serveWith(t, 100*time.Millisecond, 1024, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
	next(t, e.closed, "the end of an idle connection")
	c.ask(query("lookup", 2, long, ""))
	w = e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
}

// A change log that breaks off, refuses or talks nonsense is asked again from the last change.
func TestChangeLogIsAskedAgain(t *testing.T) {
	var mu sync.Mutex
	var asked []string
	done := make(chan struct{})
	bad := []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", ""}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(nc).ReadString('\n')
			mu.Lock()
			asked = append(asked, line)
			mu.Unlock()
			if i == len(bad) {
				close(done)
			}
			io.WriteString(nc, bad[i%len(bad)])
			nc.Close()
		}
	}()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settings, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n, err := New(ctx, config.Config{Listen: "127.0.0.1:0", Changelog: ln.Addr().String(), Sockets: 64,
		Known: changelog.Page{Revision: 41}, Settings: set}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, nil) }()
	next(t, done, "another poll")
	cancel()
	if err := next(t, ended, "the end"); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, line := range asked[:len(bad)+1] {
		if line != "GET /changes?since=41&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("asked %q", line)
		}
	}
}

// pair is a connection on loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); other.Close() })
	return nc.(*net.TCPConn), other.(*net.TCPConn)
}

// Seen on paper: after a standstill of the process, bytes for a client that waited were dropped as stale and
// its request was lost. Only sends to engines may be too late to leave.
func TestOnlySendsToEnginesGetStale(t *testing.T) {
	for name, c := range map[string]struct {
		stale time.Duration
		want  Reason
	}{"client": {0, KilledByClient}, "engine": {maxEngineSendDelay, WriteTimeout}} {
		near, far := pair(t)
		l := newBufferedConn(near, c.stale, 100, 100)
		if _, err := l.write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		l.writes[0].queuedAt = time.Now().Add(-time.Second)
		l.closeAfterSent(&endError{Reason: KilledByClient})
		go func() {
			io.Copy(io.Discard, far)
			far.Close()
		}()
		if got := reasonOf(l.writeLoop(t.Context())); got != c.want {
			t.Errorf("%s: ended as %s, want %s", name, got, c.want)
		}
	}
}

// much is more than the system takes of a connection whose other side reads nothing.
const much = 8 << 20

// blocked is a link with much put into it whose other side reads nothing, and the end of what drains it.
func blocked(t *testing.T) (l *bufferedConn, far *net.TCPConn, ended chan error) {
	t.Helper()
	near, far := pair(t)
	near.SetWriteBuffer(64 << 10)
	far.SetReadBuffer(64 << 10)
	l = newBufferedConn(near, 0, 100, 2*much)
	if _, err := l.write(make([]byte, much)); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- l.writeLoop(t.Context()) }()
	return l, far, ended
}

// handed is the number of bytes that may have left.
func handed(l *bufferedConn) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handedBytes
}

// until waits for something to be so.
func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%s is never so", what)
		}
	}
}

// Guards against bytes that have left passing for ones that never did: of a write that blocks, exactly what the system
// took counts as left. (Before, all of a write under way did, so nothing of it could be taken back.)
func TestWhatTheSystemTookHasLeft(t *testing.T) {
	l, far, ended := blocked(t)
	until(t, "a part has left", func() bool { left := handed(l); return left > 0 && left < much })
	l.socket.Close()
	next(t, ended, "the end of the writes")
	left := l.withdrawAll()
	if got, _ := io.Copy(io.Discard, far); got > left || left == 0 || left >= much {
		t.Fatalf("the other side got %d bytes of %d, of which %d count as left", got, much, left)
	}
}

// What waits behind a write that blocks is taken back whole, and what is put after it leaves.
func TestTakingBackBehindABlockedWrite(t *testing.T) {
	l, far, _ := blocked(t)
	var at [3]int64
	for i, text := range []string{"one", "two", "six"} {
		at[i], _ = l.write([]byte(text))
	}
	until(t, "a part has left", func() bool { return handed(l) > 0 })
	if l.withdraw(0) {
		t.Fatal("what has begun to leave was taken back")
	}
	// While a call is under way all that it was given counts as left; none is for long.
	until(t, "what waits is taken back", func() bool { return l.withdraw(at[1]) })
	if l.withdraw(at[1] + 1) {
		t.Fatal("what was never put was taken back")
	}
	done := make(chan struct{})
	l.afterSent(func() { close(done) })
	tail := make(chan string, 1)
	go func() {
		io.CopyN(io.Discard, far, much)
		text := make([]byte, 6)
		io.ReadFull(far, text)
		tail <- string(text)
	}()
	if got := next(t, tail, "the rest"); got != "onesix" {
		t.Fatalf("the other side got %q", got)
	}
	next(t, done, "the mark behind what was taken back")
	if l.withdraw(at[2]) {
		t.Fatal("what has left was taken back")
	}
}
