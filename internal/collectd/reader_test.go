package collectd

import (
	"encoding/hex"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// What older senders write: time and interval in whole seconds, and parts of unknown types.
func TestOldTimesAndUnknownParts(t *testing.T) {
	b, err := hex.DecodeString(strings.Join([]string{
		"0000" + "0007" + "6e3100",
		"0001" + "000c" + "0000000000000012",
		"0007" + "000c" + "000000000000000a",
		"0100" + "0008" + "61626300",
		"0006" + "000f" + "0001" + "00" + "0000000000000007",
	}, ""))
	if err != nil {
		t.Fatal(err)
	}
	got, err := (&Reader{}).Parse(b)
	want := []ValueList{{
		Host: "n1", Time: 18 * time.Second, Interval: 10 * time.Second, Values: []Value{{Kind: Counter, Count: 7}},
	}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
}

func TestParseErrors(t *testing.T) {
	for _, tt := range []struct {
		name   string
		packet string
		want   error
	}{
		{"a byte", "00", ErrTruncated},
		{"half a header", "0000", ErrTruncated},
		{"a length below the header's", "00000003", ErrTruncated},
		{"a length beyond the packet", "00000009" + "6e3100", ErrTruncated},
		{"a text without its end", "00000007" + "6e3131", ErrMalformedPart},
		{"an empty text", "00000004", ErrMalformedPart},
		{"a short number", "00080005" + "00", ErrMalformedPart},
		{"a time beyond ours", "0001000c" + "ffffffffffffffff", ErrMalformedPart},
		{"half a count", "00060005" + "00", ErrTruncated},
		{"no values", "00060006" + "0000", ErrMalformedPart},
		{"fewer values than said", "0006000f" + "0002" + "01" + "0000000000000000", ErrMalformedPart},
		{"an unknown data source", "0006000f" + "0001" + "09" + "0000000000000000", ErrMalformedPart},
		{"a short signature", "02000008" + "00000000", ErrMalformedPart},
		{"half a user's length", "02100005" + "00", ErrTruncated},
		{"a user beyond the part", "0210000a" + "ffff" + "00000000", ErrTruncated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, err := hex.DecodeString(tt.packet)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := testReader(Plain).Parse(b); !errors.Is(err, tt.want) {
				t.Errorf("%v, want %v", err, tt.want)
			}
		})
	}
}

func TestAddErrors(t *testing.T) {
	for name, list := range map[string]ValueList{
		"a long host": {Host: strings.Repeat("x", MaxTextBytes+1)},
		"many values": {Values: make([]Value, 200)},
	} {
		t.Run(name, func(t *testing.T) {
			if err := (&Packer{}).Add(list); !errors.Is(err, ErrTooLarge) {
				t.Error(err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	const packable = 100 // values that surely fit a packet
	list := oneValue()
	list.Values = append(list.Values, Value{Kind: Gauge, Gauge: 2})
	for _, l := range testLevels {
		f.Add(pack(f, testSecurity(l), list)[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		lists, _ := testReader(Plain).Parse(b) // what was read before an error counts as well
		for _, l := range lists {
			// What was read can be written, unless its time is beyond what ours can hold.
			if len(l.Values) == 0 || len(l.Values) > packable || l.Time < 0 || l.Interval < 0 {
				continue
			}
			again, err := (&Reader{}).Parse(pack(t, Security{}, l)[0])
			if err != nil || len(again) != 1 || again[0].Host != l.Host || len(again[0].Values) != len(l.Values) {
				t.Fatalf("%+v came back as %+v, %v", l, again, err)
			}
		}
	})
}
