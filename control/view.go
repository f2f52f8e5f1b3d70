package control

// View is the controller's state at the moment, for metrics and operators.
type View struct {
	Engines []EngineView
	Classes []ClassView
}

// EngineView is the state of one engine of the endpoint list.
type EngineView struct {
	ID               string
	State            EngineState
	SlowStart        bool    // it started lately
	Ejected          bool    // an outlier that gets no requests but half-open probes
	ConcurrencyLimit float64 // threads that this broker may have in flight there
	ThreadsInFlight  int     // threads of what is in flight there
	Queued           int     // requests that wait for it here; where engines are pooled, for all
}

// ClassView is the state of one class.
type ClassView struct {
	Name  string
	Share float64 // its weight in the fair queues
}

// View fills v, whose memory is used again. Where engines are pooled, each has its part of the pool's limit
// by cores.
func (c *Controller) View(v *View) {
	v.Engines, v.Classes = v.Engines[:0], v.Classes[:0]
	pool := c.endpoints.pool
	for _, e := range c.endpoints.all {
		if !e.member.Listed() {
			continue
		}
		view := EngineView{
			ID: e.ID, State: e.member.State(), SlowStart: c.slowStart.Active(e.slowStartInput(), c.now), Ejected: e.health.Ejected(),
			ConcurrencyLimit: e.queueOwner.concurrency.Limit(), ThreadsInFlight: e.concurrency.InFlight(),
			Queued: e.queueOwner.queue.Len(),
		}
		if pool != nil && pool.cores > 0 {
			view.ConcurrencyLimit *= e.cores / pool.cores
		}
		v.Engines = append(v.Engines, view)
	}
	for i, k := range c.classes.all {
		v.Classes = append(v.Classes, ClassView{Name: k.Name, Share: float64(c.shares.Share(i))})
	}
}
