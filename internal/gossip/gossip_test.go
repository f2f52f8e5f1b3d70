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

// TestReportsRoundTrip guards against reports that are lost, reordered or decoded as fresher than they are, and
// against datagrams over MaxBytes. Loads and ages are rounded to the units of the format and clamped to its ranges.
func TestReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		reports := make([]control.GossipedLoad, rapid.IntRange(0, 60).Draw(t, "reports"))
		for i := range reports {
			reports[i] = control.GossipedLoad{
				Engine: rng.Uint32(), Load: 4*rng.Float64() - 0.5,
				Age: time.Duration(rng.Int64N(int64(7 * time.Second))),
			}
		}
		datagram := Append(nil, reports)
		if len(datagram) > MaxBytes {
			t.Fatalf("datagram has %d bytes, want at most %d", len(datagram), MaxBytes)
		}
		decoded, err := Parse(datagram)
		if err != nil {
			t.Fatal(err)
		}
		for _, report := range reports {
			if report.Age > MaxAge {
				continue
			}
			if len(decoded) == 0 {
				if len(datagram) < MaxBytes-reportBytes {
					t.Fatalf("got a datagram of %d bytes that lacks report %+v, want it to be included", len(datagram), report)
				}
				return
			}
			if got := decoded[0]; !sameReport(report, got) {
				t.Fatalf("encoded %+v, decoded %+v", report, got)
			}
			decoded = decoded[1:]
		}
		if len(decoded) > 0 {
			t.Fatalf("got %d unexpected reports, want none", len(decoded))
		}
	})
}

// sameReport reports whether a decoded report equals the encoded one, except for rounding and clamping.
func sameReport(encoded, decoded control.GossipedLoad) bool {
	const maxLoad, loadError = 2.55, 0.0051
	load := min(maxLoad, max(0, encoded.Load))
	return decoded.Engine == encoded.Engine &&
		decoded.Load >= load-loadError && decoded.Load <= load+loadError &&
		decoded.Age >= encoded.Age && decoded.Age < encoded.Age+ageStep
}

// TestInvalidDatagramsAreRejected guards against datagrams of other programs or versions being accepted: each kind
// of invalid datagram has its error.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	valid := Append(nil, []control.GossipedLoad{{Engine: 7, Load: 0.5, Age: time.Second}})
	for name, c := range map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":           {nil, ErrVersion},
		"one byte":        {valid[:1], ErrVersion},
		"another version": {append([]byte("w\x02"), valid[2:]...), ErrVersion},
		"another program": {[]byte("GET / HTTP/1.1"), ErrVersion},
		"truncated":       {valid[:len(valid)-1], ErrTruncated},
		"too long":        {make([]byte, MaxBytes+1), ErrTooLong},
		"no reports":      {valid[:2], nil},
		"valid":           {valid, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(c.datagram); !errors.Is(err, c.want) || c.want == nil && err != nil {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
	got, err := Parse(valid)
	want := []control.GossipedLoad{{Engine: 7, Load: 0.5, Age: time.Second}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("error %v, reports (-want +got):\n%s", err, diff)
	}
}
