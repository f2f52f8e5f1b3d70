package schema

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// server has a field for each keyword of the limits tag.
type server struct {
	Name     string   `json:"name" limits:"minlen=1,maxlen=8,pattern=^[a-z]{1,8}$"`
	Protocol string   `json:"protocol,omitempty" limits:"enum=tcp|udp,default=tcp"`
	Weight   float64  `json:"weight,omitempty" limits:"min=0,max=1,default=0.5"`
	Ports    []int    `json:"ports,omitempty" limits:"maxitems=2"`
	Parent   *nested  `json:"parent,omitempty"`
	Others   []nested `json:"others,omitempty"`
}

type nested struct {
	Zone string `json:"zone"`
}

// FieldDescriptions describes the keys for the schema.
func (nested) FieldDescriptions() map[string]string {
	return map[string]string{"zone": "location of the server"}
}

func TestForAppliesKeywordsAndDescriptions(t *testing.T) {
	s, err := For[server]()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"name"}, s.Required); diff != "" {
		t.Errorf("required: %s", diff)
	}
	name, protocol := s.Properties["name"], s.Properties["protocol"]
	weight, ports := s.Properties["weight"], s.Properties["ports"]
	if *name.MinLength != 1 || *name.MaxLength != 8 || name.Pattern != "^[a-z]{1,8}$" {
		t.Errorf("name: got %v, want a length of 1 to 8 and the pattern ^[a-z]{1,8}$", name)
	}
	diff := cmp.Diff([]any{"tcp", "udp"}, protocol.Enum)
	if diff != "" || string(protocol.Default) != `"tcp"` {
		t.Errorf("protocol: %s, default %s", diff, protocol.Default)
	}
	if *weight.Minimum != 0 || *weight.Maximum != 1 || string(weight.Default) != "0.5" {
		t.Errorf("weight: got %v, want 0 to 1 with default 0.5", weight)
	}
	if *ports.MaxItems != 2 || ports.Type != typeArray {
		t.Errorf("ports: got %v, want an array of at most 2 items", ports)
	}
	for _, zone := range []string{
		s.Properties["parent"].Properties["zone"].Description,
		s.Properties["others"].Items.Properties["zone"].Description,
	} {
		if zone != "location of the server" {
			t.Errorf("zone is described as %q, want the type's description", zone)
		}
	}
}

func TestForRejectsInvalidTags(t *testing.T) {
	if _, err := For[struct {
		A int `limits:"least=1"`
	}](); err == nil || !strings.Contains(err.Error(), `unknown keyword "least"`) {
		t.Errorf("unknown keyword: got error %v, want one that names it", err)
	}
	if _, err := For[struct {
		A int `limits:"min=one"`
	}](); err == nil || !strings.Contains(err.Error(), `"min=one"`) {
		t.Errorf("bound that is not a number: got error %v, want one that names it", err)
	}
}

// invalidDocuments lists documents with one violation each.
var invalidDocuments = []struct {
	name, doc string
	kind      ViolationKind
	want      string
}{
	{
		"object for a string",
		`{"name":{}}`,
		InvalidType,
		"name: must be a string, got an object",
	},
	{
		"list for a string",
		`{"name":[]}`,
		InvalidType,
		"name: must be a string, got a list",
	},
	{
		"number for a string",
		`{"name":1.5}`,
		InvalidType,
		"name: must be a string, got a number",
	},
	{
		"null for an object",
		`{"name":"a","parent":null}`,
		InvalidType,
		"parent: must be an object, got null",
	},
	{
		"unknown key",
		`{"name":"a","parent":{"zone":"n","size":1}}`,
		UnknownKey,
		"parent.size: unknown key",
	},
	{
		"missing key",
		`{"name":"a","others":[{"zone":"n"},{}]}`,
		MissingKey,
		"others[1].zone: required key is missing",
	},
	{
		"not in the enum",
		`{"name":"a","protocol":"icmp"}`,
		OutOfRange,
		`protocol: "icmp" is none of tcp, udp`,
	},
	{"too small", `{"name":"a","weight":-1}`, OutOfRange, "weight: -1 is less than 0"},
	{"too large", `{"name":"a","weight":1e999}`, OutOfRange, "weight: 1e999 is more than 1"},
	{"too many items", `{"name":"a","ports":[1,2,3]}`, OutOfRange, "ports: must have at most 2 items, got 3"},
	{"pattern not matched", `{"name":"A"}`, OutOfRange, "name: pattern: "},
}

// Validate reports a violation with its kind, path and reason.
func TestValidateReportsViolation(t *testing.T) {
	for _, c := range invalidDocuments {
		t.Run(c.name, func(t *testing.T) {
			violations := validate(t, c.doc)
			if len(violations) != 1 {
				t.Fatalf("got violations %v, want one: %s", violations, c.want)
			}
			v := violations[0]
			if v.Kind != c.kind || !strings.HasPrefix(v.String(), c.want) {
				t.Errorf("got kind %v, %v, want kind %v, %s", v.Kind, v, c.kind, c.want)
			}
		})
	}
}

// Validate returns all violations of an invalid document, and none for a valid one.
func TestValidateReportsAllViolations(t *testing.T) {
	if valid := validate(t, `{"name":"a","weight":1,"ports":[1],"parent":{"zone":"n"}}`); len(valid) > 0 {
		t.Errorf("valid document: got violations %v, want none", valid)
	}
	if all := validate(t, `{"protocol":1,"weight":"x"}`); len(all) != 3 {
		t.Errorf("got %v, want three violations", all)
	}
}

func validate(t *testing.T, text string) []Violation {
	t.Helper()
	s, err := For[server]()
	if err != nil {
		t.Fatal(err)
	}
	doc, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	violations, err := Validate(s, doc)
	if err != nil {
		t.Fatal(err)
	}
	return violations
}

func TestDecodeRejectsTextThatIsNotOneValue(t *testing.T) {
	for text, want := range map[string]error{
		"":      ErrTruncated,
		`{"a":`: ErrTruncated,
		"{} {}": ErrTrailingText,
	} {
		if _, err := Decode([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", text, err, want)
		}
	}
}
