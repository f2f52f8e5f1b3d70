package telemetry

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/server/processstate"
)

// EndInterval ends the current interval at the given times of the wall clock and the monotonic clock, and returns its
// metrics. First it sets the gauges that describe the reducer, the sockets, the runtime and the destinations.
func (r *Recorder) EndInterval(wall, monotonic time.Duration, reducer *broker.Broker,
	process processstate.State, destinations map[string]delivery.Stats,
) *metrics.Interval {
	r.recordView(reducer)
	r.setGauge(metrics.OpenRequests, 0, float64(reducer.OpenRequests()))
	r.setGauge(metrics.Sessions, 0, float64(reducer.SessionCount()))
	r.recordConnections(&process.Connections)
	r.recordMemory(&process.Memory)
	for name, stats := range destinations {
		r.recordDestination(name, &stats)
	}
	return r.registry.EndInterval(wall, monotonic)
}

// EndReducerInterval is EndInterval for a reducer without sockets and destinations.
func (r *Recorder) EndReducerInterval(now time.Duration, reducer *broker.Broker) *metrics.Interval {
	return r.EndInterval(now, now, reducer, processstate.State{}, nil)
}

// setGauge sets a gauge of the broker itself, or a counter that is counted elsewhere.
func (r *Recorder) setGauge(id metrics.ID, label int, value float64) {
	r.registry.Set(id, cardinality.Other, label, value)
}

func (r *Recorder) recordConnections(connections *netconn.ConnectionCounts) {
	r.setGauge(metrics.Connections, metrics.ClientSide, float64(connections.Clients))
	r.setGauge(metrics.Connections, metrics.EngineSide, float64(connections.Engines))
	for side, id := range map[netconn.Side]metrics.ID{
		netconn.ClientSide:    metrics.ClientConnectionsEnded,
		netconn.EngineSide:    metrics.EngineConnectionsEnded,
		netconn.ChangelogSide: metrics.ChangelogConnectionsEnded,
	} {
		label := 0
		connections.EachEndReason(side, func(_ netconn.Reason, count uint64) {
			r.setGauge(id, label, float64(count))
			label++
		})
	}
}

func (r *Recorder) recordMemory(memory *processstate.Memory) {
	r.setGauge(metrics.HeapBytes, 0, float64(memory.Usage.HeapBytes))
	r.setGauge(metrics.MemoryBytes, 0, float64(memory.Usage.RuntimeBytes))
	r.setGauge(metrics.LiveHeapBytes, 0, float64(memory.Usage.LiveBytes))
	r.setGauge(metrics.ResidentBytes, 0, float64(memory.Usage.ResidentBytes))
	r.setGauge(metrics.MemoryLevel, 0, float64(memory.Level))
	for account, bytes := range memory.Accounts.Bytes() {
		r.setGauge(metrics.AccountedBytes, account, float64(bytes))
	}
}

func (r *Recorder) recordDestination(name string, stats *delivery.Stats) {
	slot := r.registry.Slot(metrics.Destination, name)
	r.registry.Set(metrics.HeldBytes, slot, 0, float64(stats.HeldBytes))
	r.registry.Set(metrics.HeldIntervals, slot, 0, float64(stats.WaitingIntervals))
	r.registry.Set(metrics.DeliveredIntervals, slot, 0, float64(stats.DeliveredIntervals))
	r.registry.Set(metrics.LostIntervals, slot, 0, float64(stats.LostIntervals))
	r.registry.Set(metrics.LostSamples, slot, 0, stats.LostSamples)
	r.registry.Set(metrics.ConnectionFailures, slot, 0, float64(stats.ConnectionFailures))
}

// recordView records the decision module's state of engines and classes.
func (r *Recorder) recordView(reducer *broker.Broker) {
	reducer.View(&r.view)
	var enginesByHealth [4]int
	for i := range r.view.Engines {
		engine := &r.view.Engines[i]
		slot := r.registry.Slot(metrics.Engine, engine.ID)
		if slot != cardinality.Other { // one gauge can't represent several engines
			r.registry.Set(metrics.ConcurrencyLimit, slot, 0, engine.ConcurrencyLimit)
			r.registry.Set(metrics.ThreadsInFlight, slot, 0, float64(engine.ThreadsInFlight))
			r.registry.Set(metrics.QueuedRequests, slot, 0, float64(engine.Queued))
		}
		enginesByHealth[engineHealth(engine)]++
	}
	for health, engines := range enginesByHealth {
		r.setGauge(metrics.Engines, health, float64(engines))
	}
	for i := range r.view.Classes {
		class := &r.view.Classes[i]
		if slot := r.registry.Slot(metrics.Class, class.Name); slot != cardinality.Other {
			r.registry.Set(metrics.ClassShare, slot, 0, class.Share)
		}
	}
}

// engineHealth returns the label index of metrics.Engines for an engine.
func engineHealth(engine *control.EngineView) int {
	switch {
	case engine.State == control.Draining:
		return metrics.Draining
	case engine.Ejected:
		return metrics.Ejected
	case engine.SlowStart:
		return metrics.SlowStart
	}
	return metrics.Ready
}
