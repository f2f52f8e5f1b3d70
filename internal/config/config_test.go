package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const validFile = `{"name":"n3","listen":"127.0.0.4:6565","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"changelog":"127.0.0.1:4222","known":{"seq":3,"results":[]},
 "settings":{"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":2000000000}]}}`

// change replaces the first occurrence of a text in a file.
type change struct{ from, to string }

func (c change) apply(text string) string { return strings.Replace(text, c.from, c.to, 1) }

// load loads a file with a text, under environment variables.
func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
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

// The admin endpoint's address comes from RELAY_OPERATOR or else from the file. With neither, a broker has no admin
// endpoint.
func TestAdminListen(t *testing.T) {
	withAddress := change{`"changelog"`, `"operator":"127.0.0.4:7000","changelog"`}.apply(validFile)
	for name, c := range map[string]struct{ text, env, want string }{
		"none":            {validFile, "", ""},
		"in the file":     {withAddress, "", "127.0.0.4:7000"},
		"in both":         {withAddress, "127.0.0.4:7001", "127.0.0.4:7001"},
		"in the variable": {validFile, "127.0.0.4:7001", "127.0.0.4:7001"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := load(t, c.text, map[string]string{"RELAY_OPERATOR": c.env})
			if err != nil || cfg.AdminListen != c.want {
				t.Errorf("got %q, %v, want %q", cfg.AdminListen, err, c.want)
			}
		})
	}
}

// Gossip is enabled only if the settings allow it and all addresses are configured; invalid addresses are errors.
func TestGossipAddresses(t *testing.T) {
	const allowed = `"PeersTotal":2,"Limits":{"Peers":true},"RequestClasses"`
	base := change{`"RequestClasses"`, allowed}.apply(validFile)
	for name, c := range map[string]struct{ keys, want string }{
		"no addresses": {"", "false"},
		"all addresses": {
			`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],`, "true",
		},
		"no listen address":      {`"peers":["127.0.1.1:7946","127.0.1.2:7946"],`, "false"},
		"invalid listen address": {`"peer_listen":"here","peers":["127.0.1.1:7946","127.0.1.2:7946"],`, "peer_listen:"},
		"too few peers": {
			`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946"],`,
			"peers: must have 2 addresses as in settings.PeersTotal, got 1",
		},
		"invalid peer": {`"peer_listen":"127.0.0.4:7946","peers":["127.0.1.1:7946","b"],`, "peers[1]:"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := load(t, change{`"changelog"`, c.keys + `"changelog"`}.apply(base), nil)
			got := strconv.FormatBool(cfg.Settings.Control.Limits.Gossip)
			if err != nil {
				got = err.Error()
			}
			if !strings.Contains(got, c.want) {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	c, err := load(t, validFile, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n4" || c.Seed != 0x8c1f30d27a5be964 || c.InitialEndpoints.Revision != 3 || c.MaxDescriptors != 1024 {
		t.Errorf("got %+v, want name n4, seed 8c1f30d27a5be964, revision 3 and 1024 descriptors", c)
	}
	if s.MaxStreams != 100 || s.ConnectTimeout != 250*time.Millisecond || s.ConnIdleTimeout != 30*time.Second ||
		s.MaxClientTimeout != 2*time.Second {
		t.Errorf("got %+v, want 100 streams and timeouts of 250ms, 30s and 2s", s)
	}
}

// Each invalid value results in an error that names its key.
func TestErrorsNameTheKey(t *testing.T) {
	for key, fault := range map[string]change{
		"listen:":                                       {`127.0.0.4:6565`, `nowhere`},
		"changelog:":                                    {`127.0.0.1:4222`, ``},
		"operator:":                                     {`"changelog"`, `"operator":"desk","changelog"`},
		"seed:":                                         {`8c1f30d27a5be964`, `xyz`},
		"limits.memory_mb:":                             {`"memory_mb":192`, `"memory_mb":1`},
		"limits.sockets:":                               {`"sockets":1024`, `"sockets":-5`},
		"limits.sockets: unexpected JSON string":        {`"sockets":1024`, `"sockets":"x"`},
		"known: ":                                       {`"results":[]`, `"results":[{"fleet":{"hosts":[{"host":"a"}]}}]`},
		"settings: required key is missing":             {`"settings"`, `"setting"`},
		"settings.RequestClasses[0].Effect:":            {`repeatable`, `odd`},
		"settings.RequestClasses[0].KeyScope:":          {`"Effect"`, `"KeyScope":"odd","Effect"`},
		"settings.RequestClasses[0].GiveUpNs:":          {`2000000000`, `-1`},
		"settings.RequestClasses[0].PromiseNs:":         {`"Effect"`, `"PromiseNs":-1,"Effect"`},
		"settings.RequestClasses[0].WindowNs:":          {`"Effect"`, `"WindowNs":-1,"Effect"`},
		"settings.RequestClasses[0].AimStretch:":        {`"Effect"`, `"AimStretch":-0.5,"Effect"`},
		"settings.Limits.MaxStreams:":                   {`"RequestClasses"`, `"Limits":{"MaxStreams":-1},"RequestClasses"`},
		"settings.RequestClasses.Name: unexpected JSON": {`"Name":"a"`, `"Name":7`},
	} {
		t.Run(key, func(t *testing.T) {
			text := fault.apply(validFile)
			if _, err := load(t, text, nil); text == validFile || err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that names %q", err, key)
			}
		})
	}
	_, err := Load(func(string) string { return "" })
	if err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("RELAY_CONFIG not set: got error %v, want one that names it", err)
	}
}

func TestEnginesReportLoadIfSettingsNameItsFields(t *testing.T) {
	for text, want := range map[string]int{
		`{"Stats": {"Fields": ["queue", "x1"]}}`: 2,
		`{"Stats": {"Fields": []}}`:              0,
		`{}`:                                     0,
	} {
		settings, err := DecodeSettings([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if settings.Control.EnginesReportLoad != (want > 0) || len(settings.LoadReport) != want {
			t.Errorf("%s: load reported %v, fields %q, want %d fields",
				text, settings.Control.EnginesReportLoad, settings.LoadReport, want)
		}
	}
}
