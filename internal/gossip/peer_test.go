package gossip

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"wheatlane/control"
)

// What a datagram holds is what went in, to its steps, cut to its ranges, and never older or longer than may be.
func TestWhatIsToldIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		in := make([]control.LoadReport, rapid.IntRange(0, 60).Draw(t, "reports"))
		for i := range in {
			in[i] = control.LoadReport{Engine: rng.Uint32(), Load: 4*rng.Float64() - 0.5, Age: time.Duration(rng.Int64N(int64(7 * time.Second)))}
		}
		text := Append(nil, in)
		if len(text) > MaxBytes {
			t.Fatalf("%d bytes", len(text))
		}
		out, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range in {
			if r.Age > MaxAge {
				continue
			}
			if len(out) == 0 {
				if len(text) < MaxBytes-reportBytes {
					t.Fatal("a report is missing")
				}
				return
			}
			got := out[0]
			out = out[1:]
			load := min(2.55, max(0, r.Load))
			if got.Engine != r.Engine || got.Load < load-0.0051 || got.Load > load+0.0051 || got.Age < r.Age || got.Age >= r.Age+ageStep {
				t.Fatalf("told %+v, heard %+v", r, got)
			}
		}
		if len(out) > 0 {
			t.Fatalf("%d reports more than were told", len(out))
		}
	})
}

// What is no datagram of a broker is a named error, whatever it is.
func TestBadDatagrams(t *testing.T) {
	good := Append(nil, []control.LoadReport{{Engine: 7, Load: 0.5, Age: time.Second}})
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"empty":           {nil, ErrVersion},
		"one byte":        {good[:1], ErrVersion},
		"another version": {append([]byte("w\x02"), good[2:]...), ErrVersion},
		"another program": {[]byte("GET / HTTP/1.1"), ErrVersion},
		"cut off":         {good[:len(good)-1], ErrTruncated},
		"too long":        {make([]byte, MaxBytes+1), ErrTooLong},
		"no reports":      {good[:2], nil},
		"good":            {good, nil},
	} {
		if _, err := Parse(c.text); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	got, _ := Parse(good)
	if diff := cmp.Diff([]control.LoadReport{{Engine: 7, Load: 0.5, Age: time.Second}}, got); diff != "" {
		t.Error(diff)
	}
}
