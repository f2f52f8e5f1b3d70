package mysql

import "testing"

func TestParseKill(t *testing.T) {
	type kill struct {
		id             uint32
		connection, ok bool
	}
	for text, want := range map[string]kill{
		"KILL QUERY 42":          {42, false, true},
		"kill query 42;":         {42, false, true},
		" KILL 7":                {7, true, true},
		"KILL CONNECTION 7":      {7, true, true},
		"KILL QUERY x":           {0, false, false},
		"KILL":                   {},
		"SELECT 1":               {},
		"KILL QUERY 99999999999": {4294967295, false, false},
		"KILL SOME 7":            {},
	} {
		t.Run(text, func(t *testing.T) {
			id, connection, ok := ParseKill(text)
			if ok != want.ok || ok && (kill{id, connection, ok}) != want {
				t.Errorf("got %d, %v, %v", id, connection, ok)
			}
		})
	}
}
