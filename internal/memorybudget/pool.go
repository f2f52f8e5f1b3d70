package memorybudget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wheatlane/internal/fifo"
)

// StallGrace is the time that a holder may keep its memory undisturbed while others wait for it. A client on a slow
// network completes a message within it.
const StallGrace = 250 * time.Millisecond

// Decision is what a pool decides on a request for memory.
type Decision int

// The decisions.
const (
	Admit  Decision = iota // the memory may be used now
	Pause                  // the holder waits until Release admits it
	Reject                 // the memory exceeds the pool
)

// Pool decides which holders may use memory of one share, in the order of their requests. Holders that wait get what
// others release; Victim names a holder to evict for them. The zero value has no capacity.
type Pool[Holder comparable] struct {
	capacity int
	used     int
	holdings map[Holder]holding
	waiting  fifo.Queue[wait[Holder]]
	admitted uint64 // number of admissions since the start
	paused   bool   // nothing is admitted
}

// holding is the memory that a holder uses.
type holding struct {
	bytes  int
	since  time.Duration
	number uint64 // of its admission
}

// wait is a request for memory that waits.
type wait[Holder comparable] struct {
	holder Holder
	bytes  int // in total, with what the holder uses already
}

// NewPool returns an unused pool.
func NewPool[Holder comparable](capacityBytes int) *Pool[Holder] {
	return &Pool[Holder]{capacity: capacityBytes, holdings: map[Holder]holding{}}
}

// SetCapacity changes the capacity. Memory in use beyond it stays in use until it is released.
func (p *Pool[Holder]) SetCapacity(bytes int) { p.capacity = bytes }

// Used returns the memory in use, in bytes.
func (p *Pool[Holder]) Used() int { return p.used }

// Waiting returns the number of holders that wait.
func (p *Pool[Holder]) Waiting() int { return p.waiting.Len() }

// Request asks that a holder may use a number of bytes in total. After Pause the holder waits until Release returns it.
func (p *Pool[Holder]) Request(now time.Duration, holder Holder, bytes int) Decision {
	switch {
	case bytes > p.capacity:
		return Reject
	case p.waiting.Len() == 0 && p.fits(holder, bytes):
		p.admit(now, holder, bytes)
		return Admit
	}
	p.waiting.Push(wait[Holder]{holder, bytes})
	return Pause
}

// Lend admits a holder before those that wait, beyond the capacity if need be, and reports whether it did: not during
// a pause. The caller limits how many holders have memory in this way at once.
func (p *Pool[Holder]) Lend(now time.Duration, holder Holder, bytes int) bool {
	if p.paused {
		return false
	}
	p.waiting.DeleteFunc(func(w wait[Holder]) bool { return w.holder == holder })
	p.admit(now, holder, bytes)
	return true
}

// Release ends the use of memory by a holder, or its wait, and returns the waiting holders that are admitted.
func (p *Pool[Holder]) Release(now time.Duration, holder Holder) (admitted []Holder) {
	p.used -= p.holdings[holder].bytes
	delete(p.holdings, holder)
	p.waiting.DeleteFunc(func(w wait[Holder]) bool { return w.holder == holder })
	return p.admitWaiting(now)
}

// SetPaused pauses or resumes admissions, whatever is free, and returns the waiting holders that are admitted.
func (p *Pool[Holder]) SetPaused(now time.Duration, paused bool) (admitted []Holder) {
	p.paused = paused
	return p.admitWaiting(now)
}

// admitWaiting admits the holders that wait, in their order, as far as they fit.
func (p *Pool[Holder]) admitWaiting(now time.Duration) (admitted []Holder) {
	for p.waiting.Len() > 0 {
		next := p.waiting.Items()[0]
		if !p.fits(next.holder, next.bytes) {
			break
		}
		_, _ = p.waiting.Pop()
		p.admit(now, next.holder, next.bytes)
		admitted = append(admitted, next.holder)
	}
	return admitted
}

// Victim returns the holder to evict so that others need not wait: the one that has used its memory for longest, and
// for at least StallGrace. ok is false if nobody waits or all holders are younger.
func (p *Pool[Holder]) Victim(now time.Duration) (victim Holder, ok bool) {
	if p.waiting.Len() == 0 {
		return victim, false
	}
	first := p.admitted + 1
	for holder, holding := range p.holdings {
		if now-holding.since >= StallGrace && holding.number < first {
			victim, first, ok = holder, holding.number, true
		}
	}
	return victim, ok
}

// Oldest returns the holders that have used their memory for longest, up to a number of them.
func (p *Pool[Holder]) Oldest(count int) []Holder {
	oldest := slices.Collect(maps.Keys(p.holdings))
	slices.SortFunc(oldest, func(a, b Holder) int { return cmp.Compare(p.holdings[a].number, p.holdings[b].number) })
	return oldest[:min(count, len(oldest))]
}

// fits reports whether a holder may use a number of bytes in total.
func (p *Pool[Holder]) fits(holder Holder, bytes int) bool {
	return !p.paused && p.used-p.holdings[holder].bytes+bytes <= p.capacity
}

func (p *Pool[Holder]) admit(now time.Duration, holder Holder, bytes int) {
	p.used += bytes - p.holdings[holder].bytes
	p.admitted++
	p.holdings[holder] = holding{bytes: bytes, since: now, number: p.admitted}
}

// Account decides whether more memory of one share may be used, without a wait.
type Account struct {
	capacity, used int
}

// NewAccount returns an unused account.
func NewAccount(capacityBytes int) Account { return Account{capacity: capacityBytes} }

// SetCapacity changes the capacity. Memory in use beyond it stays in use until it is removed.
func (a *Account) SetCapacity(bytes int) { a.capacity = bytes }

// Used returns the memory in use, in bytes.
func (a *Account) Used() int { return a.used }

// Add uses memory and returns Admit, or returns Reject if it exceeds the share.
func (a *Account) Add(bytes int) Decision {
	if a.used+bytes > a.capacity {
		return Reject
	}
	a.used += bytes
	return Admit
}

// Remove ends the use of memory.
func (a *Account) Remove(bytes int) { a.used -= bytes }

// Usage is the memory that a holder uses, in bytes.
type Usage[Holder any] struct {
	Holder Holder
	Bytes  int
}

// Evict returns the holders to evict so that the memory of the others stays within the capacity: those with the most
// memory.
func Evict[Holder any](capacityBytes int, usages []Usage[Holder]) (victims []Holder) {
	excess := -capacityBytes
	for _, usage := range usages {
		excess += usage.Bytes
	}
	byMemory := slices.Clone(usages)
	slices.SortStableFunc(byMemory, func(a, b Usage[Holder]) int { return b.Bytes - a.Bytes })
	for _, usage := range byMemory {
		if excess <= 0 {
			break
		}
		excess -= usage.Bytes
		victims = append(victims, usage.Holder)
	}
	return victims
}
