// Package engine emulates a query engine. Model simulates the execution of queries and does no I/O; Server implements
// the engine's side of the protocol with brokers. The cost and the result of a query are derived from its request id,
// so that clients and checkers can compute both.
package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slowStartStep = 50 * time.Millisecond // interval at which the speed of an engine in slow start is updated
	workEpsilon   = 1e-9                  // thread-seconds; a query with no more remaining work is complete
	keysPerQuery  = 4                     // expired idempotency keys are purged beyond MaxQueries times this number
)

// Config specifies the capacity of an engine.
type Config struct {
	Cores             float64
	SaturationPoint   float64       // threads per core beyond which context switches reduce throughput
	MaxQueries        int           // maximum number of queries in flight; further ones are rejected as busy
	DedupWindow       time.Duration // a query whose idempotency key was admitted within it does not run again
	SlowStartDuration time.Duration // time from the engine's start to full speed
	SlowStartInitial  float64       // speed at the start, as a fraction of full speed
}

// Job is a query to execute.
type Job struct {
	RequestID      string
	Class          *Class
	IdempotencyKey string // empty for none
	DataSet        int
}

// Admission is the outcome of submitting a query.
type Admission int

// The outcomes of an admission.
const (
	Admitted   Admission = iota
	AtCapacity           // rejected
	Duplicate            // its idempotency key was admitted within the dedup window; it does not run again
)

// Completion is a query that has finished.
type Completion struct {
	RequestID string
	Class     *Class
	Work      time.Duration // CPU time on one thread
}

type runningJob struct {
	Job
	order     int     // position in the order of admission
	remaining float64 // thread-seconds
	total     float64 // thread-seconds
	blocked   bool    // waits for the lock of its data set
}

func (j *runningJob) threads() float64 { return float64(max(1, j.Class.Threads)) }

// Model simulates the execution of queries with processor sharing: all queries run at the same time and share the
// cores. It reads no clock and is not safe for concurrent use. Times are durations since any fixed moment.
type Model struct {
	cfg            Config
	now            time.Duration
	startedAt      time.Duration
	slowdown       float64                  // factor by which queries take longer, at least 1
	submitted      int                      // queries admitted
	jobs           map[string]*runningJob   // by request id
	keySubmittedAt map[string]time.Duration // time of admission, by idempotency key
	lockHolders    map[int]*runningJob      // by data set
	completions    []Completion             // not yet returned by Advance
}

// NewModel returns an engine that was started at startedAt.
func NewModel(cfg Config, startedAt time.Duration) *Model {
	return &Model{
		cfg: cfg, now: startedAt, startedAt: startedAt, slowdown: 1,
		jobs:           map[string]*runningJob{},
		keySubmittedAt: map[string]time.Duration{},
		lockHolders:    map[int]*runningJob{},
	}
}

// SetSlowdown makes queries take factor times as long from now on. A factor below 1 counts as 1.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.runUntil(now)
	m.slowdown = max(1, factor)
}

// Running returns the number of queries in flight and the number of threads that run them.
func (m *Model) Running() (jobs int, threads float64) {
	for _, j := range m.jobs {
		if !j.blocked {
			threads += j.threads()
		}
	}
	return len(m.jobs), threads
}

// speed returns the thread-seconds of work that each of the given number of threads does in a second.
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

// Submit submits a query at a time and reports whether it is admitted.
func (m *Model) Submit(now time.Duration, j Job) Admission {
	m.runUntil(now)
	if m.isDuplicate(j.IdempotencyKey) {
		return Duplicate
	}
	if len(m.jobs) >= m.cfg.MaxQueries || m.jobs[j.RequestID] != nil {
		return AtCapacity
	}
	if j.IdempotencyKey != "" {
		m.recordKey(j.IdempotencyKey)
	}
	m.submitted++
	work := j.Class.Cost(j.RequestID).Seconds()
	m.jobs[j.RequestID] = &runningJob{Job: j, order: m.submitted, remaining: work, total: work}
	m.assignLocks()
	return Admitted
}

// isDuplicate reports whether a query with the idempotency key was admitted within the dedup window.
func (m *Model) isDuplicate(key string) bool {
	if key == "" {
		return false
	}
	at, known := m.keySubmittedAt[key]
	return known && m.now-at < m.cfg.DedupWindow
}

// recordKey records the admission of a query with an idempotency key, and purges expired keys if there are too many.
func (m *Model) recordKey(key string) {
	m.keySubmittedAt[key] = m.now
	if len(m.keySubmittedAt) <= keysPerQuery*m.cfg.MaxQueries {
		return
	}
	for k, at := range m.keySubmittedAt {
		if m.now-at >= m.cfg.DedupWindow {
			delete(m.keySubmittedAt, k)
		}
	}
}

// Cancel cancels a query and reports whether it was in flight.
func (m *Model) Cancel(now time.Duration, requestID string) bool {
	m.runUntil(now)
	j := m.jobs[requestID]
	if j == nil {
		return false
	}
	delete(m.keySubmittedAt, j.IdempotencyKey) // a cancelled query was not executed, so a retry is no duplicate
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

// jobsByAdmission returns the queries in flight in the order of their admission.
func (m *Model) jobsByAdmission() []*runningJob {
	all := make([]*runningJob, 0, len(m.jobs))
	for _, j := range m.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *runningJob) int { return cmp.Compare(a.order, b.order) })
	return all
}

// assignLocks assigns each free data-set lock to the earliest query that needs it, and marks the queries that wait for
// a lock as blocked.
func (m *Model) assignLocks() {
	all := m.jobsByAdmission()
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

// Next returns the time at which Advance must be called next if nothing else happens; ok is false if no query runs.
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

// Advance advances the simulation to a time and returns the queries that finished since the last call, in the order of
// their ends.
func (m *Model) Advance(now time.Duration) []Completion {
	m.runUntil(now)
	completions := m.completions
	m.completions = nil
	return completions
}

// runUntil runs the queries up to a time, in steps of constant speed.
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

// runFor runs the queries at their current speed for a duration.
func (m *Model) runFor(step time.Duration) {
	_, threads := m.Running()
	v := m.speed(threads)
	m.now += step
	ended := false
	for _, j := range m.jobsByAdmission() {
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
