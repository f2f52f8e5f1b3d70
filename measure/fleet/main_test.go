package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/usage"
)

// The fleet command must keep reading logs of earlier versions, whose usage line has another message and other field
// names, and skip all other lines.
func TestSumLogAddsCurrentAndEarlierVersions(t *testing.T) {
	t.Parallel()
	log := strings.Join([]string{
		`12.5 {"msg":"fleet usage","requests":10,"first_attempts":9,"retries":2,"rejections":1,"load_probes":4,` +
			`"liveness_probes":3,"dials":5,"polls":6,"gossip_sent":7}`,
		`{"msg":"costs","taken":100,"first":90,"further":20,"refused":10,"probes":40,"doubts":30,"dials":50,` +
			`"polls":60,"tells":70}`,
		`{"msg":"connection ended","dials":1}`,
		`not a line of JSON`,
	}, "\n")
	total, lines, err := sumLog(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if lines != 2 {
		t.Errorf("%d lines with counters, want 2", lines)
	}
	want := usage.Counters{
		Requests: 110, FirstAttempts: 99, Retries: 22, Rejections: 11, LoadProbes: 44, LivenessProbes: 33,
		Dials: 55, EndpointPolls: 66, GossipSent: 77,
	}
	if diff := cmp.Diff(want, total); diff != "" {
		t.Errorf("total differs (-want +got):\n%s", diff)
	}
}
