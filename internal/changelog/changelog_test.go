package changelog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

// pageWithHealth is the format of a page with an event of another kind and a snapshot of one engine, whose health is
// the argument.
const pageWithHealth = `{"seq":43,"results":[
	{"seq":41,"fleet":{"seq":7,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.9:6565",
		"site":"east","class":"std","block":2,"health":"%s","share":4,"born_ms":1500}]}},
	{"seq":42,"other":{}}]}`

func TestParsePage(t *testing.T) {
	want := Page{Revision: 43, Changes: []Change{{
		Revision: 41, Snapshot: true,
		Endpoints: []Endpoint{{Addr: "10.1.0.9:6565", Engine: control.Engine{
			ID: "s-1", Zone: "east", Kind: "std", Cell: 2, State: control.Draining, StartedAt: 1500 * time.Millisecond,
		}}},
	}}}
	got, err := ParsePage(fmt.Appendf(nil, pageWithHealth, "terminating"))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatalf("error %v, page (-want +got):\n%s", err, diff)
	}
}

func TestParsePageErrorNamesInvalidKey(t *testing.T) {
	for name, c := range map[string]struct{ text, key string }{
		"unknown state": {fmt.Sprintf(pageWithHealth, "ill"), "results[0].fleet.hosts[0].health"},
		"no id":         {`{"results":[{"fleet":{"hosts":[{"health":"in_service"}]}}]}`, "hosts[0].host"},
		"no address": {
			`{"results":[{"fleet":{"hosts":[{"host":"a","health":"in_service"}]}}]}`, "hosts[0].dial",
		},
		"wrong type": {`{"results":7}`, "results"},
		// A page without its events must not advance the revision, which would lose them.
		"no events":   {`{"seq":43}`, "results: required key is missing"},
		"events null": {`{"seq":43,"results":null}`, "results: required key is missing"},
		// A snapshot without its engines must not remove all of them.
		"no engines": {
			`{"seq":43,"results":[{"seq":43,"fleet":{"whole":true}}]}`,
			"results[0].fleet.hosts: required key is missing",
		},
		"not JSON": {`{`, "page"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParsePage([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.key) {
				t.Errorf("got error %v, want one that names %q", err, c.key)
			}
		})
	}
}
