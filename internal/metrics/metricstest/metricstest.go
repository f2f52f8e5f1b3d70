// Package metricstest builds intervals for tests of encoders.
package metricstest

import (
	"time"

	"wheatlane/internal/metrics"
)

// FullInterval returns an interval of the given duration with every metric and each of its label values. Metrics with a
// dimension have series for two names and for Other. Each series has a different value.
func FullInterval(duration time.Duration) *metrics.Interval {
	v := &metrics.Interval{
		Sequence: 7, MergedCount: 2, EndTime: 1_750_000_000 * time.Second, Duration: duration,
	}
	value := 0.0
	for i, f := range metrics.Catalogue {
		id := metrics.ID(i)
		all := []metrics.Series{{ID: id}}
		if f.Dimension != metrics.NoDimension {
			all = []metrics.Series{
				{ID: id, Name: "fishing-fleet"},
				{ID: id, Name: "re.port;x=1 é"},
				{ID: id, Other: true},
			}
		}
		for _, s := range all {
			if f.Kind == metrics.DistributionKind {
				d := metrics.NewSketch()
				for n := range 100 {
					value += 0.25
					d.Add(value * float64(n))
				}
				v.Distributions = append(v.Distributions, metrics.Distribution{
					Series: s, Count: d.Count(), EncodedSketch: d.Encode(nil),
				})
				continue
			}
			for label := range id.SeriesPerName() {
				value += 1.125
				s.LabelIndex = label
				v.Points = append(v.Points, metrics.Point{Series: s, Value: value})
			}
		}
	}
	return v
}
