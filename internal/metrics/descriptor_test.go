package metrics

import (
	"os"
	"strings"
	"testing"

	"wheatlane/internal/cardinality"
)

// Each metric has a unique name, a help text, and label values if it has a label. Distributions have no labels.
func TestCatalogueIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for id, metric := range Catalogue {
		if metric.Name == "" || metric.Help == "" || seen[metric.Name] || cardinality.Escape(metric.Name) == "" {
			t.Errorf("metric %d has no help or no unique name: %+v", id, metric)
		}
		if (metric.Label == "") != (len(metric.LabelValues) == 0) {
			t.Errorf("%s: label %q with values %v", metric.Name, metric.Label, metric.LabelValues)
		}
		if metric.Kind == DistributionKind && len(metric.LabelValues) > 0 {
			t.Errorf("%s: distribution has a label", metric.Name)
		}
		if got, ok := Find(metric.Name); !ok || got != ID(id) {
			t.Errorf("Find(%q) = %d, %v, want %d", metric.Name, got, ok, id)
		}
		seen[metric.Name] = true
	}
}

func TestOperatorsPageHasTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/telemetry.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Error("docs/operators/telemetry.md does not contain the table printed by 'wheatlane metrics list --markdown'")
	}
}
