// Package config is the one place where configuration is read, checked and given defaults: the RELAY_*
// variables, the JSON file that one of them names, and the settings object in it, which the adapter gets
// over the simulator's wire. Every error names the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"wheatlane/internal/changelog"
)

// Config is what a broker is told at its start.
type Config struct {
	Name      string
	Listen    string
	Changelog string
	Operator  string // the second address, where on-call staff call; empty: none
	HandOver  string // the folder where one process leaves the next what it must not forget; empty: none
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Known     changelog.Page
	Settings  Settings
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
		{"operator", c.Operator == next.Operator},
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
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Seed      string `json:"seed"`
		Changelog string `json:"changelog"`
		Operator  string `json:"operator"`
		Limits    struct {
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
	c := Config{Name: file.Name, Listen: file.Listen, Changelog: file.Changelog, Operator: file.Operator,
		MemoryMB: orElse(file.Limits.MemoryMB, defaultMemoryMB), Sockets: orElse(file.Limits.Sockets, defaultSockets)}
	if v := getenv("RELAY_NAME"); v != "" { // the environment goes before the file
		c.Name = v
	}
	if v := getenv("RELAY_LISTEN"); v != "" {
		c.Listen = v
	}
	c.HandOver = getenv("TMPDIR")
	if c.HandOver == "" {
		c.HandOver = os.TempDir()
	}
	if v := getenv("RELAY_OPERATOR"); v != "" {
		c.Operator = v
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Operator); err != nil && c.Operator != "" {
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
	c.Settings, err = DecodeSettings(file.Settings)
	return c, err
}
