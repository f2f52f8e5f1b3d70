package control

import (
	"fmt"
	"time"

	"wheatlane/control/loadreport"
	"wheatlane/control/units"
)

// handleRandomEvent passes one random event to the controller. It returns false if it drew the end of an
// attempt while none is in flight.
func (c *ruleChecker) handleRandomEvent(step int) bool {
	c.t.Helper()
	switch draw := c.rng.IntN(12); {
	case draw == 0:
		c.updateEngine()
	case draw < 6:
		c.receive(step)
	case draw < 10:
		return c.endInFlight()
	case draw == 10:
		if r, number := c.randomAttemptInFlight(); r != nil {
			kind := ProgressKind(1 + c.rng.IntN(3))
			c.check(c.handle(AttemptProgress{
				RequestID: r.ID, Number: number, Kind: kind, Value: c.rng.Float64(),
			}))
		}
	default:
		c.disconnect()
	}
	return true
}

// updateEngine updates an engine of the endpoint list to a random state; zone and cell of a listed engine
// stay.
func (c *ruleChecker) updateEngine() {
	c.t.Helper()
	e := Engine{
		ID: fmt.Sprint("e", c.rng.IntN(4)), Zone: []string{"a", "b"}[c.rng.IntN(2)], Kind: "std",
		State: EngineState(max(0, c.rng.IntN(5)-2)),
	}
	if listed, ok := c.engines[e.ID]; ok {
		e.Zone, e.Cell = listed.Zone, listed.Cell
	} else {
		e.Cell = c.rng.IntN(2)
	}
	if c.rng.IntN(3) == 0 {
		e.StartedAt = c.now
	}
	c.engines[e.ID], c.unavailable[e.ID] = e, e.State != Ready
	c.check(c.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{e}}))
}

func (c *ruleChecker) receive(step int) {
	c.t.Helper()
	class := c.settings.Classes[c.rng.IntN(2)]
	wait := time.Duration(200+c.rng.IntN(5000)) * ms
	r := &trackedRequest{
		Request: Request{
			ID: fmt.Sprint(c.seed, "-", step), Class: class.Name, Deadline: c.now + wait,
			EstimatedMemoryMB: float64(c.rng.IntN(3)) * 200,
		},
		class: class, arrivalIndex: step,
	}
	if class.Ordered {
		r.OrderKey = fmt.Sprint("k", c.rng.IntN(3))
	}
	c.requests[r.ID] = r
	c.arrivals = append(c.arrivals, r)
	c.arrivedAt = append(c.arrivedAt, c.now)
	c.check(c.handle(RequestReceived{Request: r.Request}))
}

// endInFlight ends an attempt in flight with a random status. It returns false if it finds none.
func (c *ruleChecker) endInFlight() bool {
	c.t.Helper()
	r, number := c.randomAttemptInFlight()
	if r == nil {
		return false
	}
	status := Status(c.rng.IntN(8))
	a := r.attempts[number]
	a.inFlight = false
	a.mayHaveRun = status != AtCapacity && status != ConnectFailed && status != NeverSent
	if status == TimedOut || status == ConnectionReset || status == Cancelled {
		c.cooldownEnd[r.OrderKey] = c.now + c.settings.Rules.KeyCooldown
	}
	closed := !r.open() || status == OK
	r.closed = r.closed || status == OK
	work := time.Duration(c.rng.IntN(300)) * ms
	report := loadreport.Report{
		Reported: c.settings.EnginesReportLoad, Utilization: units.Fraction(c.rng.Float64() * 1.2), RequestsInFlight: 3,
	}
	c.check(c.handle(AttemptEnded{
		RequestID: r.ID, Number: number, Status: status, RequestClosed: closed, Duration: c.now - a.sentAt,
		Work: work, MemoryMB: 100, Report: report,
	}))
	return true
}

// disconnect simulates the disconnect of the client of a random request.
func (c *ruleChecker) disconnect() {
	c.t.Helper()
	if len(c.arrivals) == 0 {
		return
	}
	r := c.arrivals[c.rng.IntN(len(c.arrivals))]
	if r.answerCount == 0 {
		r.closed = true
	}
	c.check(c.handle(ClientDisconnected{RequestID: r.ID}))
}

// pauseProcess simulates a process pause, at most until the next deadline: timers due meanwhile fire late.
func (c *ruleChecker) pauseProcess() {
	c.t.Helper()
	c.check(c.advance(5 * ms))
	length := 2 * time.Second
	for _, r := range c.arrivals {
		if r.open() {
			length = min(length, r.Deadline-c.now-20*ms)
		}
	}
	c.now += max(0, length)
}

// randomAttemptInFlight returns a random attempt in flight of one of the latest requests, or nil if it finds
// none.
func (c *ruleChecker) randomAttemptInFlight() (*trackedRequest, int) {
	const tries, latest = 30, 30
	for range tries {
		if len(c.arrivals) == 0 {
			break
		}
		r := c.arrivals[max(0, len(c.arrivals)-1-c.rng.IntN(latest))]
		for number, a := range r.attempts {
			if a.inFlight {
				return r, number
			}
		}
	}
	return nil, 0
}
