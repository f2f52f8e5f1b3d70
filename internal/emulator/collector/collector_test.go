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

// intervalSamples are the samples of an interval: its sequence number, for how many it stands, and a counter.
func intervalSamples(broker string, started, timestamp int64, sequence, folded, requests float64) []Sample {
	figures := []struct {
		id    metrics.ID
		value float64
	}{
		{metrics.Requests, requests},
		{metrics.StartTime, float64(started)},
		{metrics.Sequence, sequence},
		{metrics.MergedIntervals, folded},
	}
	samples := make([]Sample, 0, len(figures))
	for _, f := range figures {
		series := metrics.Series{ID: f.id}
		if metrics.Catalogue[f.id].Dimension != metrics.NoDimension {
			series.Name = "lookup"
		}
		name := graphite.MetricName{Broker: broker, Series: series}
		samples = append(samples, Sample{Name: name, Value: f.value, Timestamp: timestamp})
	}
	return samples
}

// interval is one of broker n1, which started at 100 s.
func interval(timestamp int64, sequence, folded, requests float64) []Sample {
	return intervalSamples("n1", 100, timestamp, sequence, folded, requests)
}

var (
	firstInterval  = interval(110, 1, 1, 5)
	secondInterval = interval(120, 2, 1, 9)
	thirdInterval  = interval(130, 3, 1, 12)
)

var reconcileCases = []struct {
	name    string
	samples []Sample
	want    string // in the one violation
	missing int64
}{
	{"in order", slices.Concat(firstInterval, secondInterval, thirdInterval), "", 0},
	{"the newest first", slices.Concat(thirdInterval, firstInterval, secondInterval), "", 0},
	{"twice", slices.Concat(firstInterval, secondInterval, secondInterval, thirdInterval), "", 0},
	{"folded", slices.Concat(firstInterval, interval(130, 3, 2, 12)), "", 0},
	{"a gap", slices.Concat(firstInterval, thirdInterval), "", 1},
	{
		"a restart",
		slices.Concat(firstInterval, secondInterval,
			intervalSamples("n1", 125, 135, 1, 1, 0), intervalSamples("n1", 125, 145, 2, 1, 3)),
		"", 0,
	},
	{"two brokers", slices.Concat(firstInterval, intervalSamples("n2", 100, 110, 1, 1, 77)), "", 0},
	{"the clock set back", slices.Concat(firstInterval, interval(50, 2, 1, 9), interval(60, 3, 1, 10)), "", 0},
	{
		"a counter that fell", slices.Concat(firstInterval, secondInterval, interval(130, 3, 1, 8)),
		"requests of \"lookup\" fell from 9 to 8", 0,
	},
	{
		"a number under two times", slices.Concat(firstInterval, interval(115, 1, 1, 6)),
		"interval 1 came under the times", -1,
	},
	{
		"more than there were", slices.Concat(firstInterval, interval(120, 2, 5, 9)),
		"more than the 2 there were", -4,
	},
}

// Each rule finds the violation that is injected for it; what is none is not found.
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
	t.Run("duplicates are counted", func(t *testing.T) {
		f := Reconcile(slices.Concat(firstInterval, secondInterval, secondInterval), 0, nil, nil)
		if f.Duplicated != 4 {
			t.Errorf("%d came twice", f.Duplicated)
		}
	})
	t.Run("an interval without its number", func(t *testing.T) {
		if f := Reconcile(firstInterval[:2], 0, nil, nil); f.Incomplete != 1 || len(f.Incarnations) != 0 {
			t.Errorf("%+v", f)
		}
	})
}

func TestQuantilesOutOfOrderAreFound(t *testing.T) {
	samples := slices.Clone(firstInterval)
	series := metrics.Series{ID: metrics.AnswerTime, Name: "lookup"}
	for i, stat := range metrics.StatNames {
		name := graphite.MetricName{Broker: "n1", Series: series, Stat: stat}
		samples = append(samples, Sample{Name: name, Value: float64(10 - i), Timestamp: 110})
	}
	f := Reconcile(samples, 0, nil, nil)
	if len(f.Violations) != 1 || !strings.Contains(f.Violations[0], "out of order") {
		t.Fatalf("%q", f.Violations)
	}
}

// closableBuffer is a buffer that is closed as a file is.
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
	whole := f.Bytes()
	got, err := ReadRecording(bytes.NewReader(whole))
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Fatal(err, diff)
	}
	// One that breaks off, as its collector was killed, is read as far as it goes.
	got, err = ReadRecording(bytes.NewReader(whole[:len(whole)*3/4]))
	brokeOff := errors.Is(err, ErrRecording) || errors.Is(err, io.ErrUnexpectedEOF)
	if !brokeOff || len(got) == 0 || len(got) >= len(want) {
		t.Fatalf("%d of %d, %v", len(got), len(want), err)
	}
	if diff := cmp.Diff(want[:len(got)], got); diff != "" {
		t.Fatal(diff)
	}
	// A collector that was killed has left what came up to a second before.
	f.Reset()
	if r, err = NewRecording(&f); err != nil {
		t.Fatal(err)
	}
	r.Add(want[0])
	if err := r.flush(); err != nil {
		t.Fatal(err)
	}
	if got, err = ReadRecording(bytes.NewReader(f.Bytes())); len(got) != 1 || err == nil {
		t.Fatalf("%d samples, %v", len(got), err)
	}
	if _, err := ReadRecording(strings.NewReader("no recording")); !errors.Is(err, ErrRecording) {
		t.Fatalf("%v", err)
	}
}
