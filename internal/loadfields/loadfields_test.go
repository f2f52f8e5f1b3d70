package loadfields

import (
	"testing"

	"wheatlane/control/loadreport"
)

func TestReportFromValues(t *testing.T) {
	t.Parallel()
	none := loadreport.Report{}
	for name, c := range map[string]struct {
		layout Layout
		values []float64
		want   loadreport.Report
	}{
		"utilization of the busiest resource": {
			Layout{"util", "x1", "x0"}, []float64{0.2, 0.9, 0.4}, loadreport.Report{Reported: true, Utilization: 0.9},
		},
		"requests in flight": {
			Layout{"util", "inflight"},
			[]float64{0.2, 7},
			loadreport.Report{Reported: true, Utilization: 0.2, RequestsInFlight: 7},
		},
		"unknown fields":          {Layout{"queue", "new"}, []float64{3, 9}, loadreport.Report{Reported: true}},
		"too few values":          {Layout{"util", "x1"}, []float64{0.2}, none},
		"too many values":         {Layout{"util"}, []float64{0.2, 0.9}, none},
		"no values":               {Layout{"util"}, nil, none},
		"engines report no load":  {nil, []float64{0.2}, none},
		"no fields and no values": {nil, nil, none},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.layout.Report(c.values); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
