package collectd

import (
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

// failer is the part of testing.TB that *rapid.T implements as well.
type failer interface {
	Helper()
	Fatal(args ...any)
}

// pack packs lists into packets, with the same initialization vector for each packet.
func pack(t failer, s Security, lists ...ValueList) [][]byte {
	t.Helper()
	var packets [][]byte
	p := Packer{
		Security: s,
		Random: func(b []byte) error {
			for i := range b {
				b[i] = byte(i * 7)
			}
			return nil
		},
		Emit: func(b []byte) error {
			if len(b) > MaxPacketBytes {
				t.Fatal("packet exceeds MaxPacketBytes: length is", len(b))
			}
			packets = append(packets, b)
			return nil
		},
	}
	for _, l := range lists {
		if err := p.Add(l); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Flush(); err != nil {
		t.Fatal(err)
	}
	return packets
}

// A packet written by hand according to the protocol specification is encoded and parsed.
func TestPacketMatchesTheSpecification(t *testing.T) {
	want := strings.Join([]string{
		"0000" + "0007" + "6e3100", // host n1
		"0002" + "000e" + hex.EncodeToString([]byte("wheatlane\x00")),
		"0003" + "0005" + "00",               // no plugin instance
		"0004" + "0006" + "7400",             // type t
		"0005" + "0005" + "00",               // no type instance
		"0008" + "000c" + "0000000480000000", // 18 s
		"0009" + "000c" + "0000000060000000", // 1.5 s
		"0006" + "0018" + "0002" + "01" + "02" + "000000000000f83f" + "fffffffffffffffe",
		"0004" + "0006" + "7500", // type u; unchanged parts are omitted
		"0006" + "000f" + "0001" + "03" + "0000000000000007",
	}, "")
	first := ValueList{
		Host: "n1", Plugin: "wheatlane", Type: "t", Time: 18 * time.Second, Interval: 1500 * time.Millisecond,
		Values: []Value{{Kind: Gauge, Gauge: 1.5}, {Kind: Derive, Count: -2}},
	}
	second := first
	second.Type, second.Values = "u", []Value{{Kind: Absolute, Count: 7}}
	packets := pack(t, Security{}, first, second)
	if len(packets) != 1 || hex.EncodeToString(packets[0]) != want {
		t.Fatalf("got packets %x, want %s", packets, want)
	}
	got, err := (&Reader{}).Parse(packets[0])
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]ValueList{first, second}, got); diff != "" {
		t.Fatal(diff)
	}
}

// drawList draws a random list, or one that differs from the previous list only in its values.
func drawList(t *rapid.T, previous []ValueList) ValueList {
	text := rapid.StringN(0, 20, MaxTextBytes).Filter(func(s string) bool { return !strings.Contains(s, "\x00") })
	l := ValueList{
		Host: text.Draw(t, "host"), Plugin: text.Draw(t, "plugin"), PluginInstance: text.Draw(t, "instance"),
		Type: text.Draw(t, "type"), TypeInstance: text.Draw(t, "type instance"),
		Time:     time.Duration(rapid.Int64Range(0, 1<<33).Draw(t, "time")) * time.Second,
		Interval: time.Duration(rapid.Int64Range(0, 1<<20).Draw(t, "interval")) * time.Millisecond,
	}
	if len(previous) > 0 && rapid.Bool().Draw(t, "as before") {
		l = previous[len(previous)-1]
		l.Values = nil
	}
	for range rapid.IntRange(1, 7).Draw(t, "values") {
		v := Value{Kind: Kind(rapid.IntRange(0, 3).Draw(t, "kind"))}
		if v.Kind == Gauge {
			v.Gauge = rapid.Float64().Draw(t, "gauge")
		} else {
			v.Count = rapid.Int64().Draw(t, "count")
		}
		l.Values = append(l.Values, v)
	}
	return l
}

// Lists are parsed back from packets at each security level, and no packet exceeds the maximum length.
func TestPackedListsAreParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "lists")
		lists := make([]ValueList, 0, count)
		for range count {
			lists = append(lists, drawList(t, lists))
		}
		level := rapid.SampledFrom(testLevels).Draw(t, "level")
		var got []ValueList
		for _, p := range pack(t, testSecurity(level), lists...) {
			some, err := testReader(level).Parse(p)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, some...)
		}
		if diff := cmp.Diff(lists, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func BenchmarkPack(b *testing.B) {
	limits := metrics.Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, IdleTimeout: time.Hour}
	r := metrics.NewRegistry(limits, 0, 0)
	for i := range 32 {
		slot := r.Slot(metrics.Engine, string(rune('a'+i)))
		r.Observe(metrics.EngineTime, slot, float64(i))
		for part := range 8 {
			r.Add(metrics.AttemptEnds, slot, part, 1)
		}
	}
	v := r.EndInterval(time.Hour, time.Second)
	for _, l := range testLevels {
		b.Run([]string{"plain", "sign", "encrypt"}[l], func(b *testing.B) {
			packets := 0
			p := Packer{
				Security: testSecurity(l),
				Random:   func([]byte) error { return nil },
				Emit:     func([]byte) error { packets++; return nil },
			}
			for b.Loop() {
				if err := EachValueList(v, "n1", p.Add); err != nil {
					b.Fatal(err)
				}
				if err := p.Flush(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(packets)/b.Elapsed().Seconds(), "packets/s")
		})
	}
}
