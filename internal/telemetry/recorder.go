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
	"wheatlane/internal/delivery"
	figures "wheatlane/internal/metrics"
	"wheatlane/internal/names"
	"wheatlane/internal/node"
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

// Taken counts a request.
func (r *Recorder) Taken(q *broker.Request) {
	class := r.reg.Slot(figures.Class, q.Class)
	r.reg.Add(figures.Requests, class, 0, 1)
	r.reg.Add(figures.RequestsByTenant, r.reg.Slot(figures.Tenant, q.Tenant), 0, 1)
	if q.Again {
		r.reg.Add(figures.ClientRetries, class, 0, 1)
	}
	var set string
	if q.Group >= 0 && q.Group < len(r.dataSets) {
		set = r.dataSets[q.Group]
	} else {
		set = strconv.Itoa(q.Group)
	}
	r.reg.Add(figures.RequestsByDataSet, r.reg.Slot(figures.DataSet, set), 0, 1)
}

// causes are those of refusals by kinds of reply.
var causes = [...]int{broker.Refused: figures.NoRoom, broker.Crowded: figures.TooManySessions,
	broker.BadFields: figures.BadFields, broker.BadCommand: figures.BadCommand, broker.NotReady: figures.NotReady,
	broker.NoSession: figures.NoSuchSession, broker.NoDatabase: figures.NoSuchDatabase, broker.Interrupted: figures.Killed}

// TurnedAway counts a refusal.
func (r *Recorder) TurnedAway(kind broker.Kind) {
	r.reg.Add(figures.Refusals, names.Other, causes[kind], 1)
}

// Sent counts an attempt.
func (r *Recorder) Sent(class string) {
	r.reg.Add(figures.Attempts, r.reg.Slot(figures.Class, class), 0, 1)
}

// Over records how a request ended.
func (r *Recorder) Over(o broker.Over) {
	class, tenant := r.reg.Slot(figures.Class, o.Class), r.reg.Slot(figures.Tenant, o.Tenant)
	outcome := figures.Failed
	switch {
	case o.Gone:
		outcome = figures.Gone
	case o.Kind == broker.Refused:
		outcome = figures.Refused
	case o.Kind == broker.Result && (o.Wanted <= 0 || o.Took <= o.Wanted):
		outcome = figures.InTime
	case o.Kind == broker.Result:
		outcome = figures.Late
	}
	r.reg.Add(figures.Answers, class, outcome, 1)
	r.reg.Add(figures.AnswersByTenant, tenant, outcome, 1)
	if outcome == figures.InTime || outcome == figures.Late {
		r.reg.Observe(figures.AnswerTime, class, ms(o.Took))
		if o.Wanted > 0 {
			r.reg.Observe(figures.AimRatio, class, float64(o.Took)/float64(o.Wanted))
		}
	}
	r.reg.Observe(figures.AttemptsByRequest, class, float64(o.Attempts))
	r.reg.Observe(figures.QueueWait, class, ms(o.Waited))
	r.reg.Observe(figures.QueueWaitByTenant, tenant, ms(o.Waited))
}

// AttemptOver records how an attempt ended.
func (r *Recorder) AttemptOver(o broker.AttemptOver) {
	engine := r.reg.Slot(figures.Engine, o.Engine)
	r.reg.Add(figures.AttemptEnds, engine, int(o.Status), 1)
	if o.Status == control.OK {
		r.reg.Observe(figures.EngineTime, engine, ms(o.Took))
	}
	if o.Wasted {
		r.reg.Add(figures.Wasted, r.reg.Slot(figures.Class, o.Class), 0, ms(o.Took))
		r.reg.Add(figures.WastedByEngine, engine, 0, ms(o.Took))
	}
}

// SecondCopy counts an answer that nothing waited for.
func (r *Recorder) SecondCopy(engine string) {
	r.reg.Add(figures.SecondCopies, r.reg.Slot(figures.Engine, engine), 0, 1)
}

// DrainTold counts a drain.
func (r *Recorder) DrainTold() { r.reg.Add(figures.Drains, names.Other, 0, 1) }

// Drained records how long a drain took.
func (r *Recorder) Drained(took time.Duration) {
	r.reg.Observe(figures.DrainTime, names.Other, ms(took))
	r.worst = max(r.worst, took)
	r.reg.Set(figures.WorstDrain, names.Other, 0, ms(r.worst))
	if took > drainLimit {
		r.reg.Add(figures.LateDrains, names.Other, 0, 1)
	}
}

// Lag records how late a turn of the reducer's goroutine came.
func (r *Recorder) Lag(d time.Duration) { r.reg.Observe(figures.RoundLag, names.Other, ms(max(0, d))) }

// Waiting records how many events waited.
func (r *Recorder) Waiting(events int) {
	r.reg.Raise(figures.Inbox, names.Other, 0, float64(events))
}

// Cut ends an interval at a time by the wall clock and by one that is never set.
func (r *Recorder) Cut(wall, mono time.Duration, b *broker.Broker, s node.Sockets, stats map[string]delivery.Stats) *figures.Interval {
	r.look(b)
	set := func(id figures.ID, part int, v float64) { r.reg.Set(id, names.Other, part, v) }
	set(figures.Open, 0, float64(b.Open()))
	set(figures.Sessions, 0, float64(b.Sessions()))
	set(figures.Connections, figures.ClientSide, float64(s.Clients))
	set(figures.Connections, figures.EngineSide, float64(s.Engines))
	for side, id := range map[node.Side]figures.ID{node.ClientSide: figures.ClientEnds, node.EngineSide: figures.EngineEnds,
		node.ChangelogSide: figures.ChangelogEnds} {
		part := 0
		s.Ended(side, func(_ node.Reason, n uint64) {
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
		if slot != names.Other { // one value can't stand for several engines
			r.reg.Set(figures.Bound, slot, 0, e.Bound)
			r.reg.Set(figures.Threads, slot, 0, float64(e.Threads))
			r.reg.Set(figures.Queued, slot, 0, float64(e.Queued))
		}
		switch {
		case e.State == control.Draining:
			health[figures.Draining]++
		case e.Down:
			health[figures.Doubted]++
		case e.Cold:
			health[figures.Cold]++
		default:
			health[figures.Ready]++
		}
	}
	for part, n := range health {
		r.reg.Set(figures.Engines, names.Other, part, float64(n))
	}
	for _, k := range r.view.Classes {
		if slot := r.reg.Slot(figures.Class, k.Name); slot != names.Other {
			r.reg.Set(figures.ClassShare, slot, 0, k.Share)
		}
	}
}

// CutAlone ends an interval of a reducer that has no sockets round it.
func (r *Recorder) CutAlone(now time.Duration, b *broker.Broker) *figures.Interval {
	return r.Cut(now, now, b, node.Sockets{}, nil)
}
