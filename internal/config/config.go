// Package config is the one place where configuration is read, checked and given defaults: the RELAY_*
// variables, the JSON file that one of them names, and the settings object in it, which the adapter gets
// over the simulator's wire. Every error names the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"wheatlane/internal/changelog"
)

// Config is what a broker is told at its start.
type Config struct {
	Name         string
	Listen       string
	Changelog    string
	PeerListen   string   // where other brokers' datagrams come; empty: nothing is told or heard
	Peers        []string // an address for every broker of the fleet, its own included, by their numbers
	AdminListen  string   // the second address, where on-call staff call; empty: none
	HandoverPath string   // the folder where one process leaves the next what it must not forget; empty: none
	Seed         uint64
	MemoryMB     int
	Sockets      int
	Known        changelog.Page
	Settings     Settings
	Keys         []string // the keys that the file gives, by their paths, sorted
}

// Defaults of what a deployment may leave out.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastMemoryMB   = 32
	leastSockets    = 64
)

// Load reads the configuration; getenv looks up a variable of the environment.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return Config{}, errors.New("RELAY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c, err := parse(text, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// NeedRestart names the keys in which a new configuration differs from that of a running broker and which
// take effect at its next start only. The seed is new with each start, so it is none of them.
func (c Config) NeedRestart(next Config) []string {
	keys := []string{}
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"operator", c.AdminListen == next.AdminListen},
		{"peer_listen", c.PeerListen == next.PeerListen},
		{"peers", slices.Equal(c.Peers, next.Peers)},
		{"limits.memory_mb", c.MemoryMB == next.MemoryMB},
		{"limits.sockets", c.Sockets == next.Sockets},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

func parse(text []byte, getenv func(string) string) (Config, error) {
	var file struct {
		Name       string   `json:"name"`
		Listen     string   `json:"listen"`
		Seed       string   `json:"seed"`
		Changelog  string   `json:"changelog"`
		Operator   string   `json:"operator"`
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		Limits     struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("%s: a JSON %s does not belong here", wrong.Field, wrong.Value)
		}
		return Config{}, err
	}
	c := Config{Name: file.Name, Listen: file.Listen, Changelog: file.Changelog, AdminListen: file.Operator,
		PeerListen: file.PeerListen, Peers: file.Peers,
		MemoryMB: orElse(file.Limits.MemoryMB, defaultMemoryMB), Sockets: orElse(file.Limits.Sockets, defaultSockets)}
	if v := getenv("RELAY_NAME"); v != "" { // the environment goes before the file
		c.Name = v
	}
	if v := getenv("RELAY_LISTEN"); v != "" {
		c.Listen = v
	}
	c.HandoverPath = getenv("TMPDIR")
	if c.HandoverPath == "" {
		c.HandoverPath = os.TempDir()
	}
	if v := getenv("RELAY_OPERATOR"); v != "" {
		c.AdminListen = v
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.AdminListen); err != nil && c.AdminListen != "" {
		return c, fmt.Errorf("operator: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Changelog); err != nil {
		return c, fmt.Errorf("changelog: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil && file.Seed != "" {
		return c, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", file.Seed)
	}
	if c.MemoryMB < leastMemoryMB {
		return c, fmt.Errorf("limits.memory_mb: %d is less than %d", c.MemoryMB, leastMemoryMB)
	}
	if c.Sockets < leastSockets {
		return c, fmt.Errorf("limits.sockets: %d is less than %d", c.Sockets, leastSockets)
	}
	if len(file.Known) > 0 {
		if c.Known, err = changelog.ParsePage(file.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if len(file.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = DecodeSettings(file.Settings); err != nil {
		return c, err
	}
	c.Keys = keys(text)
	return c, c.checkPeers()
}

// checkPeers checks the addresses between brokers. Without them, no broker is told anything and none is heard.
func (c *Config) checkPeers() error {
	limits := &c.Settings.Control.Limits
	limits.Gossip = limits.Gossip && c.PeerListen != "" && len(c.Peers) > 0
	if !limits.Gossip {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if n := c.Settings.Control.Brokers; len(c.Peers) != n {
		return fmt.Errorf("peers: %d addresses for the %d brokers of settings.PeersTotal", len(c.Peers), n)
	}
	for i, p := range c.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// keys are the paths of the keys of a file down to the classes' own and the limits', so that a key that goes missing can
// be told. Those of all classes are one: "settings.RequestClasses[].GiveUpNs".
func keys(text []byte) []string {
	var file map[string]json.RawMessage
	var set struct {
		RequestClasses []map[string]json.RawMessage
		Limits         map[string]json.RawMessage
	}
	var settings map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil || json.Unmarshal(file["settings"], &settings) != nil {
		return nil
	}
	json.Unmarshal(file["settings"], &set) //nolint:errcheck // what can't be read has been told of before
	all := map[string]bool{}
	for k := range file {
		all[k] = true
	}
	for k := range settings {
		all["settings."+k] = true
	}
	for k := range set.Limits {
		all["settings.Limits."+k] = true
	}
	for _, class := range set.RequestClasses {
		for k := range class {
			all["settings.RequestClasses[]."+k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Replaces tells whether a configuration read at SIGHUP may take the place of one in force: it gives every key that
// that one gave, and each class has a time to give up, an aim where all in force have one, and the ration of attempts is over 0. A file that may not changes
// nothing; the error names the key.
func (c Config) Replaces(running Config) error {
	have := map[string]bool{}
	for _, k := range c.Keys {
		have[k] = true
	}
	for _, k := range running.Keys {
		if !have[k] {
			return fmt.Errorf("%s: missing", k)
		}
	}
	s := c.Settings.Control
	aims := true // all classes in force have an aim: one without is a fault
	for _, k := range running.Settings.Control.Classes {
		aims = aims && k.LatencyObjective > 0
	}
	if len(s.Classes) == 0 {
		return errors.New("settings.RequestClasses: none")
	}
	for i, k := range s.Classes {
		if k.ClientTimeout <= 0 {
			return fmt.Errorf("settings.RequestClasses[%d].GiveUpNs: %d is not over 0", i, k.ClientTimeout)
		}
		if k.LatencyObjective < 0 || aims && k.LatencyObjective == 0 {
			return fmt.Errorf("settings.RequestClasses[%d].PromiseNs: %d is not over 0", i, k.LatencyObjective)
		}
	}
	if s.Limits.MaxAttempts <= 0 {
		return fmt.Errorf("settings.Limits.MaxAttempts: %d is not over 0", s.Limits.MaxAttempts)
	}
	return nil
}
