package collectd

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

// A packet by hand, after the published layout.
func TestAPacketByHand(t *testing.T) {
	want := strings.Join([]string{
		"0000" + "0007" + "6e3100", // host n1
		"0002" + "000e" + hex.EncodeToString([]byte("wheatlane\x00")),
		"0003" + "0005" + "00",               // no plugin instance
		"0004" + "0006" + "7400",             // type t
		"0005" + "0005" + "00",               // no type instance
		"0008" + "000c" + "0000000480000000", // 18 s
		"0009" + "000c" + "0000000060000000", // 1.5 s
		"0006" + "0018" + "0002" + "01" + "02" + "000000000000f83f" + "fffffffffffffffe",
		"0004" + "0006" + "7500", // only what differs
		"0006" + "000f" + "0001" + "03" + "0000000000000007",
	}, "")
	lists := []List{
		{Host: "n1", Plugin: "wheatlane", Type: "t", Time: 18 * time.Second, Interval: 1500 * time.Millisecond,
			Values: []Value{{Kind: Gauge, Gauge: 1.5}, {Kind: Derive, Count: -2}}},
		{Host: "n1", Plugin: "wheatlane", Type: "u", Time: 18 * time.Second, Interval: 1500 * time.Millisecond,
			Values: []Value{{Kind: Absolute, Count: 7}}},
	}
	packets := pack(t, Security{}, lists...)
	if len(packets) != 1 || hex.EncodeToString(packets[0]) != want {
		t.Fatalf("%x, want %s", packets, want)
	}
	got, err := (&Reader{}).Parse(packets[0])
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(lists, got); diff != "" {
		t.Fatal(diff)
	}
}

// What older senders write: time and interval in whole seconds, and parts that are not known here.
func TestOldTimesAndUnknownParts(t *testing.T) {
	b, err := hex.DecodeString("0000" + "0007" + "6e3100" + "0001" + "000c" + "0000000000000012" + "0007" + "000c" + "000000000000000a" +
		"0100" + "0008" + "61626300" + "0006" + "000f" + "0001" + "00" + "0000000000000007")
	if err != nil {
		t.Fatal(err)
	}
	got, err := (&Reader{}).Parse(b)
	want := []List{{Host: "n1", Time: 18 * time.Second, Interval: 10 * time.Second, Values: []Value{{Kind: Counter, Count: 7}}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
}

func pack(t interface{ Fatal(...any) }, s Security, lists ...List) (packets [][]byte) {
	p := Packer{Security: s, Random: func(b []byte) error {
		for i := range b {
			b[i] = byte(i * 7)
		}
		return nil
	}, Emit: func(b []byte) error {
		if len(b) > MaxPacket {
			t.Fatal("a packet of", len(b))
		}
		packets = append(packets, b)
		return nil
	}}
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

var levels = []Level{Plain, Sign, Encrypt}

func security(l Level) Security { return Security{Level: l, User: "chart", Password: "grønt lys"} }

func reader(l Level) *Reader {
	return &Reader{Demand: l, Passwords: func(u string) (string, bool) { return "grønt lys", u == "chart" }}
}

// Whatever is packed comes back, under each kind of security, in packets that a network takes.
func TestWhatIsPackedComesBack(t *testing.T) {
	text := rapid.StringN(0, 20, MaxText).Filter(func(s string) bool { return !strings.Contains(s, "\x00") })
	rapid.Check(t, func(t *rapid.T) {
		var lists []List
		for range rapid.IntRange(1, 60).Draw(t, "lists") {
			l := List{Host: text.Draw(t, "host"), Plugin: text.Draw(t, "plugin"), PluginInstance: text.Draw(t, "instance"),
				Type: text.Draw(t, "type"), TypeInstance: text.Draw(t, "type instance"),
				Time:     time.Duration(rapid.Int64Range(0, 1<<33).Draw(t, "time")) * time.Second,
				Interval: time.Duration(rapid.Int64Range(0, 1<<20).Draw(t, "interval")) * time.Millisecond}
			if len(lists) > 0 && rapid.Bool().Draw(t, "as before") {
				l = lists[len(lists)-1]
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
			lists = append(lists, l)
		}
		level := rapid.SampledFrom(levels).Draw(t, "level")
		var got []List
		for _, p := range pack(t, security(level), lists...) {
			some, err := reader(level).Parse(p)
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

// A collector that demands a level takes that and higher ones; a byte changed anywhere in what is guarded is noticed.
func TestSecurity(t *testing.T) {
	list := List{Host: "n1", Plugin: "wheatlane", Type: "t", Time: time.Hour, Values: []Value{{Kind: Derive, Count: 1}}}
	for _, sent := range levels {
		packet := pack(t, security(sent), list)[0]
		for _, demanded := range levels {
			got, err := reader(demanded).Parse(packet)
			if sent >= demanded && (err != nil || len(got) != 1) {
				t.Errorf("level %d where %d is demanded: %v", sent, demanded, err)
			}
			if sent < demanded && (!errors.Is(err, ErrSecurity) || len(got) != 0) {
				t.Errorf("level %d where %d is demanded: %v, %v", sent, demanded, got, err)
			}
		}
		if sent == Plain {
			continue
		}
		if bytes.Contains(packet, []byte("wheatlane")) != (sent == Sign) {
			t.Errorf("level %d: what is in the packet can be read, or not", sent)
		}
		for i := range packet {
			bad := bytes.Clone(packet)
			bad[i] ^= 0x40
			if got, err := reader(sent).Parse(bad); err == nil || len(got) != 0 {
				t.Errorf("level %d: byte %d changed: %v, %v", sent, i, got, err)
			}
		}
		stranger := &Reader{Passwords: func(string) (string, bool) { return "", false }}
		if _, err := stranger.Parse(packet); !errors.Is(err, ErrUser) {
			t.Errorf("level %d: an unknown user: %v", sent, err)
		}
	}
}

func TestPacketsThatCantBeRead(t *testing.T) {
	for _, c := range []struct {
		packet string
		want   error
	}{
		{"00", ErrTruncated}, {"0000", ErrTruncated}, {"00000003", ErrTruncated}, {"00000009" + "6e3100", ErrTruncated},
		{"00000007" + "6e3131", ErrPart}, {"00000004", ErrPart}, {"00080005" + "00", ErrPart},
		{"0001000c" + "ffffffffffffffff", ErrPart}, {"00060005" + "00", ErrTruncated}, {"00060006" + "0000", ErrPart},
		{"0006000f" + "0002" + "01" + "0000000000000000", ErrPart}, {"0006000f" + "0001" + "09" + "0000000000000000", ErrPart},
		{"02000008" + "00000000", ErrPart}, {"02100005" + "00", ErrTruncated}, {"0210000a" + "ffff" + "00000000", ErrTruncated},
	} {
		b, err := hex.DecodeString(c.packet)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reader(Plain).Parse(b); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.packet, err, c.want)
		}
	}
	if err := (&Packer{}).Add(List{Host: strings.Repeat("x", MaxText+1)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a long host: %v", err)
	}
	if err := (&Packer{}).Add(List{Values: make([]Value, 200)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("many values: %v", err)
	}
}

// Each figure, under each name it can have, is read as what it was.
func TestFiguresAreOneToOne(t *testing.T) {
	r := metrics.NewRegistry(metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, Idle: time.Hour}, 0, 0)
	long := strings.Repeat(".", 30)
	for _, name := range []string{"lookup", "other", long, "a-b"} {
		slot := r.Slot(metrics.Class, name)
		r.Add(metrics.Answers, slot, metrics.Late, 3)
		r.Observe(metrics.AnswerTime, slot, 12.5)
		r.Add(metrics.RequestsByDataSet, r.Slot(metrics.DataSet, name), 0, 2)
	}
	r.Add(metrics.Wasted, 0, 0, 2.5)
	v := r.Cut(1_750_000_000*time.Second, 10*time.Second)
	got := map[metrics.Series][]Value{}
	err := Lists(v, "n.1", func(l List) error {
		for _, p := range pack(t, Security{}, l) {
			lists, err := (&Reader{}).Parse(p)
			if err != nil {
				return err
			}
			broker, s, err := Figure(lists[0])
			if err != nil || broker != "n.1" {
				t.Errorf("%+v: %q, %v", l, broker, err)
			}
			got[s] = lists[0].Values
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(v.Points)+len(v.Distributions) {
		t.Errorf("%d series of %d", len(got), len(v.Points)+len(v.Distributions))
	}
	for _, p := range v.Points {
		want := Value{Kind: Gauge, Gauge: p.Value}
		if metrics.Catalogue[p.Figure].Kind == metrics.Counter {
			want = Value{Kind: Derive, Count: int64(p.Value)}
		}
		if diff := cmp.Diff([]Value{want}, got[p.Series]); diff != "" {
			t.Errorf("%+v: %s", p.Series, diff)
		}
	}
	good := List{Host: "n1", Plugin: "wheatlane", PluginInstance: "class-lookup", Type: "wheatlane_answers", TypeInstance: "late",
		Values: []Value{{Kind: Derive}}}
	if _, _, err := Figure(good); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*List){
		"host": func(l *List) { l.Host = "n.1" }, "plugin": func(l *List) { l.Plugin = "cpu" }, "type": func(l *List) { l.Type = "load" },
		"dimension": func(l *List) { l.PluginInstance = "tenant-lookup" }, "name": func(l *List) { l.PluginInstance = "class-a.b" },
		"detail": func(l *List) { l.TypeInstance = "tardy" }, "kind": func(l *List) { l.Values[0].Kind = Gauge },
		"count": func(l *List) { l.Values = append(l.Values, Value{Kind: Derive}) },
	} {
		bad := good
		bad.Values = []Value{{Kind: Derive}}
		spoil(&bad)
		if _, s, err := Figure(bad); !errors.Is(err, ErrName) {
			t.Errorf("%s: read as %+v, %v", name, s, err)
		}
	}
}

// The file that operators give collectd is the one that the program prints.
func TestTypesDB(t *testing.T) {
	file, err := os.ReadFile("../../deploy/types.db")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(TypesDB(), string(file)); diff != "" {
		t.Fatalf("deploy/types.db is not what 'wheatlane metrics types' prints: %s", diff)
	}
}

func FuzzParse(f *testing.F) {
	list := List{Host: "n1", Plugin: "wheatlane", Type: "t", Time: time.Hour, Values: []Value{{Kind: Derive, Count: 1}, {Kind: Gauge, Gauge: 2}}}
	for _, l := range levels {
		f.Add(pack(f, security(l), list)[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		lists, _ := reader(Plain).Parse(b)
		for _, l := range lists {
			if len(l.Values) == 0 || len(l.Values) > 200 {
				continue // more than we write
			}
			// What was read can be written, unless its time is beyond what ours can hold.
			if l.Time < 0 || l.Interval < 0 || len(l.Values) > 100 {
				continue
			}
			again, err := (&Reader{}).Parse(pack(t, Security{}, l)[0])
			if err != nil || len(again) != 1 || again[0].Host != l.Host || len(again[0].Values) != len(l.Values) {
				t.Fatalf("%+v came back as %+v, %v", l, again, err)
			}
		}
	})
}

func BenchmarkPack(b *testing.B) {
	r := metrics.NewRegistry(metrics.Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, Idle: time.Hour}, 0, 0)
	for i := range 32 {
		slot := r.Slot(metrics.Engine, string(rune('a'+i)))
		r.Observe(metrics.EngineTime, slot, float64(i))
		for part := range 8 {
			r.Add(metrics.AttemptEnds, slot, part, 1)
		}
	}
	v := r.Cut(time.Hour, time.Second)
	for _, l := range levels {
		b.Run([]string{"plain", "sign", "encrypt"}[l], func(b *testing.B) {
			packets := 0
			p := Packer{Security: security(l), Random: func([]byte) error { return nil }, Emit: func([]byte) error { packets++; return nil }}
			for b.Loop() {
				if err := Lists(v, "n1", p.Add); err != nil {
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
