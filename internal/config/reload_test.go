package config

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestKeysRequiringRestart(t *testing.T) {
	running, err := load(t, validFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change change
		want   []string
	}{
		"changelog": {change{`4222`, `4223`}, []string{}},
		"seed":      {change{`8c1f`, `9c1f`}, []string{}},
		"name":      {change{`"n3"`, `"n4"`}, []string{"name"}},
		"listen":    {change{`6565`, `6566`}, []string{"listen"}},
		"memory":    {change{`"memory_mb":192`, `"memory_mb":64`}, []string{"limits.memory_mb"}},
		"sockets":   {change{`"sockets":1024`, `"sockets":256`}, []string{"limits.sockets"}},
		"settings":  {change{`"Name":"a"`, `"Name":"b"`}, []string{"settings"}},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := load(t, c.change.apply(validFile), nil)
			if diff := cmp.Diff(c.want, running.KeysRequiringRestart(next)); err != nil || diff != "" {
				t.Errorf("error %v, keys differ (-want +got): %s", err, diff)
			}
		})
	}
}

// A reload is rejected if the file lacks a key that the running configuration has, or if a client timeout or the
// limit of attempts is not greater than 0.
func TestValidateReload(t *testing.T) {
	const missing, notPositive = ": required key is missing", ": must be greater than 0, got 0"
	withAttempts := change{`"RequestClasses"`, `"Limits":{"MaxAttempts":3},"RequestClasses"`}.apply(validFile)
	running, err := load(t, withAttempts, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change change
		want   string // prefix of the error; empty: no error
	}{
		"no change": {change{}, ""},
		"additional class": {
			change{`{"Name":"a",`, `{"Name":"b","Effect":"once","GiveUpNs":3000000000},{"Name":"a",`}, "",
		},
		"fewer attempts": {change{`"MaxAttempts":3`, `"MaxAttempts":1`}, ""},
		"attempts 0": {
			change{`"MaxAttempts":3`, `"MaxAttempts":0`}, "settings.Limits.MaxAttempts" + notPositive,
		},
		"attempts missing": {change{`"MaxAttempts":3`, `"MaxStreams":3`}, "settings.Limits.MaxAttempts" + missing},
		"client timeout 0": {
			change{`"GiveUpNs":2000000000`, `"GiveUpNs":0`}, "settings.RequestClasses[0].GiveUpNs" + notPositive,
		},
		"endpoint list missing": {change{`"known"`, `"unknown"`}, "known" + missing},
		"no classes": {
			change{`[{"Name":"a","Effect":"repeatable","GiveUpNs":2000000000}]`, `[]`},
			"settings.RequestClasses: must have at least one class, got none",
		},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := load(t, c.change.apply(withAttempts), nil)
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			if err := next.ValidateReload(running); err != nil {
				got = err.Error()
			}
			if !strings.HasPrefix(got, c.want) || (got == "") != (c.want == "") {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
