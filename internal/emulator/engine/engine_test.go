package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"wheatlane/internal/resp"
)

var (
	short = &Class{Name: "lookup", Work: 100 * time.Millisecond, Threads: 1, Rows: 3, BlockedByDataSetLock: true}
	load  = &Class{Name: "load", Work: 500 * time.Millisecond, Threads: 2, Rows: 1, HoldsDataSetLock: true}
	size  = Config{Cores: 4, SaturationPoint: 2, Sessions: 16, DedupWindow: 15 * time.Second}
)

// end runs a model to the end of all that runs, and returns when each query ended.
func end(t interface{ Fatal(...any) }, m *Model) map[string]time.Duration {
	out := map[string]time.Duration{}
	for range 10_000 {
		at, ok := m.Next()
		if !ok {
			return out
		}
		for _, d := range m.Advance(at) {
			out[d.Ref] = at
		}
	}
	t.Fatal("it does not come to an end")
	return nil
}

func TestOneQueryTakesItsWork(t *testing.T) {
	m := NewModel(size, 0)
	m.Submit(0, Job{Ref: "a", Class: short})
	want := short.Cost("a")
	if got := end(t, m)["a"]; got < want || got > want+time.Microsecond {
		t.Fatalf("%v, want %v", got, want)
	}
}

// Up to the knee the engine does as much as its cores can, beyond it less; a slow one is slower throughout.
func TestCoresAreShared(t *testing.T) {
	total := func(n int, slow float64) time.Duration {
		m := NewModel(size, 0)
		m.Slow(0, slow)
		work := time.Duration(0)
		for i := range n {
			ref := fmt.Sprint(i)
			m.Submit(0, Job{Ref: ref, Class: short})
			work += short.Cost(ref)
		}
		last := time.Duration(0)
		for _, at := range end(t, m) {
			last = max(last, at)
		}
		if least := time.Duration(float64(work) / size.Cores); last < least {
			t.Fatalf("%d queries of %v in all took %v", n, work, last)
		}
		return last
	}
	if eight, sixteen := total(8, 1), total(16, 1); sixteen < 2*eight {
		t.Errorf("twice the queries took %v and %v: nothing is lost beyond the knee", eight, sixteen)
	}
	if one, slow := total(4, 1), total(4, 3); slow < 3*one-time.Millisecond || slow > 3*one+time.Millisecond {
		t.Errorf("three times as slow: %v and %v", one, slow)
	}
}

func TestALoadHoldsItsDataSet(t *testing.T) {
	m := NewModel(size, 0)
	m.Submit(0, Job{Ref: "first", Class: load, Group: 1})
	m.Submit(0, Job{Ref: "second", Class: load, Group: 1})
	m.Submit(0, Job{Ref: "waits", Class: short, Group: 1})
	m.Submit(0, Job{Ref: "other", Class: short, Group: 2})
	at := end(t, m)
	if at["waits"] < at["second"] || at["second"] < at["first"]+load.Cost("second")/2 {
		t.Errorf("they ran together: %v", at)
	}
	if at["other"] > short.Cost("other")+time.Millisecond {
		t.Errorf("another data set waited: %v", at)
	}
}

func TestVerdicts(t *testing.T) {
	m := NewModel(size, 0)
	m.Submit(0, Job{Ref: "a", Class: load, Op: "k"})
	for _, c := range []struct {
		name string
		job  Job
		at   time.Duration
		want Verdict
	}{
		{"a repeat while it runs", Job{Ref: "b", Class: load, Op: "k"}, time.Second, Dropped},
		{"a repeat after it ran", Job{Ref: "c", Class: load, Op: "k"}, 14 * time.Second, Dropped},
		{"one after the window", Job{Ref: "d", Class: load, Op: "k"}, 16 * time.Second, Runs},
		{"the id of one that runs", Job{Ref: "d", Class: short}, 16 * time.Second, Full},
	} {
		if got := m.Submit(c.at, c.job); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	// What was cut off never counts as done.
	m.Submit(17*time.Second, Job{Ref: "e", Class: load, Op: "cut"})
	if !m.Cancel(17*time.Second, "e") {
		t.Error("it is not there to cancel")
	}
	if got := m.Submit(17*time.Second, Job{Ref: "f", Class: load, Op: "cut"}); got != Runs {
		t.Errorf("a repeat of what was cancelled: %v", got)
	}
	for i := range size.Sessions {
		m.Submit(20*time.Second, Job{Ref: fmt.Sprint(i), Class: load})
	}
	if got := m.Submit(20*time.Second, Job{Ref: "more", Class: short}); got != Full {
		t.Errorf("beyond its sessions: %v", got)
	}
}

func TestAColdEngineIsSlow(t *testing.T) {
	cfg := size
	cfg.SlowStartDuration, cfg.SlowStartInitial = 10*time.Second, 0.25
	m := NewModel(cfg, 0)
	m.Submit(0, Job{Ref: "a", Class: load})
	cold := end(t, m)["a"]
	m.Advance(20 * time.Second)
	m.Submit(20*time.Second, Job{Ref: "a", Class: load})
	if warm := end(t, m)["a"] - 20*time.Second; cold < 2*warm {
		t.Fatalf("cold %v, warm %v", cold, warm)
	}
}

// However time is cut into steps, each query ends once, and work is neither made nor lost.
func TestTimeMayBeCutAnyhow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type at struct {
			ref string
			at  time.Duration
		}
		submits := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 12).Draw(t, "gaps")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 40).Draw(t, "cuts")
		run := func(cut bool) (out []at) {
			m := NewModel(size, 0)
			now, k := time.Duration(0), 0
			hear := func(done []Done) {
				for _, d := range done {
					out = append(out, at{ref: d.Ref})
				}
			}
			for i, gap := range submits {
				until := now + time.Duration(gap)*time.Millisecond
				for cut && now < until {
					now = min(until, now+time.Duration(cuts[k%len(cuts)])*time.Millisecond)
					k++
					hear(m.Advance(now))
				}
				now = until
				hear(m.Advance(now))
				class := short
				if i%3 == 0 {
					class = load
				}
				m.Submit(now, Job{Ref: fmt.Sprint(i), Class: class, Group: i % 2})
			}
			hear(m.Advance(now + time.Hour))
			return out
		}
		whole, parts := run(false), run(true)
		if len(whole) != len(submits) {
			t.Fatalf("%d queries, %d ends", len(submits), len(whole))
		}
		if diff := cmp.Diff(whole, parts, cmp.AllowUnexported(at{})); diff != "" {
			t.Fatal(diff)
		}
	})
}

// seen is what a watcher was told.
type seen struct {
	mu    sync.Mutex
	wants []string
	ends  []string
}

func (s *seen) AttemptReceived(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wants = append(s.wants, r.Ref+" "+r.Class)
}

func (s *seen) AttemptEnded(_, ref string, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, ref)
}

// broker is the other end of a connection.
type broker struct {
	t   *testing.T
	nc  net.Conn
	buf []byte
}

func dial(t *testing.T, s *Server) *broker {
	t.Helper()
	nc, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &broker{t: t, nc: nc}
}

func (b *broker) say(parts ...string) { b.nc.Write(resp.Append(nil, parts...)) }

// next is the next answer in words, without its body; "closed" at the end.
func (b *broker) next() string {
	b.t.Helper()
	b.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		parts, n, err := resp.Parse(b.buf)
		if err != nil {
			b.t.Fatal(err)
		}
		if n > 0 {
			a, err := resp.ParseAnswer(parts)
			if err != nil {
				b.t.Fatal(err)
			}
			out := fmt.Sprintf("%s %s %d/%d", a.RequestID, parts[1], a.Page, a.PageCount)
			b.buf = b.buf[n:]
			return out
		}
		more := make([]byte, 4096)
		n, err = b.nc.Read(more)
		b.buf = append(b.buf, more[:n]...)
		if errors.Is(err, io.EOF) || err != nil && strings.Contains(err.Error(), "reset") {
			return "closed"
		}
		if err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *broker) want(answer string) {
	b.t.Helper()
	if got := b.next(); got != answer {
		b.t.Fatalf("%s, want %s", got, answer)
	}
}

// It speaks the protocol's words, as the page has them.
func TestTheProtocol(t *testing.T) {
	quick := Class{Name: "lookup", Work: time.Millisecond, Threads: 1, Rows: 3}
	wide := Class{Name: "report", Work: time.Millisecond, Threads: 4, Rows: 2000}
	slow := Class{Name: "slow", Work: time.Hour, Threads: 1, Rows: 1}
	w := &seen{}
	s, err := NewServer("e1", []Class{quick, wide, slow}, Config{Cores: 4, SaturationPoint: 2, Sessions: 2, DedupWindow: time.Minute}, w)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	defer func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	b := dial(t, s)
	b.say("there", "t1")
	b.want("t1 UP 0/1")
	b.say("busy", "t2")
	b.want("t2 UP 0/1")
	b.say("want", "q1", "sort=lookup,patience=100,op=k1", "SELECT 1 FROM chart_7.s")
	b.want("q1 OK 0/1")
	b.say("want", "q2", "sort=lookup,patience=100,op=k1", "SELECT 1 FROM chart_7.s") // a repeat
	b.want("q2 OK 0/1")
	b.say("want", "q3", "sort=odd", "x")
	b.want("q3 ERR 0/1")
	pages := len(wide.Result("q4"))
	b.say("want", "q4", "sort=report", "x")
	b.want(fmt.Sprintf("q4 OK 0/%d", pages))
	b.say("turn", "q4", "1")
	b.want("q4 ROWS 1/1")
	b.say("turn", "q4", fmt.Sprint(pages))
	b.want("q4 ERR 0/1")
	b.say("shut", "q4")
	b.say("turn", "q4", "1")
	b.want("q4 ERR 0/1")
	b.say("want", "q5", "sort=slow", "x")
	b.say("want", "q6", "sort=slow", "x")
	b.say("want", "q7", "sort=slow", "x")
	b.want("q7 BUSY 0/1")
	b.say("never_mind", "q5") // no answer
	b.say("hurry", "q6", "3") // no answer
	b.say("want", "q8", "sort=lookup", "x")
	b.want("q8 OK 0/1")
	other := dial(t, s)
	other.say("want", "q9", "sort=lookup", "x")
	other.want("q9 OK 0/1")
	s.Crash()
	b.want("closed")
	other.want("closed")
	if _, err := net.Dial("tcp", s.Addr()); err == nil {
		t.Fatal("it crashed, and listens")
	}
	if err := s.Return(true); err != nil {
		t.Fatal(err)
	}
	again := dial(t, s)
	again.say("want", "q1", "sort=lookup,op=k1", "x")
	again.want("q1 OK 0/1")
	again.say("nonsense", "x")
	again.want("closed")
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.wants) != 10 || len(w.ends) != 10 {
		t.Fatalf("wanted %q, ended %q", w.wants, w.ends)
	}
}
