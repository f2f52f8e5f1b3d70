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

// drainLimit is the rule: nothing is sent to an engine later than this after its drain was told.
const drainLimit = 500 * time.Millisecond

// Recorder keeps figures. It belongs to the goroutine that owns the reducer.
type Recorder struct {
	reg      *figures.Registry
	view     control.View
	worst    time.Duration // drain
	dataSets []string      // numbers as text, so that counting them makes none
	runtime  []metrics.Sample
}

// fewDataSets is how many numbers of data sets have their text kept.
const fewDataSets = 256

// NewRecorder returns one that starts at a time by the wall clock and by one that is never set.
func NewRecorder(l figures.Limits, wall, mono time.Duration) *Recorder {
	r := &Recorder{reg: figures.NewRegistry(l, wall, mono), runtime: []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"}}}
	for i := range fewDataSets {
		r.dataSets = append(r.dataSets, strconv.Itoa(i))
	}
	return r
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// RequestAccepted counts a request.
func (r *Recorder) RequestAccepted(q *broker.Request) {
	class := r.reg.Slot(figures.Class, q.Class)
	r.reg.Add(figures.Requests, class, 0, 1)
	r.reg.Add(figures.RequestsByTenant, r.reg.Slot(figures.Tenant, q.Tenant), 0, 1)
	if q.IsRetry {
		r.reg.Add(figures.ClientRetries, class, 0, 1)
	}
	var set string
	if q.DataSet >= 0 && q.DataSet < len(r.dataSets) {
		set = r.dataSets[q.DataSet]
	} else {
		set = strconv.Itoa(q.DataSet)
	}
	r.reg.Add(figures.RequestsByDataSet, r.reg.Slot(figures.DataSet, set), 0, 1)
}

// causes are those of refusals by kinds of reply.
var causes = [...]int{broker.ReplyRejected: figures.NoCapacity, broker.ReplyTooManySessions: figures.TooManySessions,
	broker.ReplyInvalidFields: figures.BadFields, broker.ReplyUnknownCommand: figures.BadCommand, broker.ReplyNotReady: figures.NotReady,
	broker.ReplyUnknownSession: figures.NoSuchSession, broker.ReplyUnknownDatabase: figures.NoSuchDatabase, broker.ReplyInterrupted: figures.Killed}

// RequestRejected counts a refusal.
func (r *Recorder) RequestRejected(kind broker.ReplyKind) {
	r.reg.Add(figures.Rejections, cardinality.Other, causes[kind], 1)
}

// AttemptStarted counts an attempt.
func (r *Recorder) AttemptStarted(class string) {
	r.reg.Add(figures.Attempts, r.reg.Slot(figures.Class, class), 0, 1)
}

// RequestEnded records how a request ended.
func (r *Recorder) RequestEnded(o broker.RequestSummary) {
	class, tenant := r.reg.Slot(figures.Class, o.Class), r.reg.Slot(figures.Tenant, o.Tenant)
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
	r.reg.Add(figures.Answers, class, outcome, 1)
	r.reg.Add(figures.AnswersByTenant, tenant, outcome, 1)
	if outcome == figures.InTime || outcome == figures.Late {
		r.reg.Observe(figures.AnswerTime, class, ms(o.Duration))
		if o.Objective > 0 {
			r.reg.Observe(figures.ObjectiveRatio, class, float64(o.Duration)/float64(o.Objective))
		}
	}
	r.reg.Observe(figures.AttemptsByRequest, class, float64(o.Attempts))
	r.reg.Observe(figures.QueueWait, class, ms(o.QueueTime))
	r.reg.Observe(figures.QueueWaitByTenant, tenant, ms(o.QueueTime))
}

// AttemptEnded records how an attempt ended.
func (r *Recorder) AttemptEnded(o broker.AttemptSummary) {
	engine := r.reg.Slot(figures.Engine, o.Engine)
	r.reg.Add(figures.AttemptEnds, engine, int(o.Status), 1)
	if o.Status == control.OK {
		r.reg.Observe(figures.EngineTime, engine, ms(o.Duration))
	}
	if o.Wasted {
		r.reg.Add(figures.Wasted, r.reg.Slot(figures.Class, o.Class), 0, ms(o.Duration))
		r.reg.Add(figures.WastedByEngine, engine, 0, ms(o.Duration))
	}
}

// DuplicateResponse counts an answer that nothing waited for.
func (r *Recorder) DuplicateResponse(engine string) {
	r.reg.Add(figures.DuplicateResponses, r.reg.Slot(figures.Engine, engine), 0, 1)
}

// DrainStarted counts a drain.
func (r *Recorder) DrainStarted() { r.reg.Add(figures.Drains, cardinality.Other, 0, 1) }

// DrainCompleted records how long a drain took.
func (r *Recorder) DrainCompleted(took time.Duration) {
	r.reg.Observe(figures.DrainTime, cardinality.Other, ms(took))
	r.worst = max(r.worst, took)
	r.reg.Set(figures.WorstDrain, cardinality.Other, 0, ms(r.worst))
	if took > drainLimit {
		r.reg.Add(figures.LateDrains, cardinality.Other, 0, 1)
	}
}

// LoopLag records how late a turn of the reducer's goroutine came.
func (r *Recorder) LoopLag(d time.Duration) {
	r.reg.Observe(figures.RoundLag, cardinality.Other, ms(max(0, d)))
}

// InboxLength records how many events waited.
func (r *Recorder) InboxLength(events int) {
	r.reg.Raise(figures.Inbox, cardinality.Other, 0, float64(events))
}

// Cut ends an interval at a time by the wall clock and by one that is never set.
func (r *Recorder) Cut(wall, mono time.Duration, b *broker.Broker, s server.ConnectionCounts, stats map[string]delivery.Stats) *figures.Interval {
	r.look(b)
	set := func(id figures.ID, part int, v float64) { r.reg.Set(id, cardinality.Other, part, v) }
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
	metrics.Read(r.runtime)
	set(figures.Heap, 0, float64(r.runtime[0].Value.Uint64()))
	set(figures.Memory, 0, float64(r.runtime[1].Value.Uint64()-r.runtime[2].Value.Uint64()))
	for name, st := range stats {
		slot := r.reg.Slot(figures.Destination, name)
		r.reg.Set(figures.Held, slot, 0, float64(st.Held))
		r.reg.Set(figures.HeldIntervals, slot, 0, float64(st.Waiting))
		r.reg.Set(figures.Delivered, slot, 0, float64(st.Delivered))
		r.reg.Set(figures.Lost, slot, 0, float64(st.Lost))
		r.reg.Set(figures.LostSamples, slot, 0, st.LostSamples)
		r.reg.Set(figures.Breaks, slot, 0, float64(st.Breaks))
	}
	return r.reg.Cut(wall, mono)
}

// look takes over what the decision module believes and sets.
func (r *Recorder) look(b *broker.Broker) {
	b.View(&r.view)
	health := [4]int{}
	for _, e := range r.view.Engines {
		slot := r.reg.Slot(figures.Engine, e.ID)
		if slot != cardinality.Other { // one value can't stand for several engines
			r.reg.Set(figures.ConcurrencyLimit, slot, 0, e.ConcurrencyLimit)
			r.reg.Set(figures.Threads, slot, 0, float64(e.ThreadsInFlight))
			r.reg.Set(figures.Queued, slot, 0, float64(e.Queued))
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
		r.reg.Set(figures.Engines, cardinality.Other, part, float64(n))
	}
	for _, k := range r.view.Classes {
		if slot := r.reg.Slot(figures.Class, k.Name); slot != cardinality.Other {
			r.reg.Set(figures.ClassShare, slot, 0, k.Share)
		}
	}
}

// CutAlone ends an interval of a reducer that has no sockets round it.
func (r *Recorder) CutAlone(now time.Duration, b *broker.Broker) *figures.Interval {
	return r.Cut(now, now, b, server.ConnectionCounts{}, nil)
}
