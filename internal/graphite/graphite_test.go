package graphite

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

func interval() *metrics.Interval {
	r := metrics.NewRegistry(metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, Idle: time.Hour}, 0, 0)
	r.Add(metrics.Answers, r.Slot(metrics.Class, "lookup"), metrics.Late, 3)
	r.Observe(metrics.AnswerTime, r.Slot(metrics.Class, "lookup"), 12.5)
	r.Observe(metrics.AnswerTime, r.Slot(metrics.Class, "re.port;x=1"), 700)
	return r.Cut(1_750_000_000*time.Second, 10*time.Second)
}

func TestPaths(t *testing.T) {
	late := metrics.Series{Figure: metrics.Answers, Name: "re.port", Part: metrics.Late}
	for _, c := range []struct {
		form Form
		name Name
		want string
	}{
		{Form{Prefix: "sea.wheatlane"}, Name{Broker: "n1", Series: late}, "sea.wheatlane.n1.answers.re_2eport.late"},
		{Form{Prefix: "wheatlane", Tags: true}, Name{Broker: "n1", Series: late}, "wheatlane.answers;broker=n1;class=re_2eport;outcome=late"},
		{Form{}, Name{Broker: "", Series: metrics.Series{Figure: metrics.Open}}, "_.open_requests"},
		{Form{Tags: true}, Name{Broker: "n 1", Series: metrics.Series{Figure: metrics.EngineTime, Other: true}, Stat: "p99"},
			"engine_ms.p99;broker=n_201;engine=other"},
		{Form{}, Name{Broker: "n1", Series: metrics.Series{Figure: metrics.EngineTime, Name: "other"}, Stat: "max"}, "n1.engine_ms._6fther.max"},
	} {
		if got := string(c.form.Append(nil, c.name)); got != c.want {
			t.Errorf("%+v is %s, want %s", c.name, got, c.want)
		}
	}
}

// Every name comes back from its path, and a path that is not one of ours is refused.
func TestPathsAreOneToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := metrics.ID(rapid.IntRange(0, len(metrics.Catalogue)-1).Draw(t, "figure"))
		n := Name{Broker: rapid.String().Draw(t, "broker"), Series: metrics.Series{Figure: id, Part: rapid.IntRange(0, id.Parts()-1).Draw(t, "part")}}
		if metrics.Catalogue[id].By != metrics.NoDimension {
			if n.Series.Other = rapid.Bool().Draw(t, "other"); !n.Series.Other {
				n.Series.Name = rapid.String().Draw(t, "name")
			}
		}
		if metrics.Catalogue[id].Kind == metrics.DistributionKind {
			n.Stat = rapid.SampledFrom(metrics.Stats).Draw(t, "stat")
		}
		f := Form{Prefix: rapid.SampledFrom([]string{"", "a", "a.b-c_d"}).Draw(t, "prefix"), Tags: rapid.Bool().Draw(t, "tags")}
		path := string(f.Append(nil, n))
		got, err := f.Parse(path)
		if err != nil || got != n {
			t.Fatalf("%+v became %s and came back %+v, %v", n, path, got, err)
		}
	})
	for _, path := range []string{"", "wheatlane", "wheatlane.n1.bogus", "wheatlane.n1.answers.lookup", "wheatlane.n1.answers.lookup.late.more",
		"other.n1.open_requests", "wheatlane.n1.answers.loo kup.late", "wheatlane.n1.engine_ms.e.p98"} {
		if n, err := (Form{Prefix: "wheatlane"}).Parse(path); !errors.Is(err, ErrName) {
			t.Errorf("%q was read as %+v, %v", path, n, err)
		}
	}
}

// records are what an interval holds, in the order of their numbers.
func records(t *testing.T, e *Encoder, v *metrics.Interval) (all []Sample) {
	t.Helper()
	for i := range e.Records(v) {
		n, x, err := e.record(v, i)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Sample{string(e.Form.Append(nil, n)), x, int64(v.EndTime / time.Second)})
	}
	return all
}

// However it is cut, and wherever it goes on, an interval comes out as its records, each once and in order.
func TestEncodingGoesOnAnywhere(t *testing.T) {
	v := interval()
	for _, pickled := range []bool{false, true} {
		for _, tags := range []bool{false, true} {
			e := &Encoder{Form: Form{Prefix: "w", Tags: tags}, Broker: "n1", Pickle: pickled}
			want := records(t, e, v)
			for from := range want {
				for _, most := range []int{1, 100, 1 << 20} {
					var got []Sample
					for next := from; next < len(want); {
						out, then, err := e.Append(nil, v, next, most)
						if err != nil || then <= next {
							t.Fatalf("from %d to %d: %v", next, then, err)
						}
						got, next = append(got, parse(t, pickled, out)...), then
					}
					if diff := cmp.Diff(want[from:], got); diff != "" {
						t.Fatalf("pickle %v, from %d, %d bytes: %s", pickled, from, most, diff)
					}
				}
			}
		}
	}
}

// parse reads all of b, fed a byte at a time.
func parse(t *testing.T, pickled bool, b []byte) (all []Sample) {
	t.Helper()
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

func TestLinesThatCantBeRead(t *testing.T) {
	for _, c := range []struct {
		line string
		want error
	}{
		{"a 1 2\n", nil}, {"a 1 2\r\n", nil}, {"a 1 2", nil},
		{"\n", ErrMalformed}, {"a 1\n", ErrMalformed}, {"a  1 2\n", ErrMalformed}, {"a NaN 2\n", ErrMalformed},
		{"a inf 2\n", ErrMalformed}, {"a 1 2.5\n", ErrMalformed}, {" 1 2\n", ErrMalformed},
		{string(make([]byte, maxLineBytes+1)), ErrTooLarge},
	} {
		if _, _, err := ParseLine([]byte(c.line)); !errors.Is(err, c.want) {
			t.Errorf("%.20q: %v, want %v", c.line, err, c.want)
		}
	}
	for _, b := range [][]byte{{0xff, 0, 0, 0}, {0, 0, 0, 1, '.'}, {0, 0, 0, 2, 'N', '.'}, {0, 0, 0, 3, ']', 'K', 1}} {
		if _, _, err := ParsePickle(b); err == nil {
			t.Errorf("%v was read", b)
		}
	}
}

// A frame as Python's pickle.dumps([("a.b", (1750000000, 1.5))], protocol=2) writes it.
func TestAPickleOfPythons(t *testing.T) {
	frame := []byte("\x00\x00\x00\x29\x80\x02]q\x00X\x03\x00\x00\x00a.bq\x01J\x80\xe1Nh" + "G?\xf8\x00\x00\x00\x00\x00\x00\x86q\x02\x86q\x03a.")
	frame[3] = byte(len(frame) - 4)
	got, n, err := ParsePickle(frame)
	if err != nil || n != len(frame) {
		t.Fatal(n, err)
	}
	if diff := cmp.Diff([]Sample{{"a.b", 1.5, 1_750_000_000}}, got); diff != "" {
		t.Fatal(diff)
	}
}

func FuzzLine(f *testing.F) {
	f.Add([]byte("wheatlane.n1.answers.lookup.late 3 1750000000\n"))
	f.Add([]byte("w;x=y 1e300 -1\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, n, err := ParseLine(b)
		if n > len(b) || err != nil && n != 0 {
			t.Fatal(n, err)
		}
		if n == 0 {
			return
		}
		line := fmt.Appendf(nil, "%s %v %d\n", s.Path, s.Value, s.At)
		if again, _, err := ParseLine(line); err != nil || again != s {
			t.Fatalf("%q: %+v came back as %+v, %v", b, s, again, err)
		}
	})
}

func FuzzPickle(f *testing.F) {
	e := &Encoder{Broker: "n1", Pickle: true}
	out, _, err := e.Append(nil, interval(), 0, 200)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(out)
	f.Fuzz(func(t *testing.T, b []byte) {
		all, n, err := ParsePickle(b)
		if n > len(b) || err != nil && (n != 0 || len(all) != 0) {
			t.Fatal(n, err)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	v := interval()
	e := &Encoder{Form: Form{Prefix: "wheatlane", Tags: true}, Broker: "n1"}
	b.ReportAllocs()
	var out []byte
	for b.Loop() {
		out, _, _ = e.Append(out[:0], v, 0, 1<<20)
	}
	b.ReportMetric(float64(b.N*e.Records(v))/b.Elapsed().Seconds(), "records/s")
}
