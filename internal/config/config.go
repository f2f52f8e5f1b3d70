// Package config reads the platform's configuration, validates it and applies defaults. The configuration
// consists of the RELAY_* environment variables, the JSON file that RELAY_CONFIG names, and the settings object in
// that file, which the adapter receives over the simulator's line protocol instead. Every error names the key at
// fault.
package config

import (
	"errors"
	"fmt"
	"os"

	"wheatlane/internal/changelog"
)

// Config configures a broker.
type Config struct {
	Name             string         // of the broker in the log
	Listen           string         // address and port for clients
	Changelog        string         // address and port of the change log
	PeerListen       string         // address and port for gossip from other brokers; empty: no gossip
	Peers            []string       // gossip address and port of each broker of the fleet, by BrokerIndex
	AdminListen      string         // address and port of the admin endpoint; empty: none
	HandoverPath     string         // directory of the hand-over file between processes; empty: none
	Seed             uint64         // of the random number generator
	MemoryMB         int            // memory limit in MB
	MaxDescriptors   int            // limit of open file descriptors
	InitialEndpoints changelog.Page // endpoint list at startup
	Settings         Settings
	given            givenKeys // by the file, for ValidateReload
}

// Environment variables. All but RELAY_CONFIG override values of the file.
const (
	envConfig       = "RELAY_CONFIG" // path of the configuration file
	envName         = "RELAY_NAME"
	envListen       = "RELAY_LISTEN"
	envAdminListen  = "RELAY_OPERATOR"
	envHandoverPath = "TMPDIR"
)

// Load reads the file that RELAY_CONFIG names and applies the environment variables, which getenv looks up.
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

// applyEnvironment overrides values of the file with those of environment variables that are set.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for _, variable := range []struct {
		name  string
		value *string
	}{
		{envName, &c.Name},
		{envListen, &c.Listen},
		{envAdminListen, &c.AdminListen},
		{envHandoverPath, &c.HandoverPath},
	} {
		if value := getenv(variable.name); value != "" {
			*variable.value = value
		}
	}
	if c.HandoverPath == "" {
		c.HandoverPath = os.TempDir()
	}
}
