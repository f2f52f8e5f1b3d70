package control

// View is what the module believes and sets at the moment, for those who watch it. Nothing here decides.
type View struct {
	Engines []EngineView
	Classes []ClassView
}

// EngineView is what the module believes of an engine.
type EngineView struct {
	ID               string
	State            EngineState
	SlowStart        bool    // it started lately
	Ejected          bool    // it is held to be out of order
	ConcurrencyLimit float64 // threads that this gateway may have out there
	ThreadsInFlight  int     // of what is out there
	Queued           int     // queries that wait for it here
}

// ClassView is what the module sets for a class.
type ClassView struct {
	Name  string
	Share float64 // its weight in the fair queues
}

// View fills v, whose memory is used again. Where engines are pooled, each has its part of the pool's bound by cores.
func (c *Controller) View(v *View) {
	v.Engines, v.Classes = v.Engines[:0], v.Classes[:0]
	for _, e := range c.engines {
		if !e.listed {
			continue
		}
		w := EngineView{ID: e.ID, State: e.State, SlowStart: c.inSlowStart(e), Ejected: e.ejected, ConcurrencyLimit: e.queueOwner.limit, ThreadsInFlight: e.threadsInFlight,
			Queued: e.queueOwner.queue.length}
		if c.pool != nil && c.pool.cores > 0 {
			w.ConcurrencyLimit *= e.cores / c.pool.cores
		}
		v.Engines = append(v.Engines, w)
	}
	for i, k := range c.classes {
		w := ClassView{Name: k.Name}
		if i < len(c.shares) {
			w.Share = c.shares[i]
		}
		v.Classes = append(v.Classes, w)
	}
}
