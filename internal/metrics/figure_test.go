package metrics

import (
	"os"
	"strings"
	"testing"

	"wheatlane/internal/cardinality"
)

// Each figure has a name of its own, a help text, and label values where it has a label.
func TestCatalogueIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for id, f := range Catalogue {
		if f.Name == "" || f.Help == "" || seen[f.Name] || cardinality.Escape(f.Name) == "" {
			t.Errorf("figure %d: %+v", id, f)
		}
		if (f.Label == "") != (len(f.LabelValues) == 0) {
			t.Errorf("%s: label %q with values %v", f.Name, f.Label, f.LabelValues)
		}
		if f.Kind == DistributionKind && len(f.LabelValues) > 0 {
			t.Errorf("%s: a distribution with a label", f.Name)
		}
		if got, ok := Find(f.Name); !ok || got != ID(id) {
			t.Errorf("%s is found as %d", f.Name, got)
		}
		seen[f.Name] = true
	}
}

func TestOperatorsPageHasTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/telemetry.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Error("docs/operators/telemetry.md lacks the table that 'wheatlane metrics list --markdown' prints")
	}
}
