package jsontext

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseRecordsPositions(t *testing.T) {
	text := "{\n  \"a\": [1, {\"b\": \"x\"}],\n\t\"c\": null, \"d\":true\n}\n"
	n, duplicates, err := Parse([]byte(text))
	if err != nil || len(duplicates) > 0 {
		t.Fatalf("got error %v, duplicates %+v, want none", err, duplicates)
	}
	for _, c := range []struct {
		path string
		want Position
	}{
		{"", Position{1, 1}},
		{"a", Position{2, 8}},
		{"a 0", Position{2, 9}},
		{"a 1", Position{2, 12}},
		{"a 1 b", Position{2, 18}},
		{"c", Position{3, 7}},
		{"d", Position{3, 17}},
	} {
		if got := n.At(strings.Fields(c.path)...); got == nil || got.Position != c.want {
			t.Errorf("%s: got %+v, want position %v", c.path, got, c.want)
		}
	}
	if n.Members[1].Position != (Position{3, 2}) {
		t.Errorf("key c: got position %v, want line 3, column 2", n.Members[1].Position)
	}
	if n.At("a", "7") != nil || n.At("x", "y") != nil || n.At("c", "z") != nil {
		t.Error("At returns a value for a path that has none")
	}
}

func TestParseRejectsInvalidText(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "1:1: JSON text is truncated"},
		{"{\"a\":", "1:6: JSON text is truncated"},
		{"{\n \"a\": x}", "2:7: invalid character 'x'"},
		{"{} {}", "1:4: unexpected text after the JSON value"},
		{"\xef\xbb\xbf{}", "1:1: unexpected byte order mark"},
		{strings.Repeat("[", 100_000), "nested more than 64 levels deep"},
		{strings.Repeat(`{"a":`, 100_000), "nested more than 64 levels deep"},
		{strings.Repeat(" ", 50<<20), "text must have at most 4194304 bytes, got 52428800"},
		{"[1e999]", "1:2: 1e999 is out of range"},
		{"{\"a\" 1}", "1:6: invalid character '1'"},
	} {
		_, _, err := Parse([]byte(c.text))
		if _, ok := errors.AsType[*SyntaxError](err); !ok || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.20q: %v, want %s", c.text, err, c.want)
		}
	}
}

func TestParseReturnsDuplicateKeys(t *testing.T) {
	n, duplicates, err := Parse([]byte("{\"a\":1,\n\"b\":{\"c\":2,\"c\":3},\"a\":4}"))
	if err != nil || len(duplicates) != 2 {
		t.Fatalf("got duplicates %+v, error %v, want two duplicates", duplicates, err)
	}
	if duplicates[0].Key != "c" || duplicates[1].Position != (Position{2, 19}) {
		t.Errorf("got duplicates %+v, want the first with key c, the second at line 2, column 19", duplicates)
	}
	if first := n.Get("a").NumberOr(0); first != 1 {
		t.Errorf("the value of a is %v, want that of its first occurrence, 1", first)
	}
}

// The tree of any text without duplicate keys has the value that encoding/json decodes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a":[1,2.5,"x",true,null,{"b":{}}]}`))
	f.Add([]byte("[\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, duplicates, err := Parse(b)
		if err != nil {
			return
		}
		d := json.NewDecoder(strings.NewReader(string(b)))
		d.UseNumber()
		var want any
		if err := d.Decode(&want); err != nil {
			t.Fatalf("Parse accepts %q, but encoding/json reports %v", b, err)
		}
		if len(duplicates) == 0 {
			if diff := cmp.Diff(want, n.Any()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
