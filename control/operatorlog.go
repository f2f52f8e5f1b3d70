package control

import "time"

// noticeInterval is the least time between two lines about one event of an engine.
const noticeInterval = 5 * time.Second

// noticeKey is what a line for the operators is about.
type noticeKey struct {
	event  engineEvent
	engine string
}

// engineEvent is what happened to an engine.
type engineEvent int

const (
	ejected engineEvent = iota
	restored
)

// emitThrottled emits an action for the operators, unless one about the same subject was emitted less than
// logInterval ago. So the last line about an engine that flaps may not be of its state: View has that.
func (c *Controller) emitThrottled(subject noticeKey, action Action) {
	if c.noticeThrottle.Allows(subject, c.now) {
		c.emit(action)
	}
}
