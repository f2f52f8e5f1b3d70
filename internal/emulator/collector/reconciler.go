// Package collector emulates the systems that figures are sent to: a carbon server, and a collectd with the
// network plugin, written from their published formats. They keep what they receive in a Reconciler, which
// checks it against the rules of the catalogue of figures, and they fail on demand as real ones do.
package collector

import (
	"sync"
	"time"

	"wheatlane/internal/graphite"
)

const (
	maxSamples    = 2 << 20 // beyond it the older half is dropped and counted
	maxViolations = 100     // texts kept
)

// Sample is one value as a collector received it.
type Sample struct {
	ArrivedAfter time.Duration // since the collector's start
	Name         graphite.MetricName
	Value        float64
	Timestamp    int64 // the broker's timestamp in seconds of Unix time
}

// Reconciler keeps samples. It may be used from several goroutines.
type Reconciler struct {
	startedAt time.Time
	onSample  func(Sample) // nil: none

	mu        sync.Mutex // guards what follows
	samples   []Sample
	dropped   int
	unknown   map[string]int // names that the catalogue lacks
	malformed map[string]int // why something could not be parsed
	changed   chan struct{}  // closed when something new comes
}

// NewReconciler returns an empty one. onSample, if there is one, is called with each sample as it comes.
func NewReconciler(onSample func(Sample)) *Reconciler {
	return &Reconciler{
		startedAt: time.Now(), onSample: onSample,
		unknown: map[string]int{}, malformed: map[string]int{}, changed: make(chan struct{}),
	}
}

// Add keeps a sample.
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

// notifyWaiters wakes those that wait for Changed; r.mu is held.
func (r *Reconciler) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed when something new comes.
func (r *Reconciler) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// AddUnknown counts a name that is not in the catalogue.
func (r *Reconciler) AddUnknown(name string) { r.countIn(r.unknown, name) }

// AddMalformed counts something that could not be parsed, by the reason.
func (r *Reconciler) AddMalformed(reason string) { r.countIn(r.malformed, reason) }

func (r *Reconciler) countIn(counts map[string]int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := counts[text]; known || len(counts) < maxViolations {
		counts[text]++
	}
	r.notifyWaiters()
}

// Clear forgets all samples, as a collector does that restarts without its disk.
func (r *Reconciler) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = nil
}

// Reconcile checks all that came against the rules of the catalogue. Each interval has its sequence number
// and the start of its broker; counters never fall within an incarnation; no more intervals are accounted
// for than there were.
func (r *Reconciler) Reconcile() *Findings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Reconcile(r.samples, r.dropped, r.unknown, r.malformed)
}
