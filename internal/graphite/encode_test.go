package graphite

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/metrics"
)

// smallInterval returns an interval with a counter and two distributions of request classes, and the metrics that every
// broker reports.
func smallInterval() *metrics.Interval {
	limits := metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, IdleTimeout: time.Hour}
	r := metrics.NewRegistry(limits, 0, 0)
	r.Add(metrics.RequestOutcomes, r.Slot(metrics.Class, "lookup"), metrics.Late, 3)
	r.Observe(metrics.AnswerTime, r.Slot(metrics.Class, "lookup"), 12.5)
	r.Observe(metrics.AnswerTime, r.Slot(metrics.Class, "re.port;x=1"), 700)
	return r.EndInterval(1_750_000_000*time.Second, 10*time.Second)
}

// expectedRecords returns the records of an interval in the order of their numbers.
func expectedRecords(t *testing.T, e *Encoder, v *metrics.Interval) []Sample {
	t.Helper()
	all := make([]Sample, 0, e.RecordCount(v))
	add := func(n MetricName, value float64) {
		n.Broker = e.Broker
		all = append(all, Sample{string(e.Format.Append(nil, n)), value, int64(v.EndTime / time.Second)})
	}
	for _, p := range v.Points {
		add(MetricName{Series: p.Series}, p.Value)
	}
	for _, d := range v.Distributions {
		s, err := metrics.Summarize(d.EncodedSketch)
		if err != nil {
			t.Fatal(err)
		}
		for i, value := range s.Values() {
			add(MetricName{Series: d.Series, Stat: metrics.StatNames[i]}, value)
		}
	}
	if len(all) != e.RecordCount(v) {
		t.Fatalf("interval has %d records, RecordCount returns %d", len(all), e.RecordCount(v))
	}
	return all
}

// For any maximum size and any first record, encoding an interval produces the remaining records, each once and in
// order.
func TestEncodingResumesAtAnyRecord(t *testing.T) {
	v := smallInterval()
	for _, pickled := range []bool{false, true} {
		for _, tags := range []bool{false, true} {
			t.Run(fmt.Sprintf("pickle %v, tags %v", pickled, tags), func(t *testing.T) {
				e := &Encoder{Format: PathFormat{Prefix: "w", Tags: tags}, Broker: "n1", Pickle: pickled}
				want := expectedRecords(t, e, v)
				for from := range want {
					for _, maxBytes := range []int{1, 100, 1 << 20} {
						got := encodeAndParse(t, e, v, from, maxBytes)
						if diff := cmp.Diff(want[from:], got); diff != "" {
							t.Fatalf("from %d, %d bytes: %s", from, maxBytes, diff)
						}
					}
				}
			})
		}
	}
}

// encodeAndParse encodes an interval, starting at a record, in steps of maxBytes, and returns the samples parsed from
// the result.
func encodeAndParse(t *testing.T, e *Encoder, v *metrics.Interval, from, maxBytes int) []Sample {
	t.Helper()
	var got []Sample
	for next := from; next < e.RecordCount(v); {
		out, after, err := e.Append(nil, v, next, maxBytes)
		if err != nil || after <= next {
			t.Fatalf("Append from record %d returned next record %d, error %v", next, after, err)
		}
		got, next = append(got, parseByteByByte(t, e.Pickle, out)...), after
	}
	return got
}

// parseByteByByte parses all of b, passing one more byte to the parser at a time.
func parseByteByByte(t *testing.T, pickled bool, b []byte) []Sample {
	t.Helper()
	var all []Sample
	for end, start := 1, 0; end <= len(b); end++ {
		part := b[start:end]
		if pickled {
			some, n, err := ParsePickle(part)
			if err != nil {
				t.Fatal(err)
			}
			all, start = append(all, some...), start+n
			continue
		}
		s, n, err := ParseLine(part)
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			all, start = append(all, s), start+n
		}
	}
	return all
}

func BenchmarkAppend(b *testing.B) {
	v := smallInterval()
	e := &Encoder{Format: PathFormat{Prefix: "wheatlane", Tags: true}, Broker: "n1"}
	b.ReportAllocs()
	var out []byte
	for b.Loop() {
		var err error
		if out, _, err = e.Append(out[:0], v, 0, 1<<20); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N*e.RecordCount(v))/b.Elapsed().Seconds(), "records/s")
}
