package control_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wheatlane/control"
)

type simulatedRequest struct {
	control.Request
	work     time.Duration
	threads  int
	attempts []*simulatedAttempt
	arrived  bool
	closed   bool
}

// submit schedules a request of a class, which a client sends after a delay.
func (c *simulatedCluster) submit(className, key string, delay time.Duration) {
	i := slices.IndexFunc(c.settings.Classes, func(k control.Class) bool { return k.Name == className })
	class := c.settings.Classes[max(0, i)]
	c.requestCount++
	wait := class.ClientTimeout
	if wait == 0 {
		wait = c.randomDuration(200*millisecond, 6*time.Second)
	}
	objective := class.LatencyObjective
	if objective <= 0 {
		objective = time.Second
	}
	work := 0.15 * objective.Seconds() * float64(max(1, class.Threads)) * math.Exp(0.8*c.rng.NormFloat64())
	r := &simulatedRequest{work: time.Duration(work * float64(time.Second)), threads: max(1, class.Threads)}
	r.Request = control.Request{
		ID: fmt.Sprint("r", c.requestCount), Class: className, Deadline: c.now + delay + wait, DataSet: c.rng.IntN(12),
	}
	if n := len(c.settings.Tenants); n > 0 {
		r.Tenant = append(c.settings.Tenants, control.Tenant{Name: "unknown"})[c.rng.IntN(n+1)].Name
	}
	if class.Ordered {
		if r.OrderKey = key; key == "" {
			r.OrderKey = fmt.Sprint("key", c.rng.IntN(8))
		}
	}
	if c.chance(c.estimateRate) {
		r.EstimatedWork = time.Duration(float64(r.work) * (0.6 + 0.8*c.rng.Float64()))
		r.EstimatedMemoryMB = 30 + 120*r.EstimatedWork.Seconds()
	}
	c.requests[r.ID] = r
	c.schedule(delay, control.RequestReceived{Request: r.Request})
	if c.chance(c.disconnectRate) {
		c.schedule(delay+c.randomDuration(0, wait), control.ClientDisconnected{RequestID: r.ID})
	}
}

// submitArrivals draws the requests of one step, at the rate that puts the configured load on the engines.
func (c *simulatedCluster) submitArrivals() {
	cores := 0.0
	for _, e := range c.engines {
		if e.State != control.Removed {
			cores += max(1, c.settings.EngineKinds[e.Kind].Cores)
		}
	}
	work := 0.0
	for i := range c.settings.Classes {
		work += c.classWork(i) * c.classShare(i)
	}
	rate := min(100, c.load*cores/float64(c.settings.Brokers)/max(work, 1e-3))
	for expected := rate * simulationStep.Seconds(); expected > 0; expected-- {
		if !c.chance(expected) {
			continue
		}
		draw, i := c.rng.Float64(), 0
		for i < len(c.settings.Classes)-1 && draw >= c.classShare(i) {
			draw -= c.classShare(i)
			i++
		}
		c.submit(c.settings.Classes[i].Name, "", 0)
	}
}

// classShare returns the fraction of requests that belong to a class: half that of the previous class.
func (c *simulatedCluster) classShare(i int) float64 {
	n := len(c.settings.Classes)
	return math.Exp2(float64(n-1-i)) / (math.Exp2(float64(n)) - 1)
}

// classWork returns the approximate mean work of a request of a class in thread seconds.
func (c *simulatedCluster) classWork(i int) float64 {
	class := c.settings.Classes[i]
	return 0.2 * max(class.LatencyObjective.Seconds(), 0.1) * float64(max(1, class.Threads))
}
