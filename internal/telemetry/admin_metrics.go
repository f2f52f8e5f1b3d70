package telemetry

import (
	"strconv"
	"strings"

	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// labelEscaper escapes label values for the Prometheus text exposition format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// AppendAdminMetrics appends the metrics of the admin endpoint, one on each line, under the names specified by the
// on-call page: requests by class and state, attempts sent, requests in flight, engines in the endpoint list,
// unavailable engines, and configuration files accepted and rejected at SIGHUP. The values are those that Graphite and
// collectd receive. Requests of classes without series of their own count under group "other".
func (r *Recorder) AppendAdminMetrics(to []byte, reducer *broker.Broker) []byte {
	var sends float64
	r.registry.EachName(metrics.Class, func(class int, name string) {
		sends += r.registry.Value(metrics.Attempts, class, 0)
		to = r.appendRequestCounts(to, class, name)
	})
	to = appendAdminMetric(to, "relay_sends_total", sends)
	to = appendAdminMetric(to, "relay_current", float64(reducer.OpenRequests()))
	to = appendAdminMetric(to, "relay_cluster_size", float64(reducer.EndpointCount()))
	to = appendAdminMetric(to, "relay_cluster_unhealthy", float64(reducer.UnavailableEngines()))
	total := func(id metrics.ID) float64 { return r.registry.Value(id, cardinality.Other, 0) }
	to = appendAdminMetric(to, "relay_conf_loaded_total", total(metrics.ConfigsAccepted))
	return appendAdminMetric(to, "relay_conf_invalid_total", total(metrics.ConfigsRejected))
}

// appendRequestCounts appends the ended requests of a class by state. An empty name stands for all classes without
// series of their own, which are omitted while they have no requests.
func (r *Recorder) appendRequestCounts(to []byte, class int, name string) []byte {
	count := func(outcome int) float64 { return r.registry.Value(metrics.RequestOutcomes, class, outcome) }
	answered := count(metrics.InTime) + count(metrics.Late)
	deferred, errored := count(metrics.Rejected), count(metrics.Failed)
	if name == "" {
		if answered+deferred+errored == 0 {
			return to
		}
		name = cardinality.OtherName
	}
	to = appendRequestCount(to, name, "answered", answered)
	to = appendRequestCount(to, name, "deferred", deferred)
	return appendRequestCount(to, name, "errored", errored)
}

func appendRequestCount(to []byte, group, state string, count float64) []byte {
	label := labelEscaper.Replace(group)
	return appendAdminMetric(to, `relay_transactions_total{group="`+label+`",state="`+state+`"}`, count)
}

func appendAdminMetric(to []byte, name string, value float64) []byte {
	to = append(append(to, name...), ' ')
	to = strconv.AppendFloat(to, value, 'f', -1, 64)
	return append(to, '\n')
}
