package graphite

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/metrics"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares a text with that of a file.
func golden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s: %s", path, diff)
	}
}

// everyFigure is an interval with every figure, each of its details, and values of their own for two names
// and all others.
func everyFigure() *metrics.Interval {
	v := &metrics.Interval{
		Sequence: 7, FoldedCount: 2, EndTime: 1_750_000_000 * time.Second, Duration: 10 * time.Second,
	}
	value := 0.0
	for i, f := range metrics.Catalogue {
		id := metrics.ID(i)
		all := []metrics.Series{{Figure: id}}
		if f.By != metrics.NoDimension {
			all = []metrics.Series{
				{Figure: id, Name: "fishing-fleet"},
				{Figure: id, Name: "re.port;x=1 é"},
				{Figure: id, Other: true},
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
			for part := range id.Parts() {
				value += 1.125
				s.Part = part
				v.Points = append(v.Points, metrics.Point{Series: s, Value: value})
			}
		}
	}
	return v
}

// The bytes that are sent of every figure are what they were, in each form.
func TestSentBytes(t *testing.T) {
	v := everyFigure()
	for _, tt := range []struct {
		name     string
		encoder  Encoder
		maxBytes int // that are asked for at a time
	}{
		{"lines", Encoder{Form: Form{Prefix: "wheatlane"}, Broker: "n1"}, 1 << 20},
		{"lines-in-parts", Encoder{Form: Form{Prefix: "sea.lane"}, Broker: "n 1.é"}, 1400},
		{"tags", Encoder{Form: Form{Prefix: "wheatlane", Tags: true}, Broker: "n1"}, 1 << 20},
		{"no-prefix", Encoder{Broker: ""}, 1 << 20},
		{"pickle", Encoder{Form: Form{Prefix: "wheatlane"}, Broker: "n1", Pickle: true}, 4000},
		{"pickle-tags", Encoder{Form: Form{Tags: true}, Broker: "n1", Pickle: true}, 1 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var all strings.Builder
			for next := 0; next < tt.encoder.Records(v); {
				var text []byte
				var err error
				if text, next, err = tt.encoder.Append(nil, v, next, tt.maxBytes); err != nil {
					t.Fatal(err)
				}
				if tt.encoder.Pickle {
					text = append([]byte(hex.EncodeToString(text)), '\n')
				} else if next < tt.encoder.Records(v) {
					text = append(text, '\n') // shows where one part ends
				}
				all.Write(text)
			}
			golden(t, filepath.Join("testdata", tt.name+".golden"), all.String())
		})
	}
}
