package telemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	figures "wheatlane/internal/metrics"
)

// The figures of the second address are the counts of the registry, in the page's names, from zero.
func TestRelay(t *testing.T) {
	b, err := broker.New(control.Settings{Gateways: 1, Round: 5 * time.Millisecond,
		Classes: []control.Class{{Name: "lookup", Aim: 400 * time.Millisecond, Worth: 1}}}, 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(figures.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, Idle: time.Hour}, 0, 0)
	r.Reloaded(true)
	r.Reloaded(false)
	r.Reloaded(false)
	for _, o := range []broker.Over{{Class: "lookup", Kind: broker.Result}, {Class: "lookup", Kind: broker.Result, Took: time.Second, Wanted: time.Millisecond},
		{Class: "lookup", Kind: broker.Refused}, {Class: "lookup", Kind: broker.Failed}, {Class: "lookup", Gone: true}} {
		r.Over(o)
	}
	r.Sent("lookup")
	got := strings.Split(string(r.Relay(nil, b)), "\n")
	want := []string{
		`relay_transactions_total{group="lookup",state="answered"} 2`,
		`relay_transactions_total{group="lookup",state="deferred"} 1`,
		`relay_transactions_total{group="lookup",state="errored"} 1`,
		"relay_sends_total 1", "relay_current 0", "relay_cluster_size 0", "relay_cluster_unhealthy 0",
		"relay_conf_loaded_total 1", "relay_conf_invalid_total 2", ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
