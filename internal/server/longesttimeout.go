package server

import (
	"sync/atomic"
	"time"
)

// longestTimeout holds the longest timeout passed to raise. Any goroutine may call load, but calls of raise must not
// overlap.
type longestTimeout struct{ nanoseconds atomic.Int64 }

func (t *longestTimeout) load() time.Duration { return time.Duration(t.nanoseconds.Load()) }

func (t *longestTimeout) raise(to time.Duration) { t.nanoseconds.Store(int64(max(t.load(), to))) }
