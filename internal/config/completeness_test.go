package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformText is a file in the form of the platform, which gives every class all keys that are not optional.
const platformText = `{"listen":"127.0.0.4:6565","changelog":"127.0.0.1:4222","limits":{"memory_mb":192,"sockets":1024},
 "$schema":"broker.json","known":{"seq":3,"results":[]},
 "settings":{"Limits":{"MaxAttempts":4,"Cancel":true},"Rules":{"DrainGraceNs":500000000,"KeyRestNs":0},
  "Penalties":{"Fleet":0.1,"Probe":0.01},"Domain":{"Grants":true},
  "Tenants":[{"Name":"t1","Share":0.6},{"Name":"t2","Share":0.4}],
  "RequestClasses":[` + readClass + "," + loadClass + `]}}`

// Classes of platformText, and one to add to them.
const (
	readClass = `{"Name":"read","Effect":"repeatable","KeyScope":"zone","WindowNs":5,"PromiseNs":1,"GiveUpNs":2,` +
		`"AimStretch":1.5}`
	loadClass = `{"Name":"load","Effect":"by_key","KeyScope":"zone","WindowNs":5,"PromiseNs":1,"GiveUpNs":2,` +
		`"ByArrival":true,"AllowedIn":["north"],"AllowedOn":["std"]}`
	newClass = `{"Name":"new","Effect":"once","KeyScope":"all","WindowNs":5,"PromiseNs":1,"GiveUpNs":2}`
)

// sparseText is a file that gives the keys for duplicate detection only where they matter, as config write does, and
// neither an objective for each class nor a limit of attempts.
const sparseText = `{"listen":"127.0.0.4:6565","changelog":"127.0.0.1:4222","settings":{"RequestClasses":[
  {"Name":"read","Effect":"repeatable","GiveUpNs":2},
  {"Name":"load","Effect":"by_key","WindowNs":5,"PromiseNs":1}]}}`

// reloadCase is a file at SIGHUP: changes of the running one, and the error that they cause.
type reloadCase struct {
	changes []change
	want    string // empty: no error
}

// Guards against a complete file that is rejected at SIGHUP because a class with optional keys has disappeared, and
// against a broken one that is accepted because another class has the missing key.
func TestReloadRequiresKeysOfEachClass(t *testing.T) {
	const missing = ": required key is missing"
	checkReloads(t, platformText, map[string]reloadCase{
		"no change":                         {nil, ""},
		"class with optional keys vanishes": {[]change{{"," + loadClass, ""}, {`"repeatable"`, `"once"`}}, ""},
		"class without optional keys vanishes": {
			[]change{{readClass + ",", ""}}, "",
		},
		"optional keys of a class vanish": {
			[]change{{`,"AimStretch":1.5`, ""}, {`,"ByArrival":true`, ""}, {`"AllowedIn":["north"],`, ""}}, "",
		},
		"new class without optional keys": {
			[]change{{readClass, readClass + "," + newClass}}, "",
		},
		"all classes renamed": {[]change{{`"read"`, `"a"`}, {`"load"`, `"b"`}}, ""},
		"scope missing": {
			[]change{{`"by_key","KeyScope":"zone"`, `"by_key"`}}, "settings.RequestClasses[1].KeyScope" + missing,
		},
		"scope empty": {
			[]change{{`"by_key","KeyScope":"zone"`, `"by_key","KeyScope":""`}}, "settings.RequestClasses[1].KeyScope" + missing,
		},
		"scope null": {
			[]change{{`"by_key","KeyScope":"zone"`, `"by_key","KeyScope":null`}},
			"settings.RequestClasses[1].KeyScope" + missing,
		},
		"scope missing in a class that becomes idempotent with a key": {
			[]change{{`"repeatable","KeyScope":"zone"`, `"by_key"`}}, "settings.RequestClasses[0].KeyScope" + missing,
		},
		"scope missing in the only class": {
			[]change{{readClass + ",", ""}, {`"by_key","KeyScope":"zone"`, `"by_key"`}},
			"settings.RequestClasses[0].KeyScope" + missing,
		},
		"window missing": {
			[]change{{`"by_key","KeyScope":"zone","WindowNs":5`, `"by_key","KeyScope":"zone"`}},
			"settings.RequestClasses[1].WindowNs" + missing,
		},
		"window missing in a repeatable class": {
			[]change{{`"repeatable","KeyScope":"zone","WindowNs":5`, `"repeatable","KeyScope":"zone"`}},
			"settings.RequestClasses[0].WindowNs" + missing,
		},
		"client timeout missing": {
			[]change{{`,"GiveUpNs":2,"AimStretch":1.5`, `,"AimStretch":1.5`}}, "settings.RequestClasses[0].GiveUpNs" + missing,
		},
		"client timeout missing in a new class": {
			[]change{{readClass, readClass + "," + newClass}, {`"PromiseNs":1,"GiveUpNs":2}`, `"PromiseNs":1}`}},
			"settings.RequestClasses[1].GiveUpNs" + missing,
		},
		"objective 0": {
			[]change{{`"PromiseNs":1`, `"PromiseNs":0`}}, "settings.RequestClasses[0].PromiseNs: must be greater than 0, got 0",
		},
	})
}

// Guards against a broken file that is accepted at SIGHUP because the missing key is nested in the settings, or belongs
// to one of several tenants.
func TestReloadRequiresNestedKeys(t *testing.T) {
	const missing = ": required key is missing"
	checkReloads(t, platformText, map[string]reloadCase{
		"rule":                {[]change{{`"DrainGraceNs":500000000,`, ""}}, "settings.Rules.DrainGraceNs" + missing},
		"rules":               {[]change{{`"Rules"`, `"Rule"`}}, "settings.Rules" + missing},
		"optional rule":       {[]change{{`,"KeyRestNs":0`, ""}}, ""},
		"penalty":             {[]change{{`,"Probe":0.01`, ""}}, "settings.Penalties.Probe" + missing},
		"optional penalty":    {[]change{{`"Fleet":0.1,`, ""}}, ""},
		"attribute":           {[]change{{`"Grants":true`, ""}}, "settings.Domain.Grants" + missing},
		"limit":               {[]change{{`,"Cancel":true`, ""}}, "settings.Limits.Cancel" + missing},
		"limit of the broker": {[]change{{`,"sockets":1024`, ""}}, "limits.sockets" + missing},
		"endpoint list":       {[]change{{`"known"`, `"unknown"`}}, "known" + missing},
		"endpoint list null":  {[]change{{`{"seq":3,"results":[]}`, "null"}}, "known" + missing},
		"revision":            {[]change{{`"seq":3,`, ""}}, "known.seq" + missing},
		"annotation":          {[]change{{`"$schema":"broker.json",`, ""}}, ""},
		"tenant vanishes":     {[]change{{`,{"Name":"t2","Share":0.4}`, ""}}, ""},
		"tenant appears":      {[]change{{`{"Name":"t2"`, `{"Name":"t3","Share":0.1},{"Name":"t2"`}}, ""},
		"share of a tenant":   {[]change{{`"t2","Share":0.4`, `"t2"`}}, "settings.Tenants[1].Share" + missing},
		"name of a tenant":    {[]change{{`"Name":"t1",`, ""}}, "settings.Tenants[0].Name" + missing},
	})
}

// Guards against a file that serves from the start but is rejected at SIGHUP, for keys that neither it nor the running
// one gives.
func TestReloadRequiresNoKeyThatRunningFileOmits(t *testing.T) {
	checkReloads(t, sparseText, map[string]reloadCase{
		"no change":          {nil, ""},
		"changelog":          {[]change{{":4222", ":4223"}}, ""},
		"class becomes once": {[]change{{`"by_key","WindowNs":5`, `"once"`}}, ""},
		"class like the second": {
			[]change{{`"Name":"read"`, `"Name":"new","Effect":"by_key","WindowNs":5},{"Name":"read"`}}, "",
		},
		"window of a new class": {
			[]change{{`"Name":"read"`, `"Name":"new","Effect":"by_key"},{"Name":"read"`}},
			"settings.RequestClasses[0].WindowNs: required key is missing",
		},
		"client timeout 0": {
			[]change{{`"GiveUpNs":2`, `"GiveUpNs":0`}},
			"settings.RequestClasses[0].GiveUpNs: must be greater than 0, got 0",
		},
		"attempts 0": {
			[]change{{`"RequestClasses"`, `"Limits":{"MaxAttempts":0},"RequestClasses"`}},
			"settings.Limits.MaxAttempts: must be greater than 0, got 0",
		},
	})
	for _, path := range []string{
		"testdata/every-key.json", "testdata/least.json",
		"../description/testdata/deploy.broker.golden", "../description/testdata/every-key.broker.golden",
	} {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			checkReload(t, string(text), reloadCase{})
		})
	}
}

// checkReloads checks what each case's changes of the running file cause.
func checkReloads(t *testing.T, runningText string, cases map[string]reloadCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkReload(t, runningText, c) })
	}
}

func checkReload(t *testing.T, runningText string, c reloadCase) {
	t.Helper()
	running, err := load(t, runningText, nil)
	if err != nil {
		t.Fatal(err)
	}
	text := runningText
	for _, change := range c.changes {
		if !strings.Contains(text, change.from) {
			t.Fatalf("the file does not contain %q", change.from)
		}
		text = change.apply(text)
	}
	next, err := load(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := ""
	if err := next.ValidateReload(running); err != nil {
		got = err.Error()
	}
	if got != c.want {
		t.Errorf("got error %q, want %q", got, c.want)
	}
}
