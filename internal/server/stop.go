package server

import (
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
)

// A planned restart goes in steps. Requests go on coming for a while after SIGTERM and are served as before. Then the
// doors are shut: what the system has accepted is taken, the listener closes, and every client's socket is read until
// it is empty once, so that nothing that came is left in the kernel or on its way to the reducer. Once all that was
// taken is answered, and the answers have left, the connections are parted with: the broker ends what it writes and
// waits for the clients to end as well, as closing with bytes unread could destroy the last answers.

// looks is how many time-outs tell that a socket is empty: what comes as the first one runs out is not seen by the call
// that it ends, and the next call looks first.
const looks = 2

// parting is how far a planned restart has come.
type parting struct {
	since  time.Time     // when SIGTERM came; zero: it did not
	within time.Duration // what is left so long after that is answered
	window time.Duration // requests come for so long
	shut   bool          // the doors are being shut
	closed bool          // the listener has closed, and all that had come to it was taken
	begun  time.Time     // when the connections were parted with
}

// stop begins a planned restart.
func (n *Server) stop() {
	// By the classes in force: those before a reload may have had others, but SIGKILL comes by these.
	longest := time.Duration(0)
	for _, k := range n.cfg.Settings.Control.Classes {
		longest = max(longest, k.ClientTimeout)
	}
	if longest == 0 || longest > stopCap {
		longest = stopCap
	}
	within := longest + stopExtra - stopMargin
	n.parting = parting{since: time.Now(), within: within, window: min(stopWindow, within)}
	n.log.Info("stopping", zap.Int("open", n.b.OpenRequests()), zap.Duration("within", within))
	n.apply(broker.Shutdown{Within: within})
}

// finished tells whether a stopping broker has answered all that it took and its last words have left, and moves it on.
func (n *Server) finished() bool {
	p := &n.parting
	if p.since.IsZero() {
		return false
	}
	after := time.Since(p.since)
	if !p.shut && after >= p.window {
		p.shut = true
		n.shutDoors()
	}
	switch {
	case after >= p.within+flushWait && n.b.OpenRequests() == 0:
		return true // SIGKILL is near
	case !p.shut || n.b.OpenRequests() > 0 || !n.readOut():
		return false
	case p.begun.IsZero():
		p.begun = time.Now()
		// Guards against a request that is read after the shutdown, on a connection that rested until then, and sent on:
		// its answer could not leave any more.
		n.apply(broker.SendFinalAnswers{})
		for _, c := range n.clients {
			c.link.finish(&ended{Reason: Shutdown})
		}
	}
	return len(n.clients) == 0
}

// shutDoors has the listener and every client's reader look once more at what has come.
func (n *Server) shutDoors() {
	n.mu.Lock()
	n.doors = true
	n.mu.Unlock()
	n.waitForMore()
	for _, c := range n.clients {
		c.link.nc.SetReadDeadline(time.Now().Add(doorWait)) //nolint:errcheck // one that has closed is on its way out
	}
}

// shutting tells whether the doors are being shut.
func (n *Server) shutting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doors
}

// readOut tells whether the listener took all that had come, and every client's socket was found empty since.
func (n *Server) readOut() bool {
	if !n.parting.closed {
		return false
	}
	for _, c := range n.clients {
		if !c.readOut || !c.link.empty() {
			return false
		}
	}
	return true
}

// readBy sets how long a client may say nothing. Where the doors are being shut and its socket was not read out yet, that
// is no longer than they take; under one lock, so that neither wish undoes the other.
func (c *client) readBy(within time.Duration) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.n.doors && c.looks < looks {
		within = min(within, doorWait)
	}
	return c.link.nc.SetReadDeadline(time.Now().Add(within))
}

// lastLook takes a time-out of a client's reader while the doors are being shut: its socket is empty. False if it is
// another time-out.
func (c *client) lastLook() bool {
	if c.looks == looks || !c.n.shutting() {
		return false
	}
	if c.looks++; c.looks == looks {
		c.n.post(c.n.ctx, func() { c.readOut = true })
	}
	return true
}

// nothingMore takes a time-out of the listener: the number of them so far tells whether all that had come is taken. If
// not, it is to accept again.
func (n *Server) nothingMore(timeouts int) bool {
	if timeouts >= looks {
		n.ln.Close()
		n.post(n.ctx, func() { n.parting.closed = true })
		return true
	}
	n.waitForMore()
	return false
}

// waitForMore gives the listener its time for a last look.
func (n *Server) waitForMore() {
	if ln, ok := n.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(time.Now().Add(doorWait)) //nolint:errcheck // one that has closed takes nothing any more
	}
}
