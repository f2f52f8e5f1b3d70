package diff

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/jsontext"
)

func parse(t *testing.T, text []byte) *jsontext.Node {
	t.Helper()
	n, _, err := jsontext.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestDiff(t *testing.T) {
	for _, c := range []struct {
		name, a, b string
		want       []string
	}{
		{"notation and order", `{"a":1,"b":2}`, `{"b":2.0,"a":1e0}`, nil},
		{"ignored key removed", `{"$made":"x","a":1}`, `{"a":1}`, nil},
		{"changed value", `{"a":1}`, `{"a":2}`, []string{"~ a: 1 -> 2"}},
		{"changed type", `{"a":1}`, `{"a":"1"}`, []string{`~ a: 1 -> "1"`}},
		{
			"keys removed and added",
			`{"a":{"b":true}}`,
			`{"a":{"c":null}}`,
			[]string{"- a.b: true", "+ a.c: null"},
		},
		{
			"named items in another order, one changed",
			`{"l":[{"Name":"x","v":1},{"Name":"y","v":2}]}`,
			`{"l":[{"Name":"y","v":3},{"Name":"x","v":1}]}`,
			[]string{`~ l["y"].v: 2 -> 3`},
		},
		{
			"named item replaced",
			`{"l":[{"Name":"x"}]}`,
			`{"l":[{"Name":"z"}]}`,
			[]string{`- l["x"]: {Name: "x", ...}`, `+ l["z"]: {Name: "z", ...}`},
		},
		{
			"items without names are compared by index",
			`{"l":[1,2]}`,
			`{"l":[1,3,4]}`,
			[]string{"~ l[1]: 2 -> 3", "+ l[2]: 4"},
		},
		{
			"items with duplicate names are compared by index",
			`{"l":[{"Name":"x"},{"Name":"x"}]}`,
			`{"l":[{"Name":"x"}]}`,
			[]string{`- l[1]: {Name: "x", ...}`},
		},
		{"changed type of the root", `[]`, `{}`, []string{"~ : a list of 0 -> an object of 0 keys"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, change := range Diff(parse(t, []byte(c.a)), parse(t, []byte(c.b))) {
				got = append(got, change.String())
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// compactConfig returns a generated configuration with a change, encoded without the indentation of Marshal.
func compactConfig(t *testing.T, seed uint64, change func(doc map[string]any)) []byte {
	t.Helper()
	doc := faultinjection.PlatformConfig(rand.New(rand.NewPCG(seed, 0)))
	change(doc)
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Diff reports no changes between two encodings of a generated configuration, and a single change at its key.
func TestDiffOfGeneratedConfigurations(t *testing.T) {
	for seed := range uint64(200) {
		text, err := faultinjection.Marshal(
			faultinjection.PlatformConfig(rand.New(rand.NewPCG(seed, 0))),
		)
		if err != nil {
			t.Fatal(err)
		}
		same := compactConfig(t, seed, func(map[string]any) {})
		if changes := Diff(parse(t, text), parse(t, same)); len(changes) > 0 {
			t.Fatalf("seed %d: got %v, want no changes", seed, changes)
		}
		changed := compactConfig(
			t, seed, func(doc map[string]any) { doc["listen"] = "10.99.0.1:6565" },
		)
		changes := Diff(parse(t, text), parse(t, changed))
		if len(changes) != 1 || changes[0].Key != "listen" {
			t.Fatalf("seed %d: got %v, want one change of listen", seed, changes)
		}
	}
}
