package telemetry

import (
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/invariant"
	"wheatlane/internal/metrics"
)

// maxDrainDuration is the required limit: a broker must not send anything to an engine later than this after the
// engine's drain was announced.
const maxDrainDuration = 500 * time.Millisecond

// cachedDataSetNames is the number of data-set numbers whose text is cached.
const cachedDataSetNames = 256

// Recorder records events of the reducer and the sockets as metrics. It implements server.Meter. It is not safe for
// concurrent use and belongs to the goroutine that owns the reducer.
type Recorder struct {
	registry     *metrics.Registry
	view         control.View
	worstDrain   time.Duration
	dataSetNames []string // texts of numbers, so that recording does not allocate
}

// NewRecorder returns a recorder whose first interval starts at the given times of the wall clock and the monotonic
// clock.
func NewRecorder(limits metrics.Limits, wall, monotonic time.Duration) *Recorder {
	r := &Recorder{
		registry:     metrics.NewRegistry(limits, wall, monotonic),
		dataSetNames: make([]string, cachedDataSetNames),
	}
	for i := range r.dataSetNames {
		r.dataSetNames[i] = strconv.Itoa(i)
	}
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// RequestAccepted counts an accepted request.
func (r *Recorder) RequestAccepted(request *broker.Request) {
	class := r.registry.Slot(metrics.Class, request.Class)
	r.registry.Add(metrics.Requests, class, 0, 1)
	r.registry.Add(metrics.RequestsByTenant, r.registry.Slot(metrics.Tenant, request.Tenant), 0, 1)
	if request.IsRetry {
		r.registry.Add(metrics.ClientRetries, class, 0, 1)
	}
	dataSet := r.registry.Slot(metrics.DataSet, r.dataSetName(request.DataSet))
	r.registry.Add(metrics.RequestsByDataSet, dataSet, 0, 1)
}

func (r *Recorder) dataSetName(number int) string {
	if number >= 0 && number < len(r.dataSetNames) {
		return r.dataSetNames[number]
	}
	return strconv.Itoa(number)
}

// rejectionCauses maps the kind of a reply to the label index of metrics.Rejections.
var rejectionCauses = [...]int{
	broker.ReplyRejected:        metrics.NoCapacity,
	broker.ReplyTooManySessions: metrics.TooManySessions,
	broker.ReplyInvalidFields:   metrics.BadFields,
	broker.ReplyUnknownCommand:  metrics.BadCommand,
	broker.ReplyNotReady:        metrics.NotReady,
	broker.ReplyUnknownSession:  metrics.NoSuchSession,
	broker.ReplyUnknownDatabase: metrics.NoSuchDatabase,
	broker.ReplyInterrupted:     metrics.Killed,
}

// RequestRejected counts a rejection by its cause.
func (r *Recorder) RequestRejected(kind broker.ReplyKind) {
	r.registry.Add(metrics.Rejections, cardinality.Other, rejectionCauses[kind], 1)
}

// AttemptStarted counts an attempt that is sent to an engine.
func (r *Recorder) AttemptStarted(class string) {
	r.registry.Add(metrics.Attempts, r.registry.Slot(metrics.Class, class), 0, 1)
}

// RequestEnded records the outcome of a request, its duration, its attempts and its time in queue.
func (r *Recorder) RequestEnded(request broker.RequestSummary) {
	class, tenant := r.registry.Slot(metrics.Class, request.Class), r.registry.Slot(metrics.Tenant, request.Tenant)
	outcome := requestOutcome(&request)
	r.registry.Add(metrics.RequestOutcomes, class, outcome, 1)
	r.registry.Add(metrics.RequestOutcomesByTenant, tenant, outcome, 1)
	if outcome == metrics.InTime || outcome == metrics.Late {
		r.registry.Observe(metrics.AnswerTime, class, milliseconds(request.Duration))
		if request.Objective > 0 {
			r.registry.Observe(metrics.ObjectiveRatio, class, float64(request.Duration)/float64(request.Objective))
		}
	}
	r.registry.Observe(metrics.AttemptsPerRequest, class, float64(request.Attempts))
	r.registry.Observe(metrics.QueueWait, class, milliseconds(request.QueueTime))
	r.registry.Observe(metrics.QueueWaitByTenant, tenant, milliseconds(request.QueueTime))
}

// requestOutcome returns the label index of metrics.RequestOutcomes for a request.
func requestOutcome(request *broker.RequestSummary) int {
	switch {
	case request.Abandoned:
		return metrics.Abandoned
	case request.Kind == broker.ReplyRejected:
		return metrics.Rejected
	case request.Kind != broker.ReplyResult:
		return metrics.Failed
	case request.Objective <= 0 || request.Duration <= request.Objective:
		return metrics.InTime
	}
	return metrics.Late
}

// AttemptEnded records the status of an ended attempt, and its duration as wasted time if no client got its answer.
func (r *Recorder) AttemptEnded(attempt broker.AttemptSummary) {
	engine := r.registry.Slot(metrics.Engine, attempt.Engine)
	r.registry.Add(metrics.AttemptEnds, engine, int(attempt.Status), 1)
	if attempt.Status == control.OK {
		r.registry.Observe(metrics.EngineTime, engine, milliseconds(attempt.Duration))
	}
	if attempt.Wasted {
		r.registry.Add(metrics.WastedTime, r.registry.Slot(metrics.Class, attempt.Class), 0, milliseconds(attempt.Duration))
		r.registry.Add(metrics.WastedTimeByEngine, engine, 0, milliseconds(attempt.Duration))
	}
}

// RequestEndCause counts the cause of a request's end.
func (r *Recorder) RequestEndCause(cause broker.EndCause) {
	r.registry.Add(metrics.RequestEndCauses, cardinality.Other, int(cause), 1)
}

// InvariantViolated counts a violation, or a prevented violation, of an invariant.
func (r *Recorder) InvariantViolated(rule invariant.Rule) {
	r.registry.Add(metrics.InvariantViolations, cardinality.Other, int(rule), 1)
}

// DuplicateResponse counts a response for which no attempt was waiting.
func (r *Recorder) DuplicateResponse(engine string) {
	r.registry.Add(metrics.DuplicateResponses, r.registry.Slot(metrics.Engine, engine), 0, 1)
}

// DrainStarted counts a drain of an engine.
func (r *Recorder) DrainStarted() { r.registry.Add(metrics.Drains, cardinality.Other, 0, 1) }

// DrainCompleted records the duration of a drain, and counts it as late if it exceeded maxDrainDuration.
func (r *Recorder) DrainCompleted(took time.Duration) {
	r.registry.Observe(metrics.DrainTime, cardinality.Other, milliseconds(took))
	r.worstDrain = max(r.worstDrain, took)
	r.registry.Set(metrics.MaxDrainTime, cardinality.Other, 0, milliseconds(r.worstDrain))
	if took > maxDrainDuration {
		r.registry.Add(metrics.LateDrains, cardinality.Other, 0, 1)
	}
}

// LoopLag records the delay with which an iteration of the reducer's event loop started. A negative lag counts as 0.
func (r *Recorder) LoopLag(lag time.Duration) {
	r.registry.Observe(metrics.LoopLag, cardinality.Other, milliseconds(max(0, lag)))
}

// InboxLength records the number of events that are waiting for the reducer.
func (r *Recorder) InboxLength(events int) {
	r.registry.SetMax(metrics.InboxLength, cardinality.Other, 0, float64(events))
}

// Reloaded counts a configuration file that was accepted or rejected at SIGHUP.
func (r *Recorder) Reloaded(accepted bool) {
	if accepted {
		r.registry.Add(metrics.ConfigsAccepted, cardinality.Other, 0, 1)
	} else {
		r.registry.Add(metrics.ConfigsRejected, cardinality.Other, 0, 1)
	}
}
