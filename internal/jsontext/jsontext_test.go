package jsontext

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlaces(t *testing.T) {
	text := "{\n  \"a\": [1, {\"b\": \"x\"}],\n\t\"c\": null, \"d\":true\n}\n"
	n, twice, err := Parse([]byte(text))
	if err != nil || len(twice) > 0 {
		t.Fatal(err, twice)
	}
	for _, c := range []struct {
		path string
		want Place
	}{{"", Place{1, 1}}, {"a", Place{2, 8}}, {"a 0", Place{2, 9}}, {"a 1", Place{2, 12}}, {"a 1 b", Place{2, 18}},
		{"c", Place{3, 7}}, {"d", Place{3, 17}}} {
		if got := n.At(strings.Fields(c.path)...); got == nil || got.Place != c.want {
			t.Errorf("%s: %+v, want %v", c.path, got, c.want)
		}
	}
	if n.Members[1].Place != (Place{3, 2}) {
		t.Errorf("the key c is at %v", n.Members[1].Place)
	}
	if n.At("a", "7") != nil || n.At("x", "y") != nil || n.At("c", "z") != nil {
		t.Error("something is where nothing is")
	}
}

func TestFaults(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "1:1: the text breaks off"},
		{"{\"a\":", "1:6: the text breaks off"},
		{"{\n \"a\": x}", "2:7: invalid character 'x'"},
		{"{} {}", "1:4: something follows"},
		{"\xef\xbb\xbf{}", "1:1: a byte order mark"},
		{strings.Repeat("[", 100_000), "more than 64 deep"},
		{strings.Repeat(`{"a":`, 100_000), "more than 64 deep"},
		{strings.Repeat(" ", 50<<20), "bytes, 4194304 at most"},
		{"[1e999]", "1:2: 1e999 is beyond"},
		{"{\"a\" 1}", "1:6: invalid character '1'"},
	} {
		_, _, err := Parse([]byte(c.text))
		var e *Error
		if !errors.As(err, &e) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.20q: %v, want %s", c.text, err, c.want)
		}
	}
}

func TestKeysThatComeTwice(t *testing.T) {
	n, twice, err := Parse([]byte("{\"a\":1,\n\"b\":{\"c\":2,\"c\":3},\"a\":4}"))
	if err != nil || len(twice) != 2 || twice[0].Key != "c" || twice[1].Place != (Place{2, 19}) || n.Get("a").Num(0) != 1 {
		t.Fatalf("%+v, %v", twice, err)
	}
}

// A tree is what encoding/json decodes, whatever the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a":[1,2.5,"x",true,null,{"b":{}}]}`))
	f.Add([]byte("[\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, twice, err := Parse(b)
		if err != nil {
			return
		}
		d := json.NewDecoder(strings.NewReader(string(b)))
		d.UseNumber()
		var want any
		if err := d.Decode(&want); err != nil {
			t.Fatalf("%q was read, %v", b, err)
		}
		if len(twice) == 0 {
			if diff := cmp.Diff(want, n.Any()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
