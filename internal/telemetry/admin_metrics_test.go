package telemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/metrics"
)

// The metrics of the admin endpoint have the registry's counts and the names specified by the on-call page. Metrics
// that are zero are included.
func TestAdminMetrics(t *testing.T) {
	class := control.Class{Name: "lookup", LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1}
	settings := control.Settings{
		Brokers: 1, MinBatchInterval: 5 * time.Millisecond, Classes: []control.Class{class},
	}
	b, err := broker.New(settings, 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, IdleTimeout: time.Hour}, 0, 0)
	r.Reloaded(true)
	r.Reloaded(false)
	r.Reloaded(false)
	for _, s := range []broker.RequestSummary{
		{Class: "lookup", Kind: broker.ReplyResult},
		{Class: "lookup", Kind: broker.ReplyResult, Duration: time.Second, Objective: time.Millisecond},
		{Class: "lookup", Kind: broker.ReplyRejected},
		{Class: "lookup", Kind: broker.ReplyFailed},
		{Class: "lookup", Abandoned: true},
	} {
		r.RequestEnded(s)
	}
	r.AttemptStarted("lookup")
	got := strings.Split(string(r.AppendAdminMetrics(nil, b)), "\n")
	want := []string{
		`relay_transactions_total{group="lookup",state="answered"} 2`,
		`relay_transactions_total{group="lookup",state="deferred"} 1`,
		`relay_transactions_total{group="lookup",state="errored"} 1`,
		"relay_sends_total 1",
		"relay_current 0",
		"relay_cluster_size 0",
		"relay_cluster_unhealthy 0",
		"relay_conf_loaded_total 1",
		"relay_conf_invalid_total 2",
		"",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
