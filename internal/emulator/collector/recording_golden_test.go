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

// storedLines are the lines of a recording, and what each of them says.
var storedLines = []struct {
	line, figure, broker, name, stat, detail string
	other                                    bool
	arrived                                  time.Duration
	value                                    float64
	at                                       int64
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

// unpacked is the content of a recording.
func unpacked(t *testing.T, recording []byte) string {
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

// A recording that an earlier release wrote is read, and the same samples are written in the same lines.
func TestStoredRecording(t *testing.T) {
	const golden = "testdata/recording.zst"
	var f closableBuffer
	r, err := NewRecording(&f)
	if err != nil {
		t.Fatal(err)
	}
	want := "wheatlane figures 1\n"
	for _, l := range storedLines {
		id, ok := metrics.Find(l.figure)
		if !ok {
			t.Fatalf("no figure %s", l.figure)
		}
		s := metrics.Series{Figure: id, Name: l.name, Other: l.other}
		for i, p := range metrics.Catalogue[id].LabelValues {
			if p == l.detail {
				s.LabelIndex = i
			}
		}
		name := graphite.Name{Broker: l.broker, Series: s, Stat: l.stat}
		r.Add(Sample{ArrivedAfter: l.arrived, Name: name, Value: l.value, Timestamp: l.at})
		want += l.line + "\n"
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, unpacked(t, f.Bytes())); diff != "" {
		t.Errorf("written: %s", diff)
	}
	stored, err := goldenfile.Content(golden, func() ([]byte, error) { return f.Bytes(), nil })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, unpacked(t, stored)); diff != "" {
		t.Errorf("stored: %s", diff)
	}
	all, err := ReadRecording(bytes.NewReader(stored))
	if err != nil || len(all) != len(storedLines) {
		t.Fatalf("read: %d samples, %v", len(all), err)
	}
	for i, l := range storedLines {
		s := all[i]
		fig := metrics.Catalogue[s.Name.Series.Figure]
		detail := ""
		if len(fig.LabelValues) > 0 {
			detail = fig.LabelValues[s.Name.Series.LabelIndex]
		}
		if fig.Name != l.figure || s.Name.Broker != l.broker || s.Name.Series.Name != l.name ||
			s.Name.Stat != l.stat || detail != l.detail ||
			s.Name.Series.Other != l.other || s.ArrivedAfter != l.arrived ||
			s.Value != l.value || s.Timestamp != l.at {
			t.Errorf("%s: read %+v", l.line, s)
		}
	}
}
