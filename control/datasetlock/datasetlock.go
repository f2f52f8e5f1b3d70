// Package datasetlock keeps requests that lock a data set (a group of tables) on their engine away from
// those that the lock blocks: by what is known of held locks, and by a rank of the engines on which all
// brokers agree.
package datasetlock

import (
	"slices"
	"time"

	"wheatlane/control/units"
)

// Role is what a request has to do with the lock of its data set.
type Role int

// The roles of a request.
const (
	Unaffected Role = iota
	Holder          // locks its data set while it runs
	Blocked         // makes no progress while another request holds the lock
)

// RoleOf returns the role of a class of request. One that holds the lock may be blocked by others as well.
func RoleOf(holdsLock, blockedByLock bool) Role {
	switch {
	case holdsLock:
		return Holder
	case blockedByLock:
		return Blocked
	}
	return Unaffected
}

// Locks are the data sets that are presumed locked on an engine by requests of other brokers.
type Locks struct{ locks []lock }

type lock struct {
	dataSet   int
	expiresAt time.Duration
}

// PresumeLocked records that a data set seems to be locked until a time.
func (l *Locks) PresumeLocked(dataSet int, until time.Duration) {
	l.locks = append(l.locks, lock{dataSet, until})
}

// Locked reports whether a data set is presumed locked. It drops the locks that have expired.
func (l *Locks) Locked(dataSet int, now time.Duration) bool {
	if len(l.locks) == 0 {
		return false
	}
	l.locks = slices.DeleteFunc(l.locks, func(held lock) bool { return held.expiresAt <= now })
	return slices.ContainsFunc(l.locks, func(held lock) bool { return held.dataSet == dataSet })
}

// MarkUnlocked records that a data set is no longer locked, as a request that the lock blocks was answered.
func (l *Locks) MarkUnlocked(dataSet int) {
	l.locks = slices.DeleteFunc(l.locks, func(held lock) bool { return held.dataSet == dataSet })
}

const (
	hashMultiplier = 31      // of a polynomial hash of text
	hashModulus    = 1000003 // keeps a hash small enough for products

	knuthMultiplier = 2654435761 // multiplicative hashing (Knuth) spreads neighbours over all values
	rankBits        = 16
)

// RankHash is a hash of an engine's ID, for Rank. It is the same at every broker. In gossip, engines have
// another hash, control.GossipID.
func RankHash(id string) int {
	hash := 0
	for _, char := range id {
		hash = (hash*hashMultiplier + int(char)) % hashModulus
	}
	return hash
}

// Rank is the rank, from 0 to 1, of an engine among all for a data set.
func Rank(rankHash, dataSet int) units.Fraction {
	hash := uint32(rankHash*hashMultiplier+dataSet) * knuthMultiplier
	return units.Fraction(hash>>rankBits) / (1 << rankBits)
}
