package control

// View is a snapshot of the Controller's state for metrics and operators.
type View struct {
	Engines []EngineView
	Classes []ClassView
}

// EngineView is the state of one engine of the endpoint list.
type EngineView struct {
	ID               string
	State            EngineState
	SlowStart        bool    // the engine is in slow start
	Ejected          bool    // the engine is an outlier; see package outlier for its remaining traffic
	ConcurrencyLimit float64 // threads that this broker may have in flight at the engine
	ThreadsInFlight  int     // threads of this broker's attempts in flight at the engine
	Queued           int     // requests queued for the engine; for all engines where they are pooled
}

// ClassView is the state of one class.
type ClassView struct {
	Name  string
	Share float64 // weight of the class in the fair queues
}

// View fills v and reuses its memory. Where engines are pooled, each engine is assigned a share of the pool's
// limit in proportion to its cores.
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
	for i, class := range c.classes.inForce() {
		v.Classes = append(v.Classes, ClassView{Name: class.Name, Share: float64(c.shares.Share(i))})
	}
}
