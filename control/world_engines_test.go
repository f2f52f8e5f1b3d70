package control_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
)

// modelEngine is a model of an engine: enough for the module to meet every kind of answer, no more.
type modelEngine struct {
	control.Engine
	slowdown   float64 // multiple of the service time
	failing    float64 // share of attempts that fail
	silent     float64 // share of attempts that are never answered
	atCapacity float64 // share of attempts that are not admitted
	faultyTo   time.Duration
	background float64 // load by other brokers
	inFlight   int
}

type modelAttempt struct {
	engine *modelEngine
	sent   time.Duration
	ended  bool
}

func (w *world) join() *modelEngine {
	kinds := make([]string, 0, len(w.settings.EngineKinds))
	for name := range w.settings.EngineKinds {
		kinds = append(kinds, name)
	}
	slices.Sort(kinds)
	id, zones := fmt.Sprintf("engine-%03d", len(w.engines)), []string{w.settings.Zone, "b"}
	e := &modelEngine{
		Engine:   control.Engine{ID: id, Zone: zones[w.rng.IntN(2)], Cell: w.rng.IntN(3)},
		slowdown: 1,
	}
	if len(kinds) > 0 {
		e.Kind = kinds[w.rng.IntN(len(kinds))]
	}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) snapshot() control.EndpointUpdate {
	all := control.EndpointUpdate{Kind: control.EndpointSnapshot}
	for _, e := range w.engines {
		if e.State != control.Removed || w.chance(0.3) {
			all.Engines = append(all.Engines, e.Engine)
		}
	}
	return all
}

func (w *world) engine(id string) *modelEngine {
	i := slices.IndexFunc(w.engines, func(e *modelEngine) bool { return e.ID == id })
	if i < 0 {
		w.tb.Fatalf("no engine %s", id)
	}
	return w.engines[i]
}

func (w *world) probe(id string) {
	e := w.engine(id)
	result := control.ProbeResult{Engine: id, Duration: w.between(millisecond, 15*millisecond)}
	if w.chance(0.05) || e.State == control.Removed {
		result.Status = control.Failed
	} else {
		result.Report = w.report(e)
	}
	w.after(result.Duration, result)
}

// report is an engine's load by the fields that the settings name.
func (w *world) report(e *modelEngine) loadreport.Report {
	row := make([]float64, 0, len(w.settings.loadReport))
	for _, field := range w.settings.loadReport {
		v := e.background * (0.9 + 0.2*w.rng.Float64()) * math.Sqrt(e.slowdown)
		if field == "queue" || field == "inflight" {
			v = float64(e.inFlight) + math.Floor(4*v)
		}
		row = append(row, v)
	}
	return w.settings.loadReport.Report(row)
}

// send models what becomes of an attempt.
func (w *world) send(a control.SendAttempt) {
	r, e := w.requests[a.RequestID], w.engine(a.Engine)
	attempt := &modelAttempt{engine: e, sent: w.now}
	end := control.AttemptEnded{RequestID: a.RequestID, Number: len(r.attempts), Engine: a.Engine}
	r.attempts = append(r.attempts, attempt)
	e.inFlight++
	end.Status, end.Duration = w.outcome(r, e)
	limit := r.Deadline - w.now + 20*millisecond
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	if end.Duration > limit {
		end.Status, end.Duration = control.TimedOut, limit
	}
	switch end.Status {
	case control.OK:
		end.RequestClosed = true
		end.Report = w.report(e)
		if w.settings.EnginesReportCost {
			end.Work, end.MemoryMB = r.work, 40+r.work.Seconds()*100
		}
		if w.chance(0.2) {
			w.after(end.Duration-3*millisecond, control.ResponseStarted{RequestID: a.RequestID})
		}
	case control.AtCapacity:
		end.Report = w.report(e)
	case control.ConnectionReset:
		end.SharedCause = w.chance(0.4)
	case control.Failed, control.TimedOut, control.ConnectFailed, control.Cancelled, control.NeverSent:
	}
	w.after(end.Duration, end)
	if every := w.settings.ProgressInterval; every > 0 {
		for at := every; at < end.Duration; at += every {
			w.after(at, control.AttemptProgress{
				RequestID: a.RequestID, Number: end.Number, Engine: a.Engine,
				Kind:  control.ProgressKind(1 + w.rng.IntN(3)),
				Value: at.Seconds() / end.Duration.Seconds() * w.rng.Float64(),
			})
		}
	}
}

// outcome draws how an attempt ends and when, were there no limit of time.
func (w *world) outcome(r *modelRequest, e *modelEngine) (control.Status, time.Duration) {
	quick := w.between(millisecond, 8*millisecond)
	noise := math.Exp(0.3 * w.rng.NormFloat64())
	service := r.work.Seconds() / float64(r.threads) * e.slowdown * (1 + e.background) * noise
	took := time.Duration(service*float64(time.Second)) + millisecond
	switch draw := w.rng.Float64(); {
	case w.faultless:
		return control.OK, took
	case e.State == control.Removed || draw < 0.002:
		return control.ConnectFailed, quick
	case draw < 0.004:
		return control.NeverSent, quick
	case draw < 0.006:
		return control.ConnectionReset, took / 2
	case draw < 0.006+e.atCapacity:
		return control.AtCapacity, quick
	}
	if w.chance(e.failing) {
		return control.Failed, quick
	}
	if w.chance(e.silent) {
		return control.OK, time.Hour
	}
	return control.OK, took
}
