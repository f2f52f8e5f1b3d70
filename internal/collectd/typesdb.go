package collectd

import (
	"fmt"
	"strings"

	"wheatlane/internal/metrics"
)

// dataSource is one value of a type.
type dataSource struct {
	name string
	kind Kind
}

// dataSourceTypes are the names of the kinds in types.db.
var dataSourceTypes = map[Kind]string{
	Counter:  "COUNTER",
	Gauge:    "GAUGE",
	Derive:   "DERIVE",
	Absolute: "ABSOLUTE",
}

// dataSources returns the data sources of the collectd type of a metric.
func dataSources(k metrics.Kind) []dataSource {
	switch k {
	case metrics.Counter:
		return []dataSource{{"value", Derive}}
	case metrics.Gauge:
		return []dataSource{{"value", Gauge}}
	case metrics.DistributionKind:
	}
	all := make([]dataSource, 0, len(metrics.StatNames))
	for _, stat := range metrics.StatNames {
		all = append(all, dataSource{stat, Gauge})
	}
	return all
}

// TypesDB returns the contents of a types.db file, which defines the collectd type of each metric on one line; see
// types.db(5).
func TypesDB() string {
	var b strings.Builder
	for i := range metrics.Catalogue {
		metric := &metrics.Catalogue[i]
		fmt.Fprintf(&b, "%-40s", typePrefix+metric.Name)
		separator := " "
		for _, source := range dataSources(metric.Kind) {
			fmt.Fprintf(&b, "%s%s:%s:0:U", separator, source.name, dataSourceTypes[source.kind])
			separator = ", "
		}
		b.WriteByte('\n')
	}
	return b.String()
}
