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

// finalReads is how many time-outs tell that a socket is empty: what comes as the first one runs out is not seen by the call
// that it ends, and the next call looks first.
const finalReads = 2

// shutdownState is how far a planned restart has come.
type shutdownState struct {
	requestedAt          time.Time     // when SIGTERM came; zero: it did not
	answerWithin         time.Duration // what is left so long after that is answered
	acceptWindow         time.Duration // requests come for so long
	closingListeners     bool          // the doors are being shut
	listenerClosed       bool          // the listener has closed, and all that had come to it was taken
	closingSessionsSince time.Time     // when the connections were parted with
}

// beginShutdown begins a planned restart.
func (n *Server) beginShutdown() {
	// By the classes in force: those before a reload may have had others, but SIGKILL comes by these.
	longest := time.Duration(0)
	for _, k := range n.cfg.Settings.Control.Classes {
		longest = max(longest, k.ClientTimeout)
	}
	if longest == 0 || longest > stopCap {
		longest = stopCap
	}
	within := longest + stopExtra - stopMargin
	n.parting = shutdownState{requestedAt: time.Now(), answerWithin: within, acceptWindow: min(stopWindow, within)}
	n.log.Info("stopping", zap.Int("open", n.b.OpenRequests()), zap.Duration("within", within))
	n.apply(broker.Shutdown{Within: within})
}

// shutdownComplete tells whether a stopping broker has answered all that it took and its last words have left, and moves it on.
func (n *Server) shutdownComplete() bool {
	p := &n.parting
	if p.requestedAt.IsZero() {
		return false
	}
	after := time.Since(p.requestedAt)
	if !p.closingListeners && after >= p.acceptWindow {
		p.closingListeners = true
		n.closeListeners()
	}
	switch {
	case after >= p.answerWithin+flushWait && n.b.OpenRequests() == 0:
		return true // SIGKILL is near
	case !p.closingListeners || n.b.OpenRequests() > 0 || !n.allRead():
		return false
	case p.closingSessionsSince.IsZero():
		p.closingSessionsSince = time.Now()
		// Guards against a request that is read after the shutdown, on a connection that rested until then, and sent on:
		// its answer could not leave any more.
		n.apply(broker.SendFinalAnswers{})
		for _, c := range n.clients {
			c.link.closeAfterSent(&endError{Reason: Shutdown})
		}
	}
	return len(n.clients) == 0
}

// closeListeners has the listener and every client's reader look once more at what has come.
func (n *Server) closeListeners() {
	n.mu.Lock()
	n.doors = true
	n.mu.Unlock()
	n.setFinalAcceptDeadline()
	for _, c := range n.clients {
		c.link.socket.SetReadDeadline(time.Now().Add(doorWait)) //nolint:errcheck // one that has closed is on its way out
	}
}

// closingListeners tells whether the doors are being shut.
func (n *Server) closingListeners() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doors
}

// allRead tells whether the listener took all that had come, and every client's socket was found empty since.
func (n *Server) allRead() bool {
	if !n.parting.listenerClosed {
		return false
	}
	for _, c := range n.clients {
		if !c.readOut || !c.link.allSent() {
			return false
		}
	}
	return true
}

// setReadTimeout sets how long a client may say nothing. Where the doors are being shut and its socket was not read out yet, that
// is no longer than they take; under one lock, so that neither wish undoes the other.
func (c *client) setReadTimeout(within time.Duration) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.n.doors && c.looks < finalReads {
		within = min(within, doorWait)
	}
	return c.link.socket.SetReadDeadline(time.Now().Add(within))
}

// finalRead takes a time-out of a client's reader while the doors are being shut: its socket is empty. False if it is
// another time-out.
func (c *client) finalRead() bool {
	if c.looks == finalReads || !c.n.closingListeners() {
		return false
	}
	if c.looks++; c.looks == finalReads {
		c.n.post(c.n.ctx, func() { c.readOut = true })
	}
	return true
}

// listenerTimedOut takes a time-out of the listener: the number of them so far tells whether all that had come is taken. If
// not, it is to accept again.
func (n *Server) listenerTimedOut(timeouts int) bool {
	if timeouts >= finalReads {
		n.ln.Close()
		n.post(n.ctx, func() { n.parting.listenerClosed = true })
		return true
	}
	n.setFinalAcceptDeadline()
	return false
}

// setFinalAcceptDeadline gives the listener its time for a last look.
func (n *Server) setFinalAcceptDeadline() {
	if ln, ok := n.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(time.Now().Add(doorWait)) //nolint:errcheck // one that has closed takes nothing any more
	}
}
