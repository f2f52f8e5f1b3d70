package overload

import "time"

const (
	// unaccountedDivisor: 1/unaccountedDivisor of the memory limit may be live beyond what the accounts count.
	unaccountedDivisor  = 8
	minUnaccountedBytes = 4 << 20
	// A difference counts once this many collections in a row, over at least minUnaccountedTime, have found it: what is
	// released during a collection may still count as live.
	minUnaccountedFinds = 3
	minUnaccountedTime  = 500 * time.Millisecond
)

// auditor compares what the accounts count with what collections find live. Memory that an account calls released while
// something still refers to it is live, and counted nowhere.
type auditor struct {
	allowed      int64 // live bytes beyond the accounts
	collections  uint64
	maxAccounted int64 // since the collection before the last one
	doubtful     bool  // what was released shortly before the last collection may still be live
	finds        int   // collections in a row that found too much live
	since        time.Duration
	reported     bool
}

func newAuditor(limits Limits) auditor {
	return auditor{allowed: limits.BaseBytes + max(minUnaccountedBytes, limits.ResidentBytes/unaccountedDivisor)}
}

// suspects reports whether another collection has to confirm what the last one found.
func (a *auditor) suspects() bool { return (a.finds > 0 || a.doubtful) && !a.reported }

// update reports a violation, once until it has ended.
func (a *auditor) update(now time.Duration, usage Usage) (violated bool) {
	a.maxAccounted = max(a.maxAccounted, usage.Accounted)
	if usage.Collections == a.collections {
		return false
	}
	accounted := a.maxAccounted
	a.collections, a.maxAccounted = usage.Collections, usage.Accounted
	a.doubtful = usage.LiveBytes > usage.Accounted+a.allowed
	if usage.LiveBytes <= accounted+a.allowed {
		a.finds, a.reported = 0, a.reported && a.doubtful
		return false
	}
	if a.finds++; a.finds == 1 {
		a.since = now
	}
	if a.reported || a.finds < minUnaccountedFinds || now-a.since < minUnaccountedTime {
		return false
	}
	a.reported = true
	return true
}
