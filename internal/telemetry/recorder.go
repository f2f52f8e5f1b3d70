// Package telemetry tells Graphite and collectd what a broker sees. A Recorder takes what the reducer and the sockets
// tell and keeps it in figures; a Reporter cuts off an interval at a time and brings it to each destination as
// internal/delivery decides. Nothing here holds up a request: all that can wait goes on in goroutines of its own.
package telemetry

import (
	"runtime/metrics"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/delivery"
	figures "wheatlane/internal/metrics"
	"wheatlane/internal/server"
)

// maxDrainDuration is the rule: nothing is sent to an engine later than this after its drain was told.
const maxDrainDuration = 500 * time.Millisecond

// Recorder keeps figures. It belongs to the goroutine that owns the reducer.
type Recorder struct {
	registry       *figures.Registry
	view           control.View
	worstDrain     time.Duration // drain
	dataSetNames   []string      // numbers as text, so that counting them makes none
	runtimeSamples []metrics.Sample
}

// cachedDataSetNames is how many numbers of data sets have their text kept.
const cachedDataSetNames = 256

// NewRecorder returns one that starts at a time by the wall clock and by one that is never set.
func NewRecorder(l figures.Limits, wall, mono time.Duration) *Recorder {
	r := &Recorder{registry: figures.NewRegistry(l, wall, mono), runtimeSamples: []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"}}}
	for i := range cachedDataSetNames {
		r.dataSetNames = append(r.dataSetNames, strconv.Itoa(i))
	}
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// RequestAccepted counts a request.
func (r *Recorder) RequestAccepted(q *broker.Request) {
	class := r.registry.Slot(figures.Class, q.Class)
	r.registry.Add(figures.Requests, class, 0, 1)
	r.registry.Add(figures.RequestsByTenant, r.registry.Slot(figures.Tenant, q.Tenant), 0, 1)
	if q.IsRetry {
		r.registry.Add(figures.ClientRetries, class, 0, 1)
	}
	var set string
	if q.DataSet >= 0 && q.DataSet < len(r.dataSetNames) {
		set = r.dataSetNames[q.DataSet]
	} else {
		set = strconv.Itoa(q.DataSet)
	}
	r.registry.Add(figures.RequestsByDataSet, r.registry.Slot(figures.DataSet, set), 0, 1)
}

// rejectionCauses are those of refusals by kinds of reply.
var rejectionCauses = [...]int{broker.ReplyRejected: figures.NoCapacity, broker.ReplyTooManySessions: figures.TooManySessions,
	broker.ReplyInvalidFields: figures.BadFields, broker.ReplyUnknownCommand: figures.BadCommand, broker.ReplyNotReady: figures.NotReady,
	broker.ReplyUnknownSession: figures.NoSuchSession, broker.ReplyUnknownDatabase: figures.NoSuchDatabase, broker.ReplyInterrupted: figures.Killed}

// RequestRejected counts a refusal.
func (r *Recorder) RequestRejected(kind broker.ReplyKind) {
	r.registry.Add(figures.Rejections, cardinality.Other, rejectionCauses[kind], 1)
}

// AttemptStarted counts an attempt.
func (r *Recorder) AttemptStarted(class string) {
	r.registry.Add(figures.Attempts, r.registry.Slot(figures.Class, class), 0, 1)
}

// RequestEnded records how a request ended.
func (r *Recorder) RequestEnded(o broker.RequestSummary) {
	class, tenant := r.registry.Slot(figures.Class, o.Class), r.registry.Slot(figures.Tenant, o.Tenant)
	outcome := figures.Failed
	switch {
	case o.ClientLeft:
		outcome = figures.ClientLeft
	case o.Kind == broker.ReplyRejected:
		outcome = figures.Rejected
	case o.Kind == broker.ReplyResult && (o.Objective <= 0 || o.Duration <= o.Objective):
		outcome = figures.InTime
	case o.Kind == broker.ReplyResult:
		outcome = figures.Late
	}
	r.registry.Add(figures.Answers, class, outcome, 1)
	r.registry.Add(figures.AnswersByTenant, tenant, outcome, 1)
	if outcome == figures.InTime || outcome == figures.Late {
		r.registry.Observe(figures.AnswerTime, class, milliseconds(o.Duration))
		if o.Objective > 0 {
			r.registry.Observe(figures.ObjectiveRatio, class, float64(o.Duration)/float64(o.Objective))
		}
	}
	r.registry.Observe(figures.AttemptsByRequest, class, float64(o.Attempts))
	r.registry.Observe(figures.QueueWait, class, milliseconds(o.QueueTime))
	r.registry.Observe(figures.QueueWaitByTenant, tenant, milliseconds(o.QueueTime))
}

// AttemptEnded records how an attempt ended.
func (r *Recorder) AttemptEnded(o broker.AttemptSummary) {
	engine := r.registry.Slot(figures.Engine, o.Engine)
	r.registry.Add(figures.AttemptEnds, engine, int(o.Status), 1)
	if o.Status == control.OK {
		r.registry.Observe(figures.EngineTime, engine, milliseconds(o.Duration))
	}
	if o.Wasted {
		r.registry.Add(figures.Wasted, r.registry.Slot(figures.Class, o.Class), 0, milliseconds(o.Duration))
		r.registry.Add(figures.WastedByEngine, engine, 0, milliseconds(o.Duration))
	}
}

// DuplicateResponse counts an answer that nothing waited for.
func (r *Recorder) DuplicateResponse(engine string) {
	r.registry.Add(figures.DuplicateResponses, r.registry.Slot(figures.Engine, engine), 0, 1)
}

// DrainStarted counts a drain.
func (r *Recorder) DrainStarted() { r.registry.Add(figures.Drains, cardinality.Other, 0, 1) }

// DrainCompleted records how long a drain took.
func (r *Recorder) DrainCompleted(took time.Duration) {
	r.registry.Observe(figures.DrainTime, cardinality.Other, milliseconds(took))
	r.worstDrain = max(r.worstDrain, took)
	r.registry.Set(figures.WorstDrain, cardinality.Other, 0, milliseconds(r.worstDrain))
	if took > maxDrainDuration {
		r.registry.Add(figures.LateDrains, cardinality.Other, 0, 1)
	}
}

// LoopLag records how late a turn of the reducer's goroutine came.
func (r *Recorder) LoopLag(d time.Duration) {
	r.registry.Observe(figures.RoundLag, cardinality.Other, milliseconds(max(0, d)))
}

// InboxLength records how many events waited.
func (r *Recorder) InboxLength(events int) {
	r.registry.SetMax(figures.Inbox, cardinality.Other, 0, float64(events))
}

// Cut ends an interval at a time by the wall clock and by one that is never set.
func (r *Recorder) Cut(wall, mono time.Duration, b *broker.Broker, s server.ConnectionCounts, stats map[string]delivery.Stats) *figures.Interval {
	r.recordView(b)
	set := func(id figures.ID, part int, v float64) { r.registry.Set(id, cardinality.Other, part, v) }
	set(figures.Open, 0, float64(b.OpenRequests()))
	set(figures.Sessions, 0, float64(b.SessionCount()))
	set(figures.Connections, figures.ClientSide, float64(s.Clients))
	set(figures.Connections, figures.EngineSide, float64(s.Engines))
	for side, id := range map[server.Side]figures.ID{server.ClientSide: figures.ClientEnds, server.EngineSide: figures.EngineEnds,
		server.ChangelogSide: figures.ChangelogEnds} {
		part := 0
		s.EachEndReason(side, func(_ server.Reason, n uint64) {
			set(id, part, float64(n))
			part++
		})
	}
	metrics.Read(r.runtimeSamples)
	set(figures.Heap, 0, float64(r.runtimeSamples[0].Value.Uint64()))
	set(figures.Memory, 0, float64(r.runtimeSamples[1].Value.Uint64()-r.runtimeSamples[2].Value.Uint64()))
	for name, st := range stats {
		slot := r.registry.Slot(figures.Destination, name)
		r.registry.Set(figures.Held, slot, 0, float64(st.Held))
		r.registry.Set(figures.HeldIntervals, slot, 0, float64(st.WaitingIntervals))
		r.registry.Set(figures.Delivered, slot, 0, float64(st.DeliveredIntervals))
		r.registry.Set(figures.Lost, slot, 0, float64(st.Lost))
		r.registry.Set(figures.LostSamples, slot, 0, st.LostSamples)
		r.registry.Set(figures.Breaks, slot, 0, float64(st.ConnectionFailures))
	}
	return r.registry.Cut(wall, mono)
}

// recordView takes over what the decision module believes and sets.
func (r *Recorder) recordView(b *broker.Broker) {
	b.View(&r.view)
	health := [4]int{}
	for _, e := range r.view.Engines {
		slot := r.registry.Slot(figures.Engine, e.ID)
		if slot != cardinality.Other { // one value can't stand for several engines
			r.registry.Set(figures.ConcurrencyLimit, slot, 0, e.ConcurrencyLimit)
			r.registry.Set(figures.Threads, slot, 0, float64(e.ThreadsInFlight))
			r.registry.Set(figures.Queued, slot, 0, float64(e.Queued))
		}
		switch {
		case e.State == control.Draining:
			health[figures.Draining]++
		case e.Ejected:
			health[figures.Ejected]++
		case e.SlowStart:
			health[figures.SlowStart]++
		default:
			health[figures.Ready]++
		}
	}
	for part, n := range health {
		r.registry.Set(figures.Engines, cardinality.Other, part, float64(n))
	}
	for _, k := range r.view.Classes {
		if slot := r.registry.Slot(figures.Class, k.Name); slot != cardinality.Other {
			r.registry.Set(figures.ClassShare, slot, 0, k.Share)
		}
	}
}

// CutAlone ends an interval of a reducer that has no sockets round it.
func (r *Recorder) CutAlone(now time.Duration, b *broker.Broker) *figures.Interval {
	return r.Cut(now, now, b, server.ConnectionCounts{}, nil)
}
