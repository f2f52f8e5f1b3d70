package collector

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"

	"wheatlane/internal/goldenfile"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// recordedLines holds the lines of a recording with their parsed fields.
var recordedLines = []struct {
	line, metric, broker, name, stat, label string
	other                                   bool
	arrived                                 time.Duration
	value                                   float64
	timestamp                               int64
}{
	{"0 open_requests;broker=n1 17 1750000000", "open_requests", "n1", "", "", "", false, 0, 17, 1750000000},
	{
		"12 answers;broker=n_201;class=lookup;outcome=late 3 1750000000",
		"answers", "n 1", "lookup", "", "late", false,
		12 * time.Millisecond, 3, 1750000000,
	},
	{
		"1500 answer_ms.p99;broker=n1;class=re_2eport 12.75 1750000010",
		"answer_ms", "n1", "re.port", "p99", "", false,
		1500 * time.Millisecond, 12.75, 1750000010,
	},
	{
		"3600000 queued;broker=n1;engine=other 1e+21 1750000010",
		"queued", "n1", "", "", "", true, time.Hour, 1e21, 1750000010,
	},
	{
		"3600001 client_connections_ended;broker=_;reason=peer_reset 0.125 1750000020",
		"client_connections_ended", "", "", "", "peer_reset", false,
		time.Hour + time.Millisecond, 0.125, 1750000020,
	},
}

// decompress returns the content of a recording.
func decompress(t *testing.T, recording []byte) string {
	t.Helper()
	z, err := zstd.NewReader(bytes.NewReader(recording))
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	text, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The format of recordings must stay the same: a recording of an earlier release must be readable, and the same
// samples must be written as the same lines.
func TestRecordingMatchesGoldenFile(t *testing.T) {
	const golden = "testdata/recording.zst"
	var f closableBuffer
	r, err := NewRecording(&f)
	if err != nil {
		t.Fatal(err)
	}
	want := "wheatlane figures 1\n"
	for _, l := range recordedLines {
		id, ok := metrics.Find(l.metric)
		if !ok {
			t.Fatalf("the catalogue has no metric %s", l.metric)
		}
		s := metrics.Series{ID: id, Name: l.name, Other: l.other}
		for i, value := range metrics.Catalogue[id].LabelValues {
			if value == l.label {
				s.LabelIndex = i
			}
		}
		name := graphite.MetricName{Broker: l.broker, Series: s, Stat: l.stat}
		r.Add(Sample{ArrivedAfter: l.arrived, Name: name, Value: l.value, Timestamp: l.timestamp})
		want += l.line + "\n"
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, decompress(t, f.Bytes())); diff != "" {
		t.Errorf("written recording differs (-want +got):\n%s", diff)
	}
	stored, err := goldenfile.Content(golden, func() ([]byte, error) { return f.Bytes(), nil })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, decompress(t, stored)); diff != "" {
		t.Errorf("golden file differs (-want +got):\n%s", diff)
	}
	all, err := ReadRecording(bytes.NewReader(stored))
	if err != nil || len(all) != len(recordedLines) {
		t.Fatalf("read %d samples, want %d, error %v", len(all), len(recordedLines), err)
	}
	for i, l := range recordedLines {
		s := all[i]
		metric := metrics.Catalogue[s.Name.Series.ID]
		label := ""
		if len(metric.LabelValues) > 0 {
			label = metric.LabelValues[s.Name.Series.LabelIndex]
		}
		if metric.Name != l.metric || s.Name.Broker != l.broker || s.Name.Series.Name != l.name ||
			s.Name.Stat != l.stat || label != l.label ||
			s.Name.Series.Other != l.other || s.ArrivedAfter != l.arrived ||
			s.Value != l.value || s.Timestamp != l.timestamp {
			t.Errorf("%s: got %+v, want %+v", l.line, s, l)
		}
	}
}
