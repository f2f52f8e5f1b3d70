package netconn

import (
	"slices"
	"sync/atomic"
)

// Side is the kind of peer of a connection.
type Side string

// The kinds of peers.
const (
	ClientSide    Side = "client"
	EngineSide    Side = "engine"
	ChangelogSide Side = "changelog"
)

var allSides = [...]Side{ClientSide, EngineSide, ChangelogSide}

// EndCounts counts ended connections by side and reason. It is safe for concurrent use.
type EndCounts struct {
	counts [len(allSides)][len(Reasons)]atomic.Uint64
}

// Add counts a connection that has ended. An unknown side or reason is ignored.
func (c *EndCounts) Add(side Side, reason Reason) {
	i, j := slices.Index(allSides[:], side), slices.Index(Reasons[:], reason)
	if i >= 0 && j >= 0 {
		c.counts[i][j].Add(1)
	}
}

// ConnectionCounts holds the numbers of open and of ended connections of a process.
type ConnectionCounts struct {
	Clients, Engines int        // open connections
	Ends             *EndCounts // ended connections; nil: not counted
}

// EachEndReason calls f with each reason, in the order of Reasons, and the number of connections of a side that have
// ended for that reason since the start. It does not call f if ended connections are not counted.
func (c *ConnectionCounts) EachEndReason(side Side, f func(reason Reason, count uint64)) {
	i := slices.Index(allSides[:], side)
	if i < 0 || c.Ends == nil {
		return
	}
	for j, reason := range Reasons {
		f(reason, c.Ends.counts[i][j].Load())
	}
}
