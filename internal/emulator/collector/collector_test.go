package collector

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// intervalSamples returns the samples of an interval: the broker's start, the sequence number, the number of merged
// intervals and a counter of requests.
func intervalSamples(broker string, started, timestamp int64, sequence, merged, requests float64) []Sample {
	values := []struct {
		id    metrics.ID
		value float64
	}{
		{metrics.Requests, requests},
		{metrics.StartTime, float64(started)},
		{metrics.Sequence, sequence},
		{metrics.MergedIntervals, merged},
	}
	samples := make([]Sample, 0, len(values))
	for _, v := range values {
		series := metrics.Series{ID: v.id}
		if metrics.Catalogue[v.id].Dimension != metrics.NoDimension {
			series.Name = "lookup"
		}
		name := graphite.MetricName{Broker: broker, Series: series}
		samples = append(samples, Sample{Name: name, Value: v.value, Timestamp: timestamp})
	}
	return samples
}

// interval returns the samples of an interval of broker n1, which started at 100 s.
func interval(timestamp int64, sequence, merged, requests float64) []Sample {
	return intervalSamples("n1", 100, timestamp, sequence, merged, requests)
}

var (
	firstInterval  = interval(110, 1, 1, 5)
	secondInterval = interval(120, 2, 1, 9)
	thirdInterval  = interval(130, 3, 1, 12)
)

var reconcileCases = []struct {
	name    string
	samples []Sample
	want    string // part of the only violation; empty for none
	missing int64
}{
	{"in order", slices.Concat(firstInterval, secondInterval, thirdInterval), "", 0},
	{"newest interval first", slices.Concat(thirdInterval, firstInterval, secondInterval), "", 0},
	{"duplicated interval", slices.Concat(firstInterval, secondInterval, secondInterval, thirdInterval), "", 0},
	{"merged intervals", slices.Concat(firstInterval, interval(130, 3, 2, 12)), "", 0},
	{"missing interval", slices.Concat(firstInterval, thirdInterval), "", 1},
	{
		"broker restart",
		slices.Concat(firstInterval, secondInterval,
			intervalSamples("n1", 125, 135, 1, 1, 0), intervalSamples("n1", 125, 145, 2, 1, 3)),
		"", 0,
	},
	{"two brokers", slices.Concat(firstInterval, intervalSamples("n2", 100, 110, 1, 1, 77)), "", 0},
	{"clock set back", slices.Concat(firstInterval, interval(50, 2, 1, 9), interval(60, 3, 1, 10)), "", 0},
	{
		"decreasing counter", slices.Concat(firstInterval, secondInterval, interval(130, 3, 1, 8)),
		"requests of \"lookup\" fell from 9 to 8", 0,
	},
	{
		"sequence number with two timestamps", slices.Concat(firstInterval, interval(115, 1, 1, 6)),
		"interval 1 came under the times", -1,
	},
	{
		"more intervals represented than numbered", slices.Concat(firstInterval, interval(120, 2, 5, 9)),
		"more than the 2 there were", -4,
	},
}

// Each rule reports its injected violation, and samples that conform to the rules cause no violation. Reordered,
// duplicated and missing intervals, restarts and a clock set back are no violations.
func TestReconcile(t *testing.T) {
	for _, tt := range reconcileCases {
		t.Run(tt.name, func(t *testing.T) {
			f := Reconcile(tt.samples, 0, nil, nil)
			got := strings.Join(f.Violations, "; ")
			if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("found %q, want %q", got, tt.want)
			}
			if missing := f.Incarnations[0].Missing(); missing != tt.missing {
				t.Errorf("%d missing, want %d", missing, tt.missing)
			}
		})
	}
	t.Run("counts duplicated samples", func(t *testing.T) {
		f := Reconcile(slices.Concat(firstInterval, secondInterval, secondInterval), 0, nil, nil)
		if f.Duplicated != 4 {
			t.Errorf("%d samples duplicated, want 4", f.Duplicated)
		}
	})
	t.Run("interval without sequence number is incomplete", func(t *testing.T) {
		if f := Reconcile(firstInterval[:2], 0, nil, nil); f.Incomplete != 1 || len(f.Incarnations) != 0 {
			t.Errorf("got %+v, want 1 incomplete interval and no incarnation", f)
		}
	})
}

func TestReconcileReportsUnorderedQuantiles(t *testing.T) {
	samples := slices.Clone(firstInterval)
	series := metrics.Series{ID: metrics.AnswerTime, Name: "lookup"}
	for i, stat := range metrics.StatNames {
		name := graphite.MetricName{Broker: "n1", Series: series, Stat: stat}
		samples = append(samples, Sample{Name: name, Value: float64(10 - i), Timestamp: 110})
	}
	f := Reconcile(samples, 0, nil, nil)
	if len(f.Violations) != 1 || !strings.Contains(f.Violations[0], "out of order") {
		t.Fatalf("violations %q, want one that reports quantiles out of order", f.Violations)
	}
}

// closableBuffer is a buffer with a Close method, in place of a file.
type closableBuffer struct{ bytes.Buffer }

func (*closableBuffer) Close() error { return nil }

func TestRecordingRoundTrip(t *testing.T) {
	var f closableBuffer
	r, err := NewRecording(&f)
	if err != nil {
		t.Fatal(err)
	}
	var want []Sample
	for i := range 3000 {
		broker := fmt.Sprintf("n %d", i%3)
		for _, s := range intervalSamples(broker, 100, int64(100+i), float64(i), 1, float64(i)*1.5) {
			s.ArrivedAfter = time.Duration(i) * time.Millisecond
			want = append(want, s)
			r.Add(s)
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	complete := f.Bytes()
	got, err := ReadRecording(bytes.NewReader(complete))
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Fatalf("samples read differ (-want +got), error %v:\n%s", err, diff)
	}
	// The recording of a killed collector is truncated; the samples ahead of the truncation are read.
	got, err = ReadRecording(bytes.NewReader(complete[:len(complete)*3/4]))
	truncated := errors.Is(err, ErrRecording) || errors.Is(err, io.ErrUnexpectedEOF)
	if !truncated || len(got) == 0 || len(got) >= len(want) {
		t.Fatalf("truncated recording: read %d of %d samples, error %v", len(got), len(want), err)
	}
	if diff := cmp.Diff(want[:len(got)], got); diff != "" {
		t.Fatalf("samples ahead of the truncation differ (-want +got):\n%s", diff)
	}
	// A flushed sample is in the file although the recording was not closed.
	f.Reset()
	if r, err = NewRecording(&f); err != nil {
		t.Fatal(err)
	}
	r.Add(want[0])
	if err := r.flush(); err != nil {
		t.Fatal(err)
	}
	if got, err = ReadRecording(bytes.NewReader(f.Bytes())); len(got) != 1 || err == nil {
		t.Fatalf("recording not closed: read %d samples, error %v, want 1 sample and an error", len(got), err)
	}
	if _, err := ReadRecording(strings.NewReader("no recording")); !errors.Is(err, ErrRecording) {
		t.Fatalf("file without the header: error %v, want %v", err, ErrRecording)
	}
}
