// Package config is the one place where the platform's configuration is read, checked and given defaults: the
// RELAY_* variables, the JSON file that one of them names, and the settings object in it, which the adapter
// gets over the simulator's line protocol. Every error names the key at fault.
package config

import (
	"errors"
	"fmt"
	"os"

	"wheatlane/internal/changelog"
)

// Config is the configuration of a broker.
type Config struct {
	Name             string         // in the log
	Listen           string         // address and port for clients
	Changelog        string         // address and port of the change log
	PeerListen       string         // address and port for gossip of other brokers; empty: no gossip
	Peers            []string       // gossip address and port of every broker of the fleet, by BrokerIndex
	AdminListen      string         // address and port of the admin endpoint; empty: none
	HandoverPath     string         // the folder through which one process hands over to the next; empty: none
	Seed             uint64         // of random numbers
	MemoryMB         int            // memory limit
	MaxDescriptors   int            // limit of descriptors
	InitialEndpoints changelog.Page // endpoint list at the start
	Settings         Settings
	Keys             []string // paths of the keys that the file gives, sorted
}

// The variables of the environment. Those of values take precedence over the file.
const (
	envConfig       = "RELAY_CONFIG" // path of the file
	envName         = "RELAY_NAME"
	envListen       = "RELAY_LISTEN"
	envAdminListen  = "RELAY_OPERATOR"
	envHandoverPath = "TMPDIR"
)

// Load reads the configuration; getenv looks up a variable of the environment.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return Config{}, errors.New(envConfig + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	cfg, err := parse(text, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// applyEnvironment sets the values that the environment gives; they take precedence over those of the file.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for _, v := range []struct {
		name  string
		value *string
	}{
		{envName, &c.Name},
		{envListen, &c.Listen},
		{envAdminListen, &c.AdminListen},
		{envHandoverPath, &c.HandoverPath},
	} {
		if value := getenv(v.name); value != "" {
			*v.value = value
		}
	}
	if c.HandoverPath == "" {
		c.HandoverPath = os.TempDir()
	}
}
