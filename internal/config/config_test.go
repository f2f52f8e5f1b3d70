package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `{"name":"n3","listen":"127.0.0.4:6565","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "changelog":"127.0.0.1:4222","known":{"seq":3,"results":[]},"settings":{"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":2000000000}]}}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(key string) string {
		if key == "RELAY_CONFIG" {
			return path
		}
		return env[key]
	})
}

// The second address is in the file or in RELAY_OPERATOR, which goes first; without either there is none.
func TestOperatorAddress(t *testing.T) {
	inFile := strings.Replace(good, `"changelog"`, `"operator":"127.0.0.4:7000","changelog"`, 1)
	for _, c := range []struct {
		text, env, want string
	}{{good, "", ""}, {inFile, "", "127.0.0.4:7000"}, {inFile, "127.0.0.4:7001", "127.0.0.4:7001"}, {good, "127.0.0.4:7001", "127.0.0.4:7001"}} {
		cfg, err := load(t, c.text, map[string]string{"RELAY_OPERATOR": c.env})
		if err != nil || cfg.AdminListen != c.want {
			t.Errorf("%q: got %q, %v", c.env, cfg.AdminListen, err)
		}
	}
}

// Brokers tell one another only where the settings allow it and the addresses are there.
func TestAddressesOfPeers(t *testing.T) {
	const allowed = `"PeersTotal":2,"Limits":{"Peers":true},"RequestClasses"`
	with := func(keys string) string {
		text := strings.Replace(good, `"changelog"`, keys+`"changelog"`, 1)
		return strings.Replace(text, `"RequestClasses"`, allowed, 1)
	}
	for keys, want := range map[string]string{
		"": "false",
		`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],`: "true",
		`"peers":["127.0.1.1:7946","127.0.1.2:7946"],`:                                "false",
		`"peer_listen":"here","peers":["127.0.1.1:7946","127.0.1.2:7946"],`:           "peer_listen:",
		`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946"],`:                  "peers: 1 addresses",
		`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946","b"],`:              "peers[1]:",
	} {
		cfg, err := load(t, with(keys), nil)
		got := fmt.Sprint(cfg.Settings.Control.Limits.Gossip)
		if err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, want) {
			t.Errorf("%s: got %s, want %s", keys, got, want)
		}
	}
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n4" || c.Seed != 0x8c1f30d27a5be964 || c.Known.Revision != 3 || c.Sockets != 1024 || s.MaxStreams != 100 ||
		s.ConnectTimeout != 250*time.Millisecond || s.ConnIdleTimeout != 30*time.Second || s.MaxClientTimeout != 2*time.Second {
		t.Fatalf("got %+v", c)
	}
}

// Every fault ends in an error that names the key.
func TestFaultsNameTheKey(t *testing.T) {
	for key, change := range map[string][2]string{
		"listen:":                              {`127.0.0.4:6565`, `nowhere`},
		"changelog:":                           {`127.0.0.1:4222`, ``},
		"operator:":                            {`"changelog"`, `"operator":"desk","changelog"`},
		"seed:":                                {`8c1f30d27a5be964`, `xyz`},
		"limits.memory_mb:":                    {`"memory_mb":192`, `"memory_mb":1`},
		"limits.sockets:":                      {`"sockets":1024`, `"sockets":-5`},
		"limits.sockets: a JSON string":        {`"sockets":1024`, `"sockets":"x"`},
		"known: ":                              {`"results":[]`, `"results":[{"fleet":{"hosts":[{"host":"a"}]}}]`},
		"settings: missing":                    {`"settings"`, `"setting"`},
		"settings.RequestClasses[0].Effect:":   {`repeatable`, `odd`},
		"settings.RequestClasses[0].KeyScope:": {`"Effect"`, `"KeyScope":"odd","Effect"`},
		"settings.Limits.MaxStreams:":          {`"RequestClasses"`, `"Limits":{"MaxStreams":-1},"RequestClasses"`},
		"settings.RequestClasses.Name: a JSON": {`"Name":"a"`, `"Name":7`},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if _, err := load(t, text, nil); text == good || err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("got %v, want %q", err, key)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("got %v without a file", err)
	}
}

func TestNeedRestart(t *testing.T) {
	old, err := load(t, good, nil)
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range map[[2]string]string{
		{`4222`, `4223`}:                      "[]",
		{`8c1f`, `9c1f`}:                      "[]",
		{`"n3"`, `"n4"`}:                      "[name]",
		{`6565`, `6566`}:                      "[listen]",
		{`"memory_mb":192`, `"memory_mb":64`}: "[limits.memory_mb]",
		{`"sockets":1024`, `"sockets":256`}:   "[limits.sockets]",
		{`"Name":"a"`, `"Name":"b"`}:          "[settings]",
	} {
		next, err := load(t, strings.Replace(good, change[0], change[1], 1), nil)
		if got := fmt.Sprint(old.NeedRestart(next)); err != nil || got != want {
			t.Errorf("%s for %s: got %s, %v; want %s", change[1], change[0], got, err, want)
		}
	}
}

// A file read at SIGHUP that lacks a key of the one in force, or gives a time or ration not over 0, changes nothing.
func TestReplaces(t *testing.T) {
	withAttempts := strings.Replace(good, `"RequestClasses"`, `"Limits":{"MaxAttempts":3},"RequestClasses"`, 1)
	running, err := load(t, withAttempts, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, from, to, err string
	}{
		{"same", "", "", ""},
		{"a class more", `{"Name":"a",`, `{"Name":"b","Effect":"once","GiveUpNs":3000000000},{"Name":"a",`, ""},
		{"fewer attempts", `"MaxAttempts":3`, `"MaxAttempts":1`, ""},
		{"attempts 0", `"MaxAttempts":3`, `"MaxAttempts":0`, "settings.Limits.MaxAttempts: 0 is not over 0"},
		{"attempts gone", `"MaxAttempts":3`, `"MaxStreams":3`, "settings.Limits.MaxAttempts: missing"},
		{"deadline 0", `"GiveUpNs":2000000000`, `"GiveUpNs":0`, "settings.RequestClasses[0].GiveUpNs: 0 is not over 0"},
		{"known gone", `"known"`, `"unknown"`, "known: missing"},
		{"no classes", `[{"Name":"a","Effect":"repeatable","GiveUpNs":2000000000}]`, `[]`, "settings.RequestClasses[].Effect: missing"},
	} {
		next, err := load(t, strings.Replace(withAttempts, c.from, c.to, 1), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got := ""
		if err := next.Replaces(running); err != nil {
			got = err.Error()
		}
		if !strings.HasPrefix(got, c.err) || (got == "") != (c.err == "") {
			t.Errorf("%s: got %q, want %q", c.name, got, c.err)
		}
	}
}
