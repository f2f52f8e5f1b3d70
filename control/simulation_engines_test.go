package control_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
)

// simulatedEngine is a minimal model of an engine that produces every kind of attempt outcome.
type simulatedEngine struct {
	control.Engine
	slowdown       float64 // multiple of the service time
	failureRate    float64 // fraction of attempts that fail
	lossRate       float64 // fraction of attempts without a response
	atCapacityRate float64 // fraction of attempts that are not admitted
	faultEnd       time.Duration
	background     float64 // load from other brokers
	inFlight       int
}

type simulatedAttempt struct {
	engine *simulatedEngine
	sent   time.Duration
	ended  bool
}

func (c *simulatedCluster) addEngine() *simulatedEngine {
	kinds := make([]string, 0, len(c.settings.EngineKinds))
	for name := range c.settings.EngineKinds {
		kinds = append(kinds, name)
	}
	slices.Sort(kinds)
	id, zones := fmt.Sprintf("engine-%03d", len(c.engines)), []string{c.settings.Zone, "b"}
	e := &simulatedEngine{
		Engine:   control.Engine{ID: id, Zone: zones[c.rng.IntN(2)], Cell: c.rng.IntN(3)},
		slowdown: 1,
	}
	if len(kinds) > 0 {
		e.Kind = kinds[c.rng.IntN(len(kinds))]
	}
	c.engines = append(c.engines, e)
	return e
}

func (c *simulatedCluster) snapshot() control.EndpointUpdate {
	all := control.EndpointUpdate{Kind: control.EndpointSnapshot}
	for _, e := range c.engines {
		if e.State != control.Removed || c.chance(0.3) {
			all.Engines = append(all.Engines, e.Engine)
		}
	}
	return all
}

func (c *simulatedCluster) engine(id string) *simulatedEngine {
	i := slices.IndexFunc(c.engines, func(e *simulatedEngine) bool { return e.ID == id })
	if i < 0 {
		c.tb.Fatalf("no engine %s", id)
	}
	return c.engines[i]
}

func (c *simulatedCluster) probe(id string) {
	e := c.engine(id)
	result := control.ProbeResult{Engine: id, Duration: c.randomDuration(millisecond, 15*millisecond)}
	if c.chance(0.05) || e.State == control.Removed {
		result.Status = control.Failed
	} else {
		result.Report = c.loadReport(e)
	}
	c.schedule(result.Duration, result)
}

// loadReport returns an engine's load report with the fields that the settings list.
func (c *simulatedCluster) loadReport(e *simulatedEngine) loadreport.Report {
	row := make([]float64, 0, len(c.settings.loadReport))
	for _, field := range c.settings.loadReport {
		v := e.background * (0.9 + 0.2*c.rng.Float64()) * math.Sqrt(e.slowdown)
		if field == "queue" || field == "inflight" {
			v = float64(e.inFlight) + math.Floor(4*v)
		}
		row = append(row, v)
	}
	return c.settings.loadReport.Report(row)
}

// startAttempt simulates an attempt: it draws the outcome and schedules the events for it.
func (c *simulatedCluster) startAttempt(a control.SendAttempt) {
	r, e := c.requests[a.RequestID], c.engine(a.Engine)
	attempt := &simulatedAttempt{engine: e, sent: c.now}
	end := control.AttemptEnded{RequestID: a.RequestID, Number: len(r.attempts), Engine: a.Engine}
	r.attempts = append(r.attempts, attempt)
	e.inFlight++
	end.Status, end.Duration = c.outcome(r, e)
	limit := r.Deadline - c.now + 20*millisecond
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	if end.Duration > limit {
		end.Status, end.Duration = control.TimedOut, limit
	}
	switch end.Status {
	case control.OK:
		end.RequestClosed = true
		end.Report = c.loadReport(e)
		if c.settings.EnginesReportCost {
			end.Work, end.MemoryMB = r.work, 40+r.work.Seconds()*100
		}
		if c.chance(0.2) {
			c.schedule(end.Duration-3*millisecond, control.ResponseStarted{RequestID: a.RequestID})
		}
	case control.AtCapacity:
		end.Report = c.loadReport(e)
	case control.ConnectionReset:
		end.SharedCause = c.chance(0.4)
	case control.Failed, control.TimedOut, control.ConnectFailed, control.Cancelled, control.NeverSent:
	}
	c.schedule(end.Duration, end)
	if every := c.settings.ProgressInterval; every > 0 {
		for at := every; at < end.Duration; at += every {
			c.schedule(at, control.AttemptProgress{
				RequestID: a.RequestID, Number: end.Number, Engine: a.Engine,
				Kind:  control.ProgressKind(1 + c.rng.IntN(3)),
				Value: at.Seconds() / end.Duration.Seconds() * c.rng.Float64(),
			})
		}
	}
}

// outcome draws the status and the duration of an attempt, before any timeout is applied.
func (c *simulatedCluster) outcome(r *simulatedRequest, e *simulatedEngine) (control.Status, time.Duration) {
	quick := c.randomDuration(millisecond, 8*millisecond)
	noise := math.Exp(0.3 * c.rng.NormFloat64())
	service := r.work.Seconds() / float64(r.threads) * e.slowdown * (1 + e.background) * noise
	took := time.Duration(service*float64(time.Second)) + millisecond
	switch draw := c.rng.Float64(); {
	case c.faultless:
		return control.OK, took
	case e.State == control.Removed || draw < 0.002:
		return control.ConnectFailed, quick
	case draw < 0.004:
		return control.NeverSent, quick
	case draw < 0.006:
		return control.ConnectionReset, took / 2
	case draw < 0.006+e.atCapacityRate:
		return control.AtCapacity, quick
	}
	if c.chance(e.failureRate) {
		return control.Failed, quick
	}
	if c.chance(e.lossRate) {
		return control.OK, time.Hour
	}
	return control.OK, took
}
