// Package collector emulates the collectors that brokers send metrics to: a carbon server, and a collectd with the
// network plugin, both implemented from their published formats. They store samples in a Reconciler, which checks
// them against the rules of the metrics catalogue, and they can inject the faults of real collectors.
package collector

import (
	"sync"
	"time"

	"wheatlane/internal/graphite"
)

const (
	maxSamples    = 2 << 20 // at this limit the older half is dropped and counted
	maxViolations = 100     // violations reported, and distinct unknown names and parse errors counted
)

// Sample is one value that a collector received.
type Sample struct {
	ArrivedAfter time.Duration // since the collector's start
	Name         graphite.MetricName
	Value        float64
	Timestamp    int64 // the broker's timestamp, Unix time in seconds
}

// Reconciler stores samples and checks them. It is safe for concurrent use.
type Reconciler struct {
	startedAt time.Time
	onSample  func(Sample) // nil: none

	mu        sync.Mutex // guards the fields below
	samples   []Sample
	dropped   int
	unknown   map[string]int // count by name that is not in the catalogue
	malformed map[string]int // count by parse error
	changed   chan struct{}  // closed at the next sample, unknown name or parse error
}

// NewReconciler returns a reconciler without samples. It calls onSample, unless that is nil, with each sample that is
// added, while it holds its lock.
func NewReconciler(onSample func(Sample)) *Reconciler {
	return &Reconciler{
		startedAt: time.Now(), onSample: onSample,
		unknown: map[string]int{}, malformed: map[string]int{}, changed: make(chan struct{}),
	}
}

// Add stores a sample.
func (r *Reconciler) Add(name graphite.MetricName, value float64, timestamp int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Sample{ArrivedAfter: time.Since(r.startedAt), Name: name, Value: value, Timestamp: timestamp}
	if len(r.samples) >= maxSamples {
		half := len(r.samples) / 2
		r.dropped += half
		r.samples = append([]Sample(nil), r.samples[half:]...)
	}
	r.samples = append(r.samples, s)
	if r.onSample != nil {
		r.onSample(s)
	}
	r.notifyWaiters()
}

// notifyWaiters wakes the goroutines that wait on Changed. r.mu must be held.
func (r *Reconciler) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next sample, unknown name or parse error.
func (r *Reconciler) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// AddUnknown counts a name that is not in the catalogue.
func (r *Reconciler) AddUnknown(name string) { r.countIn(r.unknown, name) }

// AddMalformed counts input that could not be parsed, by the reason.
func (r *Reconciler) AddMalformed(reason string) { r.countIn(r.malformed, reason) }

func (r *Reconciler) countIn(counts map[string]int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := counts[text]; known || len(counts) < maxViolations {
		counts[text]++
	}
	r.notifyWaiters()
}

// Clear drops all samples, as a collector does that restarts without its disk.
func (r *Reconciler) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = nil
}

// Reconcile checks the stored samples against the rules of the catalogue: each interval carries its sequence number
// and its broker's start time; counters never decrease within an incarnation; the intervals received represent no
// more intervals than the broker numbered.
func (r *Reconciler) Reconcile() *Findings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Reconcile(r.samples, r.dropped, r.unknown, r.malformed)
}
