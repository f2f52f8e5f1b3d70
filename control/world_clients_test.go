package control_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wheatlane/control"
)

type modelRequest struct {
	control.Request
	work     time.Duration
	threads  int
	attempts []*modelAttempt
	arrived  bool
	over     bool
}

// submit has a client send a request of a class a time from now.
func (w *world) submit(class, key string, in time.Duration) {
	i := slices.IndexFunc(w.settings.Classes, func(k control.Class) bool { return k.Name == class })
	k := w.settings.Classes[max(0, i)]
	w.numbered++
	wait := k.ClientTimeout
	if wait == 0 {
		wait = w.between(200*millisecond, 6*time.Second)
	}
	objective := k.LatencyObjective
	if objective <= 0 {
		objective = time.Second
	}
	work := 0.15 * objective.Seconds() * float64(max(1, k.Threads)) * math.Exp(0.8*w.rng.NormFloat64())
	r := &modelRequest{work: time.Duration(work * float64(time.Second)), threads: max(1, k.Threads)}
	r.Request = control.Request{
		ID: fmt.Sprint("r", w.numbered), Class: class, Deadline: w.now + in + wait, DataSet: w.rng.IntN(12),
	}
	if n := len(w.settings.Tenants); n > 0 {
		r.Tenant = append(w.settings.Tenants, control.Tenant{Name: "unknown"})[w.rng.IntN(n+1)].Name
	}
	if k.Ordered {
		if r.OrderKey = key; key == "" {
			r.OrderKey = fmt.Sprint("key", w.rng.IntN(8))
		}
	}
	if w.chance(w.estimated) {
		r.EstimatedWork = time.Duration(float64(r.work) * (0.6 + 0.8*w.rng.Float64()))
		r.EstimatedMemoryMB = 30 + 120*r.EstimatedWork.Seconds()
	}
	w.requests[r.ID] = r
	w.after(in, control.RequestReceived{Request: r.Request})
	if w.chance(w.impatient) {
		w.after(in+w.between(0, wait), control.ClientDisconnected{RequestID: r.ID})
	}
}

// clients draws arrivals for one step by the load that is wanted of the engines.
func (w *world) clients() {
	cores := 0.0
	for _, e := range w.engines {
		if e.State != control.Removed {
			cores += max(1, w.settings.EngineKinds[e.Kind].Cores)
		}
	}
	work := 0.0
	for i := range w.settings.Classes {
		work += w.classWork(i) * w.classShare(i)
	}
	rate := min(100, w.load*cores/float64(w.settings.Brokers)/max(work, 1e-3))
	for expected := rate * worldStep.Seconds(); expected > 0; expected-- {
		if !w.chance(expected) {
			continue
		}
		draw, i := w.rng.Float64(), 0
		for i < len(w.settings.Classes)-1 && draw >= w.classShare(i) {
			draw -= w.classShare(i)
			i++
		}
		w.submit(w.settings.Classes[i].Name, "", 0)
	}
}

// classShare is the share of a class in what clients ask: each is asked half as often as the one before.
func (w *world) classShare(i int) float64 {
	n := len(w.settings.Classes)
	return math.Exp2(float64(n-1-i)) / (math.Exp2(float64(n)) - 1)
}

func (w *world) classWork(i int) float64 {
	k := w.settings.Classes[i]
	return 0.2 * max(k.LatencyObjective.Seconds(), 0.1) * float64(max(1, k.Threads))
}
