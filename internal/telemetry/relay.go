package telemetry

import (
	"strconv"
	"strings"

	"wheatlane/internal/broker"
	"wheatlane/internal/cardinality"
	figures "wheatlane/internal/metrics"
)

// labelValue escapes a value of a label as the text exposition form has it.
var labelValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// RelayFigures appends the figures of the operator's second address, a line each in the names that on-call staff read:
// requests by class and state, attempts sent, requests open, the engines of the list and those avoided, and the
// files taken and turned down at SIGHUP. They are read from the same counts that Graphite and collectd are told of.
// Requests of a class that has no series of its own count under group "other".
func (r *Recorder) RelayFigures(to []byte, b *broker.Broker) []byte {
	var sends float64
	r.registry.EachName(figures.Class, func(slot int, name string) {
		sends += r.registry.Value(figures.Attempts, slot, 0)
		states := [...]struct {
			state string
			n     float64
		}{
			{"answered", r.registry.Value(figures.Answers, slot, figures.InTime) + r.registry.Value(figures.Answers, slot, figures.Late)},
			{"deferred", r.registry.Value(figures.Answers, slot, figures.Rejected)},
			{"errored", r.registry.Value(figures.Answers, slot, figures.Failed)},
		}
		if name == "" {
			if states[0].n+states[1].n+states[2].n == 0 {
				return
			}
			name = "other"
		}
		for _, s := range states {
			to = append(to, `relay_transactions_total{group="`...)
			to = append(to, labelValue.Replace(name)...)
			to = append(to, `",state="`...)
			to = append(to, s.state...)
			to = append(to, `"} `...)
			to = strconv.AppendFloat(to, s.n, 'f', -1, 64)
			to = append(to, '\n')
		}
	})
	for _, f := range [...]struct {
		name string
		v    float64
	}{
		{"relay_sends_total", sends},
		{"relay_current", float64(b.OpenRequests())},
		{"relay_cluster_size", float64(b.EndpointCount())},
		{"relay_cluster_unhealthy", float64(b.UnavailableEngines())},
		{"relay_conf_loaded_total", r.registry.Value(figures.ConfLoaded, cardinality.Other, 0)},
		{"relay_conf_invalid_total", r.registry.Value(figures.ConfInvalid, cardinality.Other, 0)},
	} {
		to = append(append(to, f.name...), ' ')
		to = strconv.AppendFloat(to, f.v, 'f', -1, 64)
		to = append(to, '\n')
	}
	return to
}

// Reloaded counts a configuration file read at SIGHUP, taken or turned down.
func (r *Recorder) Reloaded(taken bool) {
	if taken {
		r.registry.Add(figures.ConfLoaded, cardinality.Other, 0, 1)
	} else {
		r.registry.Add(figures.ConfInvalid, cardinality.Other, 0, 1)
	}
}
