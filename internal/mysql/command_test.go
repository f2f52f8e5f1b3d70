package mysql

import "testing"

func TestParseKill(t *testing.T) {
	for text, want := range map[string]struct {
		kill Kill
		ok   bool
	}{
		"KILL QUERY 42":          {Kill{42, false}, true},
		"kill query 42;":         {Kill{42, false}, true},
		" KILL 7":                {Kill{7, true}, true},
		"KILL CONNECTION 7":      {Kill{7, true}, true},
		"KILL QUERY x":           {},
		"KILL":                   {},
		"SELECT 1":               {},
		"KILL QUERY 99999999999": {},
		"KILL SOME 7":            {},
	} {
		t.Run(text, func(t *testing.T) {
			if kill, ok := ParseKill(text); kill != want.kill || ok != want.ok {
				t.Errorf("got %+v, %v, want %+v, %v", kill, ok, want.kill, want.ok)
			}
		})
	}
}
