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
		want                livenessVerdict
	}{
		{"nothing is out", ms(5000), ms(0), never, never, livenessUnchanged},
		{"silent, nothing due yet", ms(1900), ms(0), never, ms(2000), livenessUnchanged},
		{"silent, and due", ms(2100), ms(0), never, ms(2000), livenessSuspected},
		{"due, but heard of late", ms(2100), ms(1700), never, ms(2000), livenessUnchanged},
		{"due, heard just over the silence before", ms(2100), ms(1500), never, ms(2000), livenessSuspected},
		{"asked, and a word came", ms(2200), ms(2150), ms(2100), ms(2000), livenessConfirmed},
		{"asked, no word yet", ms(2300), ms(0), ms(2100), ms(2000), livenessUnchanged},
		{"asked, no word in time", ms(2400), ms(0), ms(2100), ms(2000), livenessLost},
		{"asked, nothing is out any more", ms(2400), ms(0), ms(2100), never, livenessLost},
	} {
		if got := judgeLiveness(c.now, c.heard, c.doubted, c.due); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The first answer due on a connection is the earliest of what is out there, each waited for at least the silence
// that makes a connection doubtful.
func TestDue(t *testing.T) {
	at := time.Unix(1000, 0)
	c := &engineConn{streams: map[string]*stream{
		"a": {startedAt: at, overdueAfter: 3 * time.Second},
		"b": {startedAt: at.Add(time.Second), overdueAfter: silenceThreshold},
	}}
	if diff := cmp.Diff(at.Add(time.Second+silenceThreshold), c.firstOverdueAt()); diff != "" {
		t.Fatal(diff)
	}
	if got := (&engineConn{}).firstOverdueAt(); !got.IsZero() {
		t.Fatalf("nothing out is due at %v", got)
	}
}
