// Package engine emulates a query engine. Model computes how an engine runs queries and does no I/O; Server
// speaks the engine's protocol to brokers. The cost and the result of a query are drawn from its request
// id, so that whoever knows the id can compute both.
package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slowStartStep = 50 * time.Millisecond // an engine in slow start gets faster: it is looked at so often
	workEpsilon   = 1e-9                  // thread-seconds; less remaining work counts as none
	keysPerQuery  = 4                     // expired idempotency keys are purged beyond so many times MaxQueries
)

// Config is the size of an engine.
type Config struct {
	Cores             float64
	SaturationPoint   float64       // threads per core beyond which work is lost to switching
	Sessions          int           // queries in flight; more are answered as busy
	DedupWindow       time.Duration // a query with an idempotency key seen within it does not run again
	SlowStartDuration time.Duration // after its start the engine reaches full speed within it
	SlowStartInitial  float64       // fraction of full speed at the start
}

// Job is a query to run.
type Job struct {
	RequestID      string
	Class          *Class
	IdempotencyKey string // empty: none
	DataSet        int
}

// Admission is how an engine takes a new query.
type Admission int

// The outcomes of an admission.
const (
	Admitted   Admission = iota
	AtCapacity           // it does not run
	Duplicate            // its idempotency key was seen within the dedup window; it is answered at once
)

// Completion is a query that ended.
type Completion struct {
	RequestID string
	Class     *Class
	Work      time.Duration // CPU time that it took
}

type runningJob struct {
	Job
	order     int     // of its admission
	remaining float64 // thread-seconds
	total     float64 // thread-seconds
	blocked   bool    // by the lock of its data set
}

func (j *runningJob) threads() float64 { return float64(max(1, j.Class.Threads)) }

// Model is how an engine runs queries: all at once, sharing its cores (processor sharing). It reads no
// clock and is not safe for concurrent use. Times are durations since any fixed moment.
type Model struct {
	cfg            Config
	now            time.Duration
	startedAt      time.Duration
	slowdown       float64 // factor on all times, 1 or more
	submitted      int
	jobs           map[string]*runningJob   // by request id
	keySubmittedAt map[string]time.Duration // by idempotency key
	lockHolders    map[int]*runningJob      // by data set
	completions    []Completion             // not yet returned by Advance
}

// NewModel returns an engine that started at a time.
func NewModel(cfg Config, startedAt time.Duration) *Model {
	return &Model{
		cfg: cfg, now: startedAt, startedAt: startedAt, slowdown: 1,
		jobs:           map[string]*runningJob{},
		keySubmittedAt: map[string]time.Duration{},
		lockHolders:    map[int]*runningJob{},
	}
}

// Slow makes everything take factor times as long from now on.
func (m *Model) Slow(now time.Duration, factor float64) {
	m.runUntil(now)
	m.slowdown = max(1, factor)
}

// Running returns how many queries are in flight and on how many threads they run.
func (m *Model) Running() (jobs int, threads float64) {
	for _, j := range m.jobs {
		if !j.blocked {
			threads += j.threads()
		}
	}
	return len(m.jobs), threads
}

// speed returns the thread-seconds of work that a thread does in a second while so many threads run.
func (m *Model) speed(threads float64) float64 {
	if threads == 0 {
		return 0
	}
	v := min(1, m.cfg.Cores/threads) / m.slowdown
	if saturation := m.cfg.SaturationPoint * m.cfg.Cores; threads > saturation {
		v *= saturation / threads
	}
	if age := m.now - m.startedAt; m.cfg.SlowStartDuration > 0 && age < m.cfg.SlowStartDuration {
		v *= m.cfg.SlowStartInitial + (1-m.cfg.SlowStartInitial)*float64(age)/float64(m.cfg.SlowStartDuration)
	}
	return v
}

// Submit admits a query or not.
func (m *Model) Submit(now time.Duration, j Job) Admission {
	m.runUntil(now)
	if m.seenKey(j.IdempotencyKey) {
		return Duplicate
	}
	if len(m.jobs) >= m.cfg.Sessions || m.jobs[j.RequestID] != nil {
		return AtCapacity
	}
	if j.IdempotencyKey != "" {
		m.rememberKey(j.IdempotencyKey)
	}
	m.submitted++
	work := j.Class.Cost(j.RequestID).Seconds()
	m.jobs[j.RequestID] = &runningJob{Job: j, order: m.submitted, remaining: work, total: work}
	m.assignLocks()
	return Admitted
}

// seenKey reports whether a query with this idempotency key was admitted within the dedup window.
func (m *Model) seenKey(key string) bool {
	if key == "" {
		return false
	}
	at, known := m.keySubmittedAt[key]
	return known && m.now-at < m.cfg.DedupWindow
}

func (m *Model) rememberKey(key string) {
	m.keySubmittedAt[key] = m.now
	if len(m.keySubmittedAt) <= keysPerQuery*m.cfg.Sessions {
		return
	}
	for k, at := range m.keySubmittedAt {
		if m.now-at >= m.cfg.DedupWindow {
			delete(m.keySubmittedAt, k)
		}
	}
}

// Cancel ends a query at once; false if it is not in flight.
func (m *Model) Cancel(now time.Duration, requestID string) bool {
	m.runUntil(now)
	j := m.jobs[requestID]
	if j == nil {
		return false
	}
	delete(m.keySubmittedAt, j.IdempotencyKey) // it was not executed, so a retry is no duplicate
	m.remove(j)
	m.assignLocks()
	return true
}

func (m *Model) remove(j *runningJob) {
	delete(m.jobs, j.RequestID)
	if m.lockHolders[j.DataSet] == j {
		delete(m.lockHolders, j.DataSet)
	}
}

// inOrder returns the queries in the order of their admission.
func (m *Model) inOrder() []*runningJob {
	all := make([]*runningJob, 0, len(m.jobs))
	for _, j := range m.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *runningJob) int { return cmp.Compare(a.order, b.order) })
	return all
}

// assignLocks gives each free data-set lock to the first query that needs it and marks the queries that it
// blocks.
func (m *Model) assignLocks() {
	all := m.inOrder()
	for _, j := range all {
		if j.Class.HoldsDataSetLock && m.lockHolders[j.DataSet] == nil {
			m.lockHolders[j.DataSet] = j
		}
	}
	for _, j := range all {
		holder := m.lockHolders[j.DataSet]
		lockable := j.Class.HoldsDataSetLock || j.Class.BlockedByDataSetLock
		j.blocked = holder != nil && holder != j && lockable
	}
}

// Next returns when to call Advance next if nothing else happens; ok is false if nothing runs.
func (m *Model) Next() (at time.Duration, ok bool) {
	_, threads := m.Running()
	v := m.speed(threads)
	if v == 0 {
		return 0, false
	}
	for _, j := range m.jobs {
		if j.blocked {
			continue
		}
		end := m.now + time.Duration(math.Ceil(j.remaining/j.threads()/v*float64(time.Second)))
		if !ok || end < at {
			at, ok = end, true
		}
	}
	if fullSpeedAt := m.startedAt + m.cfg.SlowStartDuration; ok && m.now < fullSpeedAt {
		at = min(at, m.now+slowStartStep)
	}
	return at, ok
}

// Advance lets time pass and returns the queries that ended, in order.
func (m *Model) Advance(now time.Duration) []Completion {
	m.runUntil(now)
	out := m.completions
	m.completions = nil
	return out
}

func (m *Model) runUntil(now time.Duration) {
	for m.now < now {
		next, ok := m.Next()
		if !ok {
			m.now = now
			return
		}
		m.runFor(max(1, min(next, now)-m.now))
	}
}

// runFor lets the queries run at their present speed for a time.
func (m *Model) runFor(step time.Duration) {
	_, threads := m.Running()
	v := m.speed(threads)
	m.now += step
	ended := false
	for _, j := range m.inOrder() {
		if j.blocked {
			continue
		}
		j.remaining -= step.Seconds() * v * j.threads()
		if j.remaining > workEpsilon {
			continue
		}
		work := time.Duration(j.total * float64(time.Second))
		m.completions = append(m.completions, Completion{RequestID: j.RequestID, Class: j.Class, Work: work})
		m.remove(j)
		ended = true
	}
	if ended {
		m.assignLocks()
	}
}
