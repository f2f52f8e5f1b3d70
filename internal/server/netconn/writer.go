package netconn

import "sync"

// onDemandWriter runs a connection's writer in a goroutine of its own, only while there is something to write: most
// connections rest most of the time, and a goroutine's stack is the largest part of the memory of one that rests. The
// lock of the connection's send queue guards it, except for wait.
type onDemandWriter struct {
	goroutines sync.WaitGroup
	write      func() (ended bool) // handles what is queued; nil before start and after stop
	running    bool
	woken      bool // there is something to write that the current call of write may have missed
}

// start allows the writer to run. write is called whenever the writer was woken, until it returns true. It is called
// without the lock, never concurrently with itself. lock guards the writer.
func (w *onDemandWriter) start(lock sync.Locker, write func() (ended bool)) {
	w.write = func() (ended bool) {
		ended = write()
		lock.Lock()
		defer lock.Unlock()
		if ended {
			w.write = nil
		}
		w.running = w.woken && w.write != nil
		w.woken = false
		return !w.running
	}
	if w.woken {
		w.woken = false
		w.wake()
	}
}

// wake makes the writer run. Before start, the writer runs once it is started.
func (w *onDemandWriter) wake() {
	if w.running || w.write == nil {
		w.woken = true
		return
	}
	w.running = true
	write := w.write
	w.goroutines.Go(func() {
		for !write() {
			continue
		}
	})
}

// stop prevents further runs.
func (w *onDemandWriter) stop() { w.write = nil }

// wait waits until the writer does not run. It must be called after stop, without the lock.
func (w *onDemandWriter) wait() { w.goroutines.Wait() }
