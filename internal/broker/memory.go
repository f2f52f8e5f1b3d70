package broker

import (
	"math"
	"time"

	"wheatlane/internal/memorybudget"
	"wheatlane/internal/overload"
)

// MemoryLimits bounds the memory that clients and engines can make the broker hold, in bytes.
type MemoryLimits struct {
	StatementBytes int // statements of open and queued requests, and queued commands
	ResultBytes    int // pages of results that are not complete
	// ServedSessionGrace is the time after a result for which its session is not evicted to admit another client: a crowd
	// of new clients must not take the place of those that get results. Unless it is 0, a session is the last choice
	// within eviction.LoginGrace after its login.
	ServedSessionGrace time.Duration
}

// unlimitedMemory has no limits but those of each session and result.
var unlimitedMemory = MemoryLimits{StatementBytes: math.MaxInt, ResultBytes: math.MaxInt}

// minQueuedCommands is the number of commands that any session may queue behind its open request.
const minQueuedCommands = 16

// heldMemory is the memory that clients and engines make the broker hold.
type heldMemory struct {
	statements memorybudget.Account
	results    *memorybudget.Pool[*attempt]

	servedSessionGrace time.Duration
}

func newHeldMemory(limits MemoryLimits) heldMemory {
	held := heldMemory{results: memorybudget.NewPool[*attempt](0)}
	held.setLimits(limits)
	return held
}

func (m *heldMemory) setLimits(limits MemoryLimits) {
	m.statements.SetCapacity(limits.StatementBytes)
	m.results.SetCapacity(limits.ResultBytes)
	m.servedSessionGrace = limits.ServedSessionGrace
}

// MemoryUse is the memory that clients and engines make the reducer hold, in bytes.
type MemoryUse struct {
	StatementBytes int // statements of open and queued requests, and queued commands
	ResultBytes    int // pages of results that are not complete
}

// MemoryUse returns the memory that the reducer's accounts count as in use.
func (b *Broker) MemoryUse() MemoryUse {
	return MemoryUse{StatementBytes: b.memory.statements.Used(), ResultBytes: b.memory.results.Used()}
}

// limitResources applies new limits. Sessions beyond the limit are closed if they may be evicted.
func (b *Broker) limitResources(now time.Duration, limits LimitResources) {
	b.memory.setLimits(limits.Memory)
	b.sessions.max = limits.MaxSessions
	for len(b.sessions.byID) > b.sessions.max && b.evictSession(now) {
		continue
	}
}

// applyOverload applies the level at which the broker protects itself against its memory limit.
func (b *Broker) applyOverload(level overload.Level) { b.overload = level }

// evictSessions closes sessions that may be evicted, up to a number of them.
func (b *Broker) evictSessions(now time.Duration, count int) {
	for range count {
		if !b.evictSession(now) {
			return
		}
	}
}

// textBytes returns the length of the texts of a request that its client chooses: its names, which need not be those of
// the settings while it is queued, and its statement.
func (r *Request) textBytes() int { return len(r.Class) + len(r.Tenant) + len(r.Body) }

// holdRequest reports whether the texts of a request may be held, and accounts for them. Small ones always may.
func (m *heldMemory) holdRequest(request *Request) bool {
	cost := memorybudget.StatementCost(request.textBytes())
	return cost == 0 || m.statements.Add(cost) == memorybudget.Admit
}

// releaseRequest ends the use of the texts of a request.
func (m *heldMemory) releaseRequest(request *Request) {
	m.statements.Remove(memorybudget.StatementCost(request.textBytes()))
}

// holdCommand accounts for a command that was queued as the count-th of its session. It reports whether the session may
// hold so many.
func (m *heldMemory) holdCommand(count int) bool {
	if m.statements.Add(memorybudget.QueuedCommandBytes) == memorybudget.Admit {
		return true
	}
	m.statements.Remove(-memorybudget.QueuedCommandBytes)
	return count <= minQueuedCommands
}

// releaseCommand ends the use of a queued command and its statement.
func (m *heldMemory) releaseCommand(queued command) {
	m.statements.Remove(memorybudget.QueuedCommandBytes)
	if submit, ok := queued.(SubmitRequest); ok {
		m.releaseRequest(&submit.Request)
	}
}
