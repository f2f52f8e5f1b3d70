// Package processstate describes a broker's process beside the state of its reducer: its connections and its memory.
package processstate

import (
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/overload"
	"wheatlane/internal/processmemory"
	"wheatlane/internal/server/netconn"
)

// State is the state of a process at one time.
type State struct {
	Connections netconn.ConnectionCounts
	Memory      Memory
}

// Memory is what a process holds, and what its accounts count of it.
type Memory struct {
	Usage    processmemory.Usage
	Accounts memorybudget.Accounts
	Level    overload.Level // at which the broker protects itself against its memory limit
}
