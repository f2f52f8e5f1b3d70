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
	SlowStart        bool    // it warms up
	Ejected          bool    // an outlier; see package outlier for what it still gets
	ConcurrencyLimit float64 // threads that this broker may have in flight there
	ThreadsInFlight  int     // threads of what is in flight there
	Queued           int     // requests that wait for it here; where engines are pooled, for all
}

// ClassView is the state of one class.
type ClassView struct {
	Name  string
	Share float64 // its weight in the fair queues
}

// View fills v, whose memory is used again. Where engines are pooled, each has a share of the pool's limit by
// its cores.
func (c *Controller) View(v *View) {
	v.Engines, v.Classes = v.Engines[:0], v.Classes[:0]
	pool := c.endpoints.pool
	for _, engine := range c.endpoints.all {
		if !engine.member.Listed() {
			continue
		}
		view := EngineView{
			ID: engine.ID, State: engine.member.State(),
			SlowStart:        c.slowStart.Active(engine.slowStartInput(), c.now),
			Ejected:          engine.health.Ejected(),
			ConcurrencyLimit: engine.queueOwner.concurrency.Limit(),
			ThreadsInFlight:  engine.concurrency.ThreadsInFlight(),
			Queued:           engine.queueOwner.queue.Len(),
		}
		if pool != nil && pool.cores > 0 {
			view.ConcurrencyLimit *= engine.cores / pool.cores
		}
		v.Engines = append(v.Engines, view)
	}
	for i, class := range c.classes.all {
		v.Classes = append(v.Classes, ClassView{Name: class.Name, Share: float64(c.shares.Share(i))})
	}
}
