// Package engine plays a query engine: a model of how engines run queries, which does no I/O, and a server that speaks
// to brokers as engines do. What a query costs and what it answers is drawn from its id, so that whoever knows the
// id knows both.
package engine

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Class is how queries of one class behave.
type Class struct {
	Name                 string
	Work                 time.Duration // on one thread, on average
	Threads              int
	Rows                 int  // of a result, on average
	HoldsDataSetLock     bool // holds its data set until it ends; one of a data set runs at a time
	BlockedByDataSetLock bool // stands still while a load holds its data set
}

// spread is the standard deviation of the log of the work.
const spread = 0.6

// draw returns the numbers that belong to an id.
func draw(ref, class string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(class)) //nolint:errcheck // it never fails
	h.Write([]byte(ref))   //nolint:errcheck // it never fails
	return rand.New(rand.NewPCG(h.Sum64(), 0))
}

// Cost is the work of the query of an id, on one thread.
func (c *Class) Cost(ref string) time.Duration {
	return time.Duration(float64(c.Work) * math.Exp(spread*draw(ref, c.Name).NormFloat64()-spread*spread/2))
}

// mostPage is the largest page of a result, in bytes.
const mostPage = 6000

// Result is the answer to the query of an id, in pages of whole rows.
func (c *Class) Result(ref string) (pages []string) {
	rng := draw(ref+"rows", c.Name)
	var b strings.Builder
	for i := range 1 + rng.IntN(2*max(1, c.Rows)) {
		row := fmt.Sprintf("%d\t%s\t%x\n", i, c.Name, rng.Uint64())
		if b.Len()+len(row) > mostPage {
			pages = append(pages, b.String())
			b.Reset()
		}
		b.WriteString(row)
	}
	return append(pages, b.String())
}

// Config is the size of an engine.
type Config struct {
	Cores             float64
	SaturationPoint   float64       // threads a core beyond which work is lost to switching
	Sessions          int           // queries at a time; more are turned away
	DedupWindow       time.Duration // a repeat of an idempotency key is dropped for so long
	SlowStartDuration time.Duration // an engine that has started is warm after it
	SlowStartInitial  float64       // and begins at this part of its speed
}

// Job is a query to run.
type Job struct {
	Ref   string
	Class *Class
	Op    string // idempotency key, or empty
	Group int    // data set
}

// Verdict is what an engine says to a new query.
type Verdict int

// The verdicts.
const (
	Runs    Verdict = iota
	Full            // it never ran
	Dropped         // a repeat: done already, or being done; it is answered at once
)

type job struct {
	Job
	order int
	left  float64 // thread-seconds
	total float64
	held  bool // it waits for its data set
}

// Model is how an engine runs queries: all at once, sharing its cores. It reads no clock and is not safe for concurrent
// use.
type Model struct {
	cfg     Config
	now     time.Duration
	started time.Duration
	slow    float64 // factor on all times
	order   int
	jobs    map[string]*job
	ops     map[string]time.Duration // when each key was last taken
	holder  map[int]*job             // the load that holds a data set
	done    []Done
}

// Done is a query that ended.
type Done struct {
	Ref   string
	Class *Class
	Work  time.Duration
}

// NewModel returns an engine that started at a time.
func NewModel(cfg Config, started time.Duration) *Model {
	return &Model{cfg: cfg, now: started, started: started, slow: 1, jobs: map[string]*job{}, ops: map[string]time.Duration{},
		holder: map[int]*job{}}
}

// Slow makes everything take so many times as long from now on.
func (m *Model) Slow(now time.Duration, factor float64) {
	m.advance(now)
	m.slow = max(1, factor)
}

// Running is how many queries there are, and on how many threads they run.
func (m *Model) Running() (jobs int, threads float64) {
	for _, j := range m.jobs {
		if !j.held {
			threads += float64(max(1, j.Class.Threads))
		}
	}
	return len(m.jobs), threads
}

// speed is the work that a thread does in a second, with so many running.
func (m *Model) speed(threads float64) float64 {
	if threads == 0 {
		return 0
	}
	v := min(1, m.cfg.Cores/threads) / m.slow
	if knee := m.cfg.SaturationPoint * m.cfg.Cores; threads > knee {
		v *= knee / threads
	}
	if warm := m.now - m.started; m.cfg.SlowStartDuration > 0 && warm < m.cfg.SlowStartDuration {
		v *= m.cfg.SlowStartInitial + (1-m.cfg.SlowStartInitial)*float64(warm)/float64(m.cfg.SlowStartDuration)
	}
	return v
}

// Submit takes a query.
func (m *Model) Submit(now time.Duration, j Job) Verdict {
	m.advance(now)
	if j.Op != "" {
		if at, known := m.ops[j.Op]; known && now-at < m.cfg.DedupWindow {
			return Dropped
		}
	}
	if len(m.jobs) >= m.cfg.Sessions || m.jobs[j.Ref] != nil {
		return Full
	}
	if j.Op != "" {
		m.ops[j.Op] = now
		if len(m.ops) > 4*m.cfg.Sessions {
			for op, at := range m.ops {
				if now-at >= m.cfg.DedupWindow {
					delete(m.ops, op)
				}
			}
		}
	}
	m.order++
	work := j.Class.Cost(j.Ref).Seconds()
	m.jobs[j.Ref] = &job{Job: j, order: m.order, left: work, total: work}
	m.settle()
	return Runs
}

// Cancel ends a query at once; false if it is not there.
func (m *Model) Cancel(now time.Duration, ref string) bool {
	m.advance(now)
	j := m.jobs[ref]
	if j == nil {
		return false
	}
	delete(m.ops, j.Op) // what was cut off may be asked for again
	m.end(j)
	m.settle()
	return true
}

func (m *Model) end(j *job) {
	delete(m.jobs, j.Ref)
	if m.holder[j.Group] == j {
		delete(m.holder, j.Group)
	}
}

// sorted are the queries in the order in which they came.
func (m *Model) sorted() []*job {
	all := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
	return all
}

// settle lets the first load of each data set hold it, and what waits for it stand still.
func (m *Model) settle() {
	all := m.sorted()
	for _, j := range all {
		if j.Class.HoldsDataSetLock && m.holder[j.Group] == nil {
			m.holder[j.Group] = j
		}
	}
	for _, j := range all {
		h := m.holder[j.Group]
		j.held = h != nil && h != j && (j.Class.HoldsDataSetLock || j.Class.BlockedByDataSetLock)
	}
}

// Next is when a query ends if nothing else happens; ok is false if none runs.
func (m *Model) Next() (at time.Duration, ok bool) {
	_, threads := m.Running()
	v := m.speed(threads)
	if v == 0 {
		return 0, false
	}
	for _, j := range m.jobs {
		if j.held {
			continue
		}
		t := m.now + time.Duration(math.Ceil(j.left/float64(max(1, j.Class.Threads))/v*float64(time.Second)))
		if !ok || t < at {
			at, ok = t, true
		}
	}
	// A cold engine grows faster while it runs: it is looked at again meanwhile.
	if warm := m.started + m.cfg.SlowStartDuration; ok && m.now < warm {
		at = min(at, m.now+coldStep)
	}
	return at, ok
}

const (
	coldStep = 50 * time.Millisecond
	done     = 1e-9 // thread-seconds that are none
)

// Advance lets time pass and returns what ended, in order.
func (m *Model) Advance(now time.Duration) []Done {
	m.advance(now)
	out := m.done
	m.done = nil
	return out
}

func (m *Model) advance(now time.Duration) {
	for m.now < now {
		next, ok := m.Next()
		if !ok {
			m.now = now
			return
		}
		step := max(1, min(next, now)-m.now)
		_, threads := m.Running()
		v := m.speed(threads)
		m.now += step
		ended := false
		for _, j := range m.sorted() {
			if j.held {
				continue
			}
			if j.left -= step.Seconds() * v * float64(max(1, j.Class.Threads)); j.left <= done {
				m.done = append(m.done, Done{j.Ref, j.Class, time.Duration(j.total * float64(time.Second))})
				m.end(j)
				ended = true
			}
		}
		if ended {
			m.settle()
		}
	}
}
