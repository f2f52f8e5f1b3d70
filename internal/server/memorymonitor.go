package server

import (
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/overload"
	"wheatlane/internal/processmemory"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/processstate"
)

const (
	// memoryLogInterval is the interval between log lines of the memory in use.
	memoryLogInterval = 5 * time.Second
	// memoryCheckInterval is the minimum time between two comparisons of the memory in use with its limit.
	memoryCheckInterval = 10 * time.Millisecond
	// evictionsPerCheck is the number of clients of each kind that one check evicts at the level overload.Evict.
	evictionsPerCheck = 8
)

// memoryMonitor measures the memory of the process beside what its accounts count as in use, and logs both. If the
// limit is enforced, it carries out what an overload manager decides. The loop owns it.
type memoryMonitor struct {
	meter    *processmemory.Meter
	loop     *eventLoop
	frontend *frontend.Frontend
	log      *zap.Logger
	loggedAt time.Time

	manager    *overload.Manager // nil: the limit is not enforced
	checkedAt  time.Duration
	collecting atomic.Bool // a collection that was requested is in progress
}

// EnforceMemoryLimit makes the broker protect itself as its process approaches the memory limit of its configuration.
// The process must run nothing else. It must be called before Run.
func (s *Server) EnforceMemoryLimit() {
	s.memory.manager = overload.NewManager(memorybudget.OverloadLimits(memoryLimit(s.cfg)))
}

// measure returns the memory in use now.
func (m *memoryMonitor) measure() processstate.Memory {
	memory := processstate.Memory{Usage: m.meter.Read(), Accounts: m.accounts()}
	if m.manager != nil {
		memory.Level = m.manager.Level()
	}
	return memory
}

// accounts returns the memory that all accounts count as in use.
func (m *memoryMonitor) accounts() memorybudget.Accounts {
	clients, requests := m.frontend.MemoryUse(), m.loop.reducer.MemoryUse()
	return memorybudget.Accounts{
		Sessions:   m.frontend.ClientCount() * memorybudget.SessionBytes,
		Input:      clients.InputBytes,
		Statements: requests.StatementBytes,
		Output:     clients.OutputBytes,
		Results:    requests.ResultBytes,
		Engines:    m.loop.reducer.ListedEngines() * memorybudget.EngineBytes,
	}
}

// check compares the memory in use with its limit, unless that was done just before or the limit is not enforced.
func (m *memoryMonitor) check() {
	now := clock.Now()
	if m.manager == nil || now-m.checkedAt < memoryCheckInterval {
		return
	}
	m.checkedAt = now
	memory := m.measure()
	decision := m.manager.Update(now, usageOf(&memory))
	if decision.LevelChanged {
		m.applyLevel(decision.Level, &memory)
	}
	if decision.Level >= overload.Evict {
		m.frontend.EvictHolders(evictionsPerCheck)
		m.loop.apply(broker.EvictSessions{Count: evictionsPerCheck})
	}
	if decision.Unaccounted {
		m.loop.reportViolation(invariant.AccountsCoverHeap,
			zap.Int64("live_heap", memory.Usage.LiveBytes), zap.Int("accounted", memory.Accounts.Total()))
	}
	if decision.RuntimeLimit > 0 {
		debug.SetMemoryLimit(decision.RuntimeLimit)
	}
	if decision.Collect {
		m.collect()
	}
}

// usageOf returns what the overload manager needs of a measurement. Where the system does not tell the resident size,
// it is taken for what the runtime has and the program's own part.
func usageOf(memory *processstate.Memory) overload.Usage {
	resident := memory.Usage.ResidentBytes
	if resident == 0 {
		resident = memory.Usage.RuntimeBytes + memorybudget.ProgramBytes
	}
	return overload.Usage{
		ResidentBytes: resident,
		RuntimeBytes:  memory.Usage.RuntimeBytes,
		HeldBytes:     memory.Usage.LiveBytes + memory.Usage.NonHeapBytes,
		LiveBytes:     memory.Usage.LiveBytes,
		Collections:   memory.Usage.Collections,
		Accounted:     int64(memory.Accounts.Total()),
	}
}

// applyLevel carries out a change of the level.
func (m *memoryMonitor) applyLevel(level overload.Level, memory *processstate.Memory) {
	m.log.Warn("memory level changed", zap.Stringer("level", level), zap.Int64("resident", memory.Usage.ResidentBytes),
		zap.Int64("heap", memory.Usage.HeapBytes), zap.Int64("live_heap", memory.Usage.LiveBytes),
		zap.Int("accounted", memory.Accounts.Total()), zap.Int("clients", m.frontend.ClientCount()))
	m.loop.apply(broker.OverloadChanged{Level: level})
	m.frontend.PauseInput(level >= overload.PauseReading)
}

// collect collects garbage and returns memory to the system, on a goroutine of its own: the loop does not wait.
func (m *memoryMonitor) collect() {
	if !m.collecting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.collecting.Store(false)
		debug.FreeOSMemory()
	}()
}

// logIfDue logs the memory in use if the next line is due.
func (m *memoryMonitor) logIfDue() {
	if time.Since(m.loggedAt) < memoryLogInterval {
		return
	}
	m.loggedAt = time.Now()
	memory := m.measure()
	fields := []zap.Field{
		zap.Stringer("level", memory.Level),
		zap.Int64("resident", memory.Usage.ResidentBytes), zap.Int64("peak_resident", processmemory.PeakResidentBytes()),
		zap.Int64("heap", memory.Usage.HeapBytes), zap.Int64("live_heap", memory.Usage.LiveBytes),
		zap.Int64("runtime", memory.Usage.RuntimeBytes), zap.Uint64("collections", memory.Usage.Collections),
		zap.Int("clients", m.frontend.ClientCount()), zap.Int("waiting", m.frontend.MemoryUse().Waiting),
		zap.Int("accounted", memory.Accounts.Total()),
	}
	for i, bytes := range memory.Accounts.Bytes() {
		fields = append(fields, zap.Int("accounted_"+memorybudget.AccountNames[i], bytes))
	}
	m.log.Info("memory usage", fields...)
}
