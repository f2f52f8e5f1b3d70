package telemetry

import (
	"strconv"
	"strings"

	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// labelEscaper escapes a label value of the text exposition format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// AppendAdminMetrics appends the figures of the admin endpoint, one a line, under the names that the on-call page
// gives: requests by class and state, attempts sent, requests in flight, the engines of the endpoint list and
// those avoided, and the configuration files accepted and rejected at SIGHUP. They come from the counts that
// Graphite and collectd get as well. Requests of a class without series of its own count under group "other".
func (r *Recorder) AppendAdminMetrics(to []byte, reducer *broker.Broker) []byte {
	var sends float64
	r.registry.EachName(metrics.Class, func(class int, name string) {
		sends += r.registry.Value(metrics.Attempts, class, 0)
		to = r.appendTransactions(to, class, name)
	})
	to = appendRelayFigure(to, "relay_sends_total", sends)
	to = appendRelayFigure(to, "relay_current", float64(reducer.OpenRequests()))
	to = appendRelayFigure(to, "relay_cluster_size", float64(reducer.EndpointCount()))
	to = appendRelayFigure(to, "relay_cluster_unhealthy", float64(reducer.UnavailableEngines()))
	total := func(id metrics.ID) float64 { return r.registry.Value(id, cardinality.Other, 0) }
	to = appendRelayFigure(to, "relay_conf_loaded_total", total(metrics.ConfLoaded))
	return appendRelayFigure(to, "relay_conf_invalid_total", total(metrics.ConfInvalid))
}

// appendTransactions appends the ended requests of a class by state. The class without a name is that of all
// others; it is left out while it has none.
func (r *Recorder) appendTransactions(to []byte, class int, name string) []byte {
	answers := func(outcome int) float64 { return r.registry.Value(metrics.RequestOutcomes, class, outcome) }
	answered := answers(metrics.InTime) + answers(metrics.Late)
	deferred, errored := answers(metrics.Rejected), answers(metrics.Failed)
	if name == "" {
		if answered+deferred+errored == 0 {
			return to
		}
		name = cardinality.OtherName
	}
	to = appendTransactionCount(to, name, "answered", answered)
	to = appendTransactionCount(to, name, "deferred", deferred)
	return appendTransactionCount(to, name, "errored", errored)
}

func appendTransactionCount(to []byte, group, state string, count float64) []byte {
	label := labelEscaper.Replace(group)
	return appendRelayFigure(to, `relay_transactions_total{group="`+label+`",state="`+state+`"}`, count)
}

func appendRelayFigure(to []byte, name string, value float64) []byte {
	to = append(append(to, name...), ' ')
	to = strconv.AppendFloat(to, value, 'f', -1, 64)
	return append(to, '\n')
}
