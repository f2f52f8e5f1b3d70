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

// dataSourceTypes are the kinds' names in types.db.
var dataSourceTypes = map[Kind]string{
	Counter:  "COUNTER",
	Gauge:    "GAUGE",
	Derive:   "DERIVE",
	Absolute: "ABSOLUTE",
}

// dataSources are those of a figure's type.
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

// TypesDB is the file that describes the types of the figures to collectd, one a line; see types.db(5).
func TypesDB() string {
	var b strings.Builder
	for i := range metrics.Catalogue {
		figure := &metrics.Catalogue[i]
		fmt.Fprintf(&b, "%-40s", typePrefix+figure.Name)
		separator := " "
		for _, source := range dataSources(figure.Kind) {
			fmt.Fprintf(&b, "%s%s:%s:0:U", separator, source.name, dataSourceTypes[source.kind])
			separator = ", "
		}
		b.WriteByte('\n')
	}
	return b.String()
}
