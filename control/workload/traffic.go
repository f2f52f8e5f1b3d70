package workload

import (
	"time"

	"wheatlane/control/shares"
	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	priorArrivalRate  = units.PerSecond(1)  // added to the arrival rate by which throughput is divided
	maxInverseLatency = 4                   // upper bound of Output.InverseLatency
	minLatencySum     = units.Seconds(1e-6) // keeps a quotient finite
)

// Traffic counts a class's requests and answers in each interval.
type Traffic struct {
	arrivals   int // requests in this interval
	rate       units.PerSecond
	latencySum units.Seconds // sum of the latencies of this interval's answers
	answers    int           // answers in this interval
	output     shares.Output // of the last interval with answers
}

// RequestReceived counts a request.
func (t *Traffic) RequestReceived() { t.arrivals++ }

// Answered counts an answer and its latency.
func (t *Traffic) Answered(latency time.Duration) {
	t.latencySum += units.SecondsOf(latency)
	t.answers++
}

// closeInterval updates the rate and the output, and returns the number of answers in the interval.
func (t *Traffic) closeInterval(
	elapsed time.Duration, weight float64, objective time.Duration,
) (answers int) {
	t.rate = estimate.EWMA(t.rate, units.Rate(t.arrivals, elapsed), weight)
	t.arrivals = 0
	answers = t.answers
	if answers > 0 {
		inverse := objective.Seconds() * float64(answers) / float64(max(t.latencySum, minLatencySum))
		t.output = shares.Output{
			InverseLatency: min(maxInverseLatency, inverse),
			Throughput: float64(answers) / elapsed.Seconds() /
				float64(t.rate+priorArrivalRate),
		}
	}
	t.answers, t.latencySum = 0, 0
	return answers
}
