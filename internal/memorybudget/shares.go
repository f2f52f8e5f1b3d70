// Package memorybudget divides a broker's memory limit among what its clients, its engines and the endpoint list make
// it hold, and decides what to do when a share is used up: admit, pause reading, evict a connection, or reject a
// request. It performs no I/O, reads no clock and is not safe for concurrent use.
package memorybudget

import "wheatlane/internal/overload"

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// What a process holds whatever its clients do.
const (
	// ProgramBytes is the resident part of the program file and of the C library, and what the process allocates outside
	// of the Go runtime.
	ProgramBytes = 16 * megabyte
	// baseBytes is the memory of the Go runtime without clients: its own tables, settings, engines and the log's queue.
	baseBytes = 3 * megabyte
	// garbageFraction is the fraction of the Go runtime's memory that is left for memory that is not in use any more and
	// not collected yet.
	garbageFraction = 0.25
	// maxRuntimeFraction limits the Go runtime's part of a large memory limit.
	maxRuntimeFraction = 0.6
)

// The shares of the memory that clients, engines and the endpoint list may make the broker hold. They add up to 1.
const (
	sessionFraction   = 0.52
	inputFraction     = 0.14
	statementFraction = 0.12
	outputFraction    = 0.11
	resultFraction    = 0.11
)

const (
	// EngineBytes is the memory of an engine in the endpoint list and in the decision module.
	EngineBytes = 2 * kilobyte
	// SessionBytes is the memory of a client's connection that rests or has one small request open.
	SessionBytes = 12 * kilobyte
	// SmallMessageBytes is the size up to which a message is part of SessionBytes.
	SmallMessageBytes = 2 * kilobyte
	// LentInputBytes is the memory of one message of the largest size, lent to one that has arrived while those that
	// have not use up their share.
	LentInputBytes = 2 * (64*kilobyte + 4)
	// QueuedCommandBytes is the memory of a command that is queued behind an open request, without its statement.
	QueuedCommandBytes = 512
	// statementCopies is the number of copies of a statement that an open request may hold: its own, and the one that is
	// queued for an engine.
	statementCopies = 2

	maxListBytes  = 4 * megabyte
	listDivisor   = 8 // a list may have 1/listDivisor of the memory limit
	closingShares = 8 // of this many connections, one may be closing
)

// Shares is the division of a memory limit.
type Shares struct {
	RuntimeBytes   int64 // memory limit of the Go runtime
	Sessions       int   // clients' connections that are not closing
	Connections    int   // clients' connections, including those that are closing
	InputBytes     int   // messages larger than SmallMessageBytes that are not complete, without LentInputBytes
	StatementBytes int   // statements of open and queued requests, and queued commands
	OutputBytes    int   // replies that were not sent
	ResultBytes    int   // pages of results that are not complete
	ListBytes      int   // a page of the change log
}

// minHeldBytes is what clients may make the broker hold however many engines are listed.
const minHeldBytes = 5 * megabyte / 2

// Divide divides a memory limit among the clients of a broker whose endpoint list holds a number of engines.
func Divide(limitBytes int64, engines int) Shares {
	runtime := min(limitBytes-ProgramBytes, int64(maxRuntimeFraction*float64(limitBytes)))
	if limitBytes < minDivisibleBytes {
		runtime = minDivisibleBytes - ProgramBytes
	}
	held := (1-garbageFraction)*float64(runtime) - baseBytes - float64(engines*EngineBytes)
	held = max(held, minHeldBytes)
	share := func(fraction float64) int { return int(fraction * held) }
	sessions := share(sessionFraction) / SessionBytes
	return Shares{
		RuntimeBytes:   runtime,
		Sessions:       sessions - sessions/closingShares,
		Connections:    sessions,
		InputBytes:     share(inputFraction) - LentInputBytes,
		StatementBytes: share(statementFraction),
		OutputBytes:    share(outputFraction),
		ResultBytes:    share(resultFraction),
		ListBytes:      int(min(maxListBytes, max(limitBytes, minDivisibleBytes)/listDivisor)),
	}
}

// OverloadLimits returns what a process with a memory limit must keep.
func OverloadLimits(limitBytes int64) overload.Limits {
	return overload.Limits{
		ResidentBytes: limitBytes, RuntimeBytes: Divide(limitBytes, 0).RuntimeBytes, BaseBytes: baseBytes,
	}
}

// minDivisibleBytes is the least memory limit that can be divided. Smaller limits are not valid in a configuration.
const minDivisibleBytes = 32 * megabyte

// StatementCost returns the memory that a request with a statement of the given size holds until it is answered.
func StatementCost(statementBytes int) int {
	if statementBytes <= SmallMessageBytes {
		return 0
	}
	return statementCopies * statementBytes
}
