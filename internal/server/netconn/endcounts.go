package netconn

import (
	"slices"
	"sync/atomic"
)

// Side is who is at the other end of a connection.
type Side string

// The sides.
const (
	ClientSide    Side = "client"
	EngineSide    Side = "engine"
	ChangelogSide Side = "changelog"
)

var allSides = [...]Side{ClientSide, EngineSide, ChangelogSide}

// EndCounts counts ended connections by side and reason. All goroutines may use it.
type EndCounts struct {
	counts [len(allSides)][len(Reasons)]atomic.Uint64
}

// Add counts a connection that ended.
func (c *EndCounts) Add(side Side, reason Reason) {
	i, j := slices.Index(allSides[:], side), slices.Index(Reasons[:], reason)
	if i >= 0 && j >= 0 {
		c.counts[i][j].Add(1)
	}
}

// ConnectionCounts are the open connections of a process and, by Ends, those that ended.
type ConnectionCounts struct {
	Clients, Engines int        // open connections
	Ends             *EndCounts // nil: none are counted
}

// EachEndReason calls f with each reason, in the order of Reasons, and the number of connections of a side
// that ended for it since the start.
func (c *ConnectionCounts) EachEndReason(side Side, f func(reason Reason, count uint64)) {
	i := slices.Index(allSides[:], side)
	if i < 0 || c.Ends == nil {
		return
	}
	for j, reason := range Reasons {
		f(reason, c.Ends.counts[i][j].Load())
	}
}
