package frontend

import "time"

const (
	// finalReads is the number of reads that must time out during a shutdown before a socket counts as empty. One is
	// not enough: bytes that arrive when its deadline passes are found by the next read only.
	finalReads = 2
	// finalReadTimeout is the timeout of one final read, and of one final accept of the listener.
	finalReadTimeout = 20 * time.Millisecond
)

// BeginFinalReads begins the final reads of a shutdown: the listener accepts the connections that have arrived and then
// closes, and the reader of each client reads the bytes that have arrived and then continues.
func (f *Frontend) BeginFinalReads() {
	f.mu.Lock()
	f.finalReads = true
	f.mu.Unlock()
	f.setFinalAcceptDeadline()
	for _, c := range f.clients {
		_ = c.conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only if the connection has closed
	}
}

// ListenerClosed reports whether the final reads of the listener are complete: all connections that had arrived are
// registered as clients.
func (f *Frontend) ListenerClosed() bool { return f.listenerClosed }

// AllRead reports whether the final reads found the socket of each client empty, and all replies to clients have been
// sent.
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

// setFinalAcceptDeadline limits the next accept of the listener to finalReadTimeout.
func (f *Frontend) setFinalAcceptDeadline() {
	if listener, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(time.Now().Add(finalReadTimeout)) // fails only if the listener has closed
	}
}
