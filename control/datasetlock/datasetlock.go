// Package datasetlock separates requests that lock a data set (a group of tables) on their engine from
// requests that the lock blocks. It tracks the locks that are presumed held, and ranks the engines for each
// data set in the same order at all brokers.
package datasetlock

import (
	"slices"
	"time"

	"wheatlane/control/units"
)

// Role is the relation of a request to the lock of its data set.
type Role int

// The roles of a request.
const (
	Unaffected Role = iota
	Holder          // locks its data set while it runs
	Blocked         // makes no progress while another request holds the lock
)

// RoleOf returns the role of a class of request. A class that both holds and waits for the lock is a Holder.
func RoleOf(holdsLock, blockedByLock bool) Role {
	switch {
	case holdsLock:
		return Holder
	case blockedByLock:
		return Blocked
	}
	return Unaffected
}

// Locks records the data sets of an engine that are presumed locked by requests of other brokers.
type Locks struct{ locks []lock }

type lock struct {
	dataSet   int
	expiresAt time.Duration
}

// PresumeLocked records that a data set is presumed locked until a time.
func (l *Locks) PresumeLocked(dataSet int, until time.Duration) {
	l.locks = append(l.locks, lock{dataSet, until})
}

// Locked reports whether a data set is presumed locked. It removes expired locks.
func (l *Locks) Locked(dataSet int, now time.Duration) bool {
	if len(l.locks) == 0 {
		return false
	}
	l.locks = slices.DeleteFunc(l.locks, func(held lock) bool { return held.expiresAt <= now })
	return slices.ContainsFunc(l.locks, func(held lock) bool { return held.dataSet == dataSet })
}

// MarkUnlocked records that a data set is no longer locked, because a request that the lock would have
// blocked was answered.
func (l *Locks) MarkUnlocked(dataSet int) {
	l.locks = slices.DeleteFunc(l.locks, func(held lock) bool { return held.dataSet == dataSet })
}

const (
	hashMultiplier = 31      // multiplier of a polynomial hash of text
	hashModulus    = 1000003 // keeps a hash small enough for products

	knuthMultiplier = 2654435761 // Knuth's multiplicative hashing spreads adjacent values over the range
	rankBits        = 16         // high-order bits of the product that form a rank
)

// RankHash returns the hash of an engine's ID that Rank uses. It is the same at every broker. Gossip
// identifies engines by another hash, control.GossipID.
func RankHash(id string) int {
	hash := 0
	for _, char := range id {
		hash = (hash*hashMultiplier + int(char)) % hashModulus
	}
	return hash
}

// Rank returns the rank of an engine for a data set, from 0 (inclusive) to 1 (exclusive).
func Rank(rankHash, dataSet int) units.Fraction {
	hash := uint32(rankHash*hashMultiplier+dataSet) * knuthMultiplier
	return units.Fraction(hash>>rankBits) / (1 << rankBits)
}
