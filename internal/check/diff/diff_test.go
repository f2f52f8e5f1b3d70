package diff

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/check/faultinjection"
	"wheatlane/internal/jsontext"
)

func parse(t *testing.T, text string) *jsontext.Node {
	t.Helper()
	n, _, err := jsontext.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestDiff(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want []string
	}{
		{`{"a":1,"b":2}`, `{"b":2.0,"a":1e0}`, nil},
		{`{"$made":"x","a":1}`, `{"a":1}`, nil},
		{`{"a":1}`, `{"a":2}`, []string{"~ a: 1 -> 2"}},
		{`{"a":1}`, `{"a":"1"}`, []string{`~ a: 1 -> "1"`}},
		{`{"a":{"b":true}}`, `{"a":{"c":null}}`, []string{"- a.b: true", "+ a.c: null"}},
		{`{"l":[{"Name":"x","v":1},{"Name":"y","v":2}]}`, `{"l":[{"Name":"y","v":3},{"Name":"x","v":1}]}`, []string{`~ l["y"].v: 2 -> 3`}},
		{`{"l":[{"Name":"x"}]}`, `{"l":[{"Name":"z"}]}`, []string{`- l["x"]: {Name: "x", ...}`, `+ l["z"]: {Name: "z", ...}`}},
		{`{"l":[1,2]}`, `{"l":[1,3,4]}`, []string{"~ l[1]: 2 -> 3", "+ l[2]: 4"}},
		{`{"l":[{"Name":"x"},{"Name":"x"}]}`, `{"l":[{"Name":"x"}]}`, []string{`- l[1]: {Name: "x", ...}`}},
		{`[]`, `{}`, []string{"~ : a list of 0 -> an object of 0 keys"}},
	} {
		var got []string
		for _, x := range Diff(parse(t, c.a), parse(t, c.b)) {
			got = append(got, x.String())
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s and %s: %s", c.a, c.b, diff)
		}
	}
}

// A file means the same as itself in whatever form; a fault that is planted in it shows.
func TestFiles(t *testing.T) {
	for seed := range uint64(200) {
		text := func(change bool) string {
			rng := rand.New(rand.NewPCG(seed, 0))
			doc := faultinjection.Platform(rng)
			if change {
				doc["listen"] = "10.99.0.1:6565"
			}
			out, err := json.Marshal(doc) // another form than Text's
			if err != nil {
				t.Fatal(err)
			}
			return string(out)
		}
		pretty, err := faultinjection.Text(faultinjection.Platform(rand.New(rand.NewPCG(seed, 0))))
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(parse(t, string(pretty)), parse(t, text(false))); len(d) > 0 {
			t.Fatalf("seed %d: %v", seed, d)
		}
		if d := Diff(parse(t, string(pretty)), parse(t, text(true))); len(d) != 1 || d[0].Key != "listen" {
			t.Fatalf("seed %d: %v", seed, d)
		}
	}
}
