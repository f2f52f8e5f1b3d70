package resp

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want []string
		err  error
	}{
		"answer":             {"*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n", []string{"7", "OK", "-", ""}, nil},
		"body with ends":     {"*1\r\n$6\r\na\r\nb\r\n\r\n", []string{"a\r\nb\r\n"}, nil},
		"no array":           {"+OK\r\n", nil, ErrMalformed},
		"no bulk":            {"*1\r\n:1\r\n", nil, ErrMalformed},
		"null":               {"*1\r\n$-1\r\n", nil, ErrMalformed},
		"no digits":          {"*\r\n", nil, ErrMalformed},
		"length without end": {"*1111111111111", nil, ErrMalformed},
		"too many parts":     {"*9\r\n", nil, ErrTooLarge},
		"too long":           {"*1\r\n$65537\r\n", nil, ErrTooLarge},
		"wrong length":       {"*1\r\n$1\r\nabc\r\n", nil, ErrMalformed},
		"too long in all":    {"*2\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n$60000\r\n", nil, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range min(len(c.in), 64) { // a part of it is not whole, or wrong already
				if _, n, err := Parse([]byte(c.in[:cut])); n != 0 || err != nil && !errors.Is(err, c.err) {
					t.Fatalf("cut at %d: %d bytes, %v", cut, n, err)
				}
			}
			parts, n, err := Parse([]byte(c.in + "*1"[:min(2, 2*len(c.want))]))
			if !errors.Is(err, c.err) {
				t.Fatalf("got %v, want %v", err, c.err)
			}
			var got []string
			for _, p := range parts {
				got = append(got, string(p))
			}
			if diff := cmp.Diff(c.want, got); diff != "" || err == nil && n != len(c.in) {
				t.Fatalf("%d bytes of %d\n%s", n, len(c.in), diff)
			}
			if back := Append(nil, got...); err == nil && string(back) != c.in {
				t.Fatalf("written again: %q", back)
			}
		})
	}
}

func TestParseAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		parts []string
		want  Answer
		bad   bool
	}{
		"ok": {[]string{"7", "OK", "sheets=3,toil=12.5,room=96,new=1,l=queue:1;x1:0.5", "a\tb\tc\n"},
			Answer{RequestID: "7", Word: OK, PageCount: 3, WorkMS: 12.5, MemoryMB: 96, Load: "queue:1;x1:0.5", Body: []byte("a\tb\tc\n")}, false},
		"page":       {[]string{"7", "ROWS", "sheet=2", "x"}, Answer{RequestID: "7", Word: Rows, PageCount: 1, Page: 2, Body: []byte("x")}, false},
		"no fields":  {[]string{"7", "VOID", "-"}, Answer{RequestID: "7", Word: Void, PageCount: 1}, false},
		"short":      {[]string{"7", "BUSY"}, Answer{RequestID: "7", Word: Busy, PageCount: 1}, false},
		"one part":   {[]string{"7"}, Answer{}, true},
		"odd word":   {[]string{"7", "WHAT", "-", ""}, Answer{}, true},
		"odd field":  {[]string{"7", "OK", "sheets", ""}, Answer{}, true},
		"odd number": {[]string{"7", "OK", "sheets=x", ""}, Answer{}, true},
		// Guards against figures that would spoil for good whatever is learned from them.
		"no number":        {[]string{"7", "OK", "sheets=1,toil=NaN", ""}, Answer{}, true},
		"work without end": {[]string{"7", "OK", "sheets=1,toil=+Inf", ""}, Answer{}, true},
		"negative memory":  {[]string{"7", "OK", "sheets=1,room=-1", ""}, Answer{}, true},
	} {
		var parts [][]byte
		for _, p := range c.parts {
			parts = append(parts, []byte(p))
		}
		got, err := ParseAnswer(parts)
		if c.bad != errors.Is(err, ErrMalformed) || !c.bad && !cmp.Equal(c.want, got) {
			t.Errorf("%s: %v\n%s", name, err, cmp.Diff(c.want, got))
		}
	}
}

func TestReport(t *testing.T) {
	names := []string{"queue", "x1"}
	for load, want := range map[string][]float64{
		"queue:2;x1:0.5": {2, 0.5}, "x1:0.5;new:9;queue:2": {2, 0.5}, "queue:2": nil, "queue:2;x1:?": nil, "": nil,
		"queue:NaN;x1:0.5": nil, "queue:2;x1:-1": nil, "queue:2;x1:1e300": nil,
	} {
		if diff := cmp.Diff(want, Report(load, names)); diff != "" {
			t.Errorf("%q: %s", load, diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if parts, _, err := Parse(b); err == nil {
			ParseAnswer(parts)
		}
	})
}
