package server

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A connection is asked whether it is alive only once an answer on it is due and nothing came for long; a long
// query that is out costs its engine no probe while its answer is not due. Guards against the probe that every
// broker of a fleet sent every half second on each connection with a route report out.
func TestJudgement(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	var never time.Time
	for _, c := range []struct {
		name                string
		now, heard, doubted time.Time
		due                 time.Time
		want                verdict
	}{
		{"nothing is out", ms(5000), ms(0), never, never, keep},
		{"silent, nothing due yet", ms(1900), ms(0), never, ms(2000), keep},
		{"silent, and due", ms(2100), ms(0), never, ms(2000), doubt},
		{"due, but heard of late", ms(2100), ms(1700), never, ms(2000), keep},
		{"due, heard just over the silence before", ms(2100), ms(1500), never, ms(2000), doubt},
		{"asked, and a word came", ms(2200), ms(2150), ms(2100), ms(2000), trust},
		{"asked, no word yet", ms(2300), ms(0), ms(2100), ms(2000), keep},
		{"asked, no word in time", ms(2400), ms(0), ms(2100), ms(2000), retire},
		{"asked, nothing is out any more", ms(2400), ms(0), ms(2100), never, retire},
	} {
		if got := judgement(c.now, c.heard, c.doubted, c.due); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The first answer due on a connection is the earliest of what is out there, each waited for at least the silence
// that makes a connection doubtful.
func TestDue(t *testing.T) {
	at := time.Unix(1000, 0)
	c := &upstream{streams: map[string]*stream{
		"a": {at: at, due: 3 * time.Second},
		"b": {at: at.Add(time.Second), due: silentFor},
	}}
	if diff := cmp.Diff(at.Add(time.Second+silentFor), c.due()); diff != "" {
		t.Fatal(diff)
	}
	if got := (&upstream{}).due(); !got.IsZero() {
		t.Fatalf("nothing out is due at %v", got)
	}
}
