package control

import "time"

// noticeInterval is the shortest time between two notices about the same event of the same engine.
const noticeInterval = 5 * time.Second

// noticeKey identifies the subject of a notice to the operators, for throttling.
type noticeKey struct {
	event  engineEvent
	engine string
}

// engineEvent is the kind of a notice about an engine.
type engineEvent int

const (
	ejected engineEvent = iota
	restored
)

// emitThrottled emits a notice to the operators unless one with the same key was emitted less than
// noticeInterval ago. The last notice about a flapping engine may therefore be outdated; View has its current
// state.
func (c *Controller) emitThrottled(key noticeKey, action Action) {
	if c.noticeThrottle.Allows(key, c.now) {
		c.emit(action)
	}
}
