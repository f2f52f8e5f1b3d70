package server

import (
	"sync/atomic"
	"time"
)

// longestTimeout is the longest timeout that it was ever raised to. Any goroutine may load it; one raises it at a time.
type longestTimeout struct{ nanoseconds atomic.Int64 }

func (t *longestTimeout) load() time.Duration { return time.Duration(t.nanoseconds.Load()) }

func (t *longestTimeout) raise(to time.Duration) { t.nanoseconds.Store(int64(max(t.load(), to))) }
