package control_test

import (
	"fmt"
	"slices"
	"time"

	"wheatlane/control"
)

type classUpdate struct {
	classes []control.Class
	limits  control.Limits
}

// injectFaults changes the world now and then: what is asked, how engines fare, the list of them, the
// operator's wishes.
func (w *world) injectFaults() {
	if w.chance(0.0005) {
		w.load = []float64{0.3, 0.7, 1, 1.6, 3}[w.rng.IntN(5)]
	}
	if w.chance(0.0004) {
		w.impatient = []float64{0, 0.02, 0.7}[w.rng.IntN(3)]
	}
	if w.chance(0.0005) {
		w.estimated = w.rng.Float64()
	}
	for _, e := range w.engines {
		w.injectFault(e)
	}
	if w.chance(0.0008) {
		w.after(0, w.snapshot())
	}
	if w.chance(0.0004) && len(w.engines) < 80 {
		e := w.join()
		e.StartedAt = w.now - w.between(0, 2*time.Second)
		w.after(0, control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}})
	}
	if w.chance(0.002) { // what nobody asked for
		stray := control.Request{ID: "stray", Class: "no such class", Deadline: w.now + time.Second}
		w.after(0, control.RequestReceived{Request: stray})
		if r := w.requests[fmt.Sprint("r", w.numbered)]; r != nil && !r.over { // the same once more
			w.after(20*millisecond, control.RequestReceived{Request: r.Request})
		}
		w.after(0, control.ClientDisconnected{RequestID: "nobody's"})
		w.after(0, control.AttemptEnded{RequestID: "nobody's", Number: -1})
		w.after(0, control.TimerFired{Token: 1 << 40})
		w.after(0, control.ProbeResult{Engine: "no such engine"})
	}
}

func (w *world) injectFault(e *modelEngine) {
	if w.chance(0.01) {
		e.background = 1.3 * w.rng.Float64()
	}
	if w.now > e.faultyTo {
		e.slowdown, e.failing, e.silent, e.atCapacity = 1, 0.001, w.lossRate, 0
		if !w.chance(w.faultRate) {
			return
		}
		e.faultyTo = w.now + w.between(500*millisecond, 8*time.Second)
		switch w.rng.IntN(4) {
		case 0:
			e.slowdown = 2 + 10*w.rng.Float64()
		case 1:
			e.failing = 0.3 + 0.7*w.rng.Float64()
		case 2:
			e.silent = 0.1 + 0.9*w.rng.Float64()
		case 3:
			e.atCapacity = 0.5 + 0.5*w.rng.Float64()
		}
	}
	if w.chance(0.0006) {
		e.State = control.EngineState(w.rng.IntN(3))
		w.updateList(e)
	}
	if w.chance(0.0015) && e.State != control.Ready { // a new process takes its place
		e.State, e.StartedAt = control.Ready, w.now-w.between(0, 2*time.Second)
		w.updateList(e)
	}
	if w.chance(0.0003) {
		w.after(0, control.SetMaintenance{Engine: e.ID, Enabled: true})
		w.after(w.between(time.Second, 6*time.Second), control.SetMaintenance{Engine: e.ID})
	}
}

func (w *world) updateList(e *modelEngine) {
	delta := control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}}
	w.after(w.between(0, 600*millisecond), delta)
}

// gossip has another broker send some engines' load reports.
func (w *world) gossip() {
	if !w.settings.Limits.Gossip || !w.chance(0.02) {
		return
	}
	received := control.GossipReceived{Broker: w.rng.IntN(w.settings.Brokers)}
	for range 1 + w.rng.IntN(8) {
		e := w.engines[w.rng.IntN(len(w.engines))]
		received.Reports = append(received.Reports, control.GossipedLoad{
			Engine: control.GossipID(e.ID), Load: e.background, Age: w.between(0, 3*time.Second),
		})
	}
	w.after(0, received)
}

// reload now and then reads settings anew: a class changes, one comes or goes, more or fewer attempts are
// allowed.
func (w *world) reload() *classUpdate {
	if !w.chance(0.0003) {
		return nil
	}
	classes := slices.Clone(w.settings.Classes)
	switch k := &classes[w.rng.IntN(len(classes))]; w.rng.IntN(4) {
	case 0:
		k.PriorityWeight *= 1.5
	case 1:
		k.LatencyObjective += 100 * millisecond
	case 2:
		added := *k
		added.Name = fmt.Sprint("added-", w.numbered)
		classes = append(classes, added)
	case 3:
		if len(classes) > 1 {
			classes = classes[1:]
		}
	}
	w.settings.Classes = classes
	w.settings.Limits.MaxAttempts = 1 + w.rng.IntN(5)
	return &classUpdate{classes, w.settings.Limits}
}
