package graphite

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseLineErrors(t *testing.T) {
	for _, tt := range []struct {
		line string
		want error
	}{
		{"a 1 2\n", nil},
		{"a 1 2\r\n", nil},
		{"a 1 2", nil},
		{"\n", ErrMalformed},
		{"a 1\n", ErrMalformed},
		{"a  1 2\n", ErrMalformed},
		{"a NaN 2\n", ErrMalformed},
		{"a inf 2\n", ErrMalformed},
		{"a 1 2.5\n", ErrMalformed},
		{" 1 2\n", ErrMalformed},
		{string(make([]byte, maxLineBytes+1)), ErrTooLarge},
	} {
		t.Run(fmt.Sprintf("%.20q", tt.line), func(t *testing.T) {
			if _, _, err := ParseLine([]byte(tt.line)); !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

func TestParsePickleErrors(t *testing.T) {
	for name, frame := range map[string][]byte{
		"frame too large": {0xff, 0, 0, 0},
		"empty stack":     {0, 0, 0, 1, '.'},
		"not a list":      {0, 0, 0, 2, 'N', '.'},
		"truncated list":  {0, 0, 0, 3, ']', 'K', 1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := ParsePickle(frame); err == nil {
				t.Errorf("malformed frame %v is accepted", frame)
			}
		})
	}
}

// A frame written by Python's pickle.dumps([("a.b", (1750000000, 1.5))], protocol=2) is parsed.
func TestParsePickleWrittenByPython(t *testing.T) {
	frame := []byte("\x00\x00\x00\x29\x80\x02]q\x00X\x03\x00\x00\x00a.bq\x01J\x80\xe1Nh" +
		"G?\xf8\x00\x00\x00\x00\x00\x00\x86q\x02\x86q\x03a.")
	frame[3] = byte(len(frame) - 4)
	got, n, err := ParsePickle(frame)
	if err != nil || n != len(frame) {
		t.Fatalf("got length %d, error %v, want length %d", n, err, len(frame))
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
			t.Fatalf("got length %d, error %v, want at most %d, and 0 with an error", n, err, len(b))
		}
		if n == 0 {
			return
		}
		line := fmt.Appendf(nil, "%s %v %d\n", s.Path, s.Value, s.Timestamp)
		if again, _, err := ParseLine(line); err != nil || again != s {
			t.Fatalf("%q: sample %+v is written and parsed again as %+v, error %v", b, s, again, err)
		}
	})
}

func FuzzPickle(f *testing.F) {
	e := &Encoder{Broker: "n1", Pickle: true}
	out, _, err := e.Append(nil, smallInterval(), 0, 200)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(out)
	f.Fuzz(func(t *testing.T, b []byte) {
		all, n, err := ParsePickle(b)
		if n > len(b) || err != nil && (n != 0 || len(all) != 0) {
			t.Fatalf("got %d samples, length %d, error %v, want length 0 and no samples with an error", len(all), n, err)
		}
	})
}
