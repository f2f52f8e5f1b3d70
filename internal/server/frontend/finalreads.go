package frontend

import "time"

const (
	// finalReads is the number of reads that must time out during a shutdown to show that a socket is empty. One is
	// not enough: bytes may arrive as its deadline passes, and the next read finds them.
	finalReads = 2
	// finalReadTimeout is the timeout of one such read, and of the listener's wait for connections.
	finalReadTimeout = 20 * time.Millisecond
)

// BeginFinalReads has the listener accept, and the reader of each client read, what has arrived. The listener closes
// after that; clients are read on.
func (f *Frontend) BeginFinalReads() {
	f.mu.Lock()
	f.finalReads = true
	f.mu.Unlock()
	f.setFinalAcceptDeadline()
	for _, c := range f.clients {
		_ = c.conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only on one that has closed
	}
}

// ListenerClosed reports whether the final reads of the listener are complete: all connections that had come to it are
// clients now.
func (f *Frontend) ListenerClosed() bool { return f.listenerClosed }

// AllRead reports whether each client's socket was found empty by its final reads, and all that is addressed to the
// clients has been sent.
func (f *Frontend) AllRead() bool {
	for _, c := range f.clients {
		if !c.fullyRead || !c.conn.AllSent() {
			return false
		}
	}
	return true
}

// inFinalReads reports whether the final reads have begun. Any goroutine may call it.
func (f *Frontend) inFinalReads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finalReads
}

// setFinalAcceptDeadline bounds the wait of the listener for connections that have come.
func (f *Frontend) setFinalAcceptDeadline() {
	if listener, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(time.Now().Add(finalReadTimeout)) // fails only on one that has closed
	}
}
