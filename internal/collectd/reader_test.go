package collectd

import (
	"encoding/hex"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Packets of older senders have times in whole seconds, and packets may contain parts of unknown types.
func TestWholeSecondTimesAndUnknownPartsAreParsed(t *testing.T) {
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
		{"one byte", "00", ErrTruncated},
		{"truncated header", "0000", ErrTruncated},
		{"length below the header's", "00000003", ErrTruncated},
		{"length beyond the packet", "00000009" + "6e3100", ErrTruncated},
		{"unterminated text", "00000007" + "6e3131", ErrMalformedPart},
		{"empty text", "00000004", ErrMalformedPart},
		{"short number", "00080005" + "00", ErrMalformedPart},
		{"time out of range", "0001000c" + "ffffffffffffffff", ErrMalformedPart},
		{"truncated count", "00060005" + "00", ErrTruncated},
		{"no values", "00060006" + "0000", ErrMalformedPart},
		{"fewer values than the count", "0006000f" + "0002" + "01" + "0000000000000000", ErrMalformedPart},
		{"unknown data source type", "0006000f" + "0001" + "09" + "0000000000000000", ErrMalformedPart},
		{"short signature", "02000008" + "00000000", ErrMalformedPart},
		{"truncated user length", "02100005" + "00", ErrTruncated},
		{"user beyond the part", "0210000a" + "ffff" + "00000000", ErrTruncated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, err := hex.DecodeString(tt.packet)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := testReader(Plain).Parse(b); !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

func TestAddErrors(t *testing.T) {
	for name, list := range map[string]ValueList{
		"host too long":   {Host: strings.Repeat("x", MaxTextBytes+1)},
		"too many values": {Values: make([]Value, 200)},
	} {
		t.Run(name, func(t *testing.T) {
			if err := (&Packer{}).Add(list); !errors.Is(err, ErrTooLarge) {
				t.Errorf("got error %v, want %v", err, ErrTooLarge)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	const packable = 100 // number of values that always fits a packet
	list := oneValue()
	list.Values = append(list.Values, Value{Kind: Gauge, Gauge: 2})
	for _, l := range testLevels {
		f.Add(pack(f, testSecurity(l), list)[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		lists, _ := testReader(Plain).Parse(b) // lists before an error are checked as well
		for _, l := range lists {
			// Lists that were parsed can be packed, unless they are too large or time.Duration overflowed.
			if len(l.Values) == 0 || len(l.Values) > packable || l.Time < 0 || l.Interval < 0 {
				continue
			}
			again, err := (&Reader{}).Parse(pack(t, Security{}, l)[0])
			if err != nil || len(again) != 1 || again[0].Host != l.Host || len(again[0].Values) != len(l.Values) {
				t.Fatalf("%+v is packed and parsed again as %+v, error %v", l, again, err)
			}
		}
	})
}
