package collectd

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

// everyFigure is an interval with every figure, each of its details, and values of their own for two names
// and all others.
func everyFigure() *metrics.Interval {
	v := &metrics.Interval{
		Sequence: 7, FoldedCount: 2,
		EndTime: 1_750_000_000 * time.Second, Duration: 10*time.Second + 3*time.Millisecond,
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

// The datagrams that are sent of every figure are what they were, at each level of security.
func TestSentBytes(t *testing.T) {
	for name, level := range map[string]Level{"plain": Plain, "sign": Sign, "encrypt": Encrypt} {
		t.Run(name, func(t *testing.T) {
			var lists []List
			if err := EachList(everyFigure(), "n 1", func(l List) error {
				lists = append(lists, l)
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			var all strings.Builder
			for _, p := range pack(t, testSecurity(level), lists...) {
				all.WriteString(hex.EncodeToString(p) + "\n")
			}
			path := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(all.String()), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), all.String()); diff != "" {
				t.Errorf("%s: %s", path, diff)
			}
		})
	}
}
