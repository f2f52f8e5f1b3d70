package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"wheatlane/internal/changelog"
	"wheatlane/internal/jsontext"
)

// Defaults and minimum values of the keys below limits.
const (
	DefaultMemoryMB = 192
	DefaultSockets  = 1024 // file descriptors
	minMemoryMB     = 32
	minSockets      = 64
)

// platformFile decodes the platform's file; fileSchema describes it.
type platformFile struct {
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

// errMissing reports a key that must be present.
var errMissing = errors.New("required key is missing")

// keyError returns an error about the value of a key of the file.
func keyError(key string, err error) error { return &jsontext.KeyError{Key: key, Err: err} }

// parse decodes and validates a file, with the environment applied.
func parse(text []byte, getenv func(string) string) (Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		if mismatch, ok := jsontext.AsTypeMismatch(err); ok {
			return Config{}, mismatch
		}
		return Config{}, err
	}
	cfg := Config{
		Name: file.Name, Listen: file.Listen, Changelog: file.Changelog, AdminListen: file.Operator,
		PeerListen: file.PeerListen, Peers: file.Peers,
		MemoryMB:       withDefault(file.Limits.MemoryMB, DefaultMemoryMB),
		MaxDescriptors: withDefault(file.Limits.Sockets, DefaultSockets),
	}
	cfg.applyEnvironment(getenv)
	if err := cfg.checkAddresses(); err != nil {
		return cfg, err
	}
	var err error
	if cfg.Seed, err = parseSeed(file.Seed); err != nil {
		return cfg, err
	}
	if err := cfg.checkLimits(); err != nil {
		return cfg, err
	}
	if len(file.Known) > 0 && !isNull(file.Known) {
		if cfg.InitialEndpoints, err = changelog.ParsePage(file.Known); err != nil {
			return cfg, keyError("known", err)
		}
	}
	if len(file.Settings) == 0 {
		return cfg, keyError("settings", errMissing)
	}
	if cfg.Settings, err = DecodeSettings(file.Settings); err != nil {
		return cfg, err
	}
	cfg.given = keysOf(text)
	return cfg, cfg.checkGossip()
}

// parseSeed parses a number of up to 16 hex digits; an empty text is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, keyError("seed", fmt.Errorf("must be a number of up to 16 hex digits, got %q", text))
	}
	return seed, nil
}

func (c *Config) checkAddresses() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return keyError("listen", err)
	}
	if _, err := netip.ParseAddrPort(c.AdminListen); err != nil && c.AdminListen != "" {
		return keyError("operator", err)
	}
	if _, err := netip.ParseAddrPort(c.Changelog); err != nil {
		return keyError("changelog", err)
	}
	return nil
}

func (c *Config) checkLimits() error {
	if c.MemoryMB < minMemoryMB {
		return keyError("limits.memory_mb", fmt.Errorf("must be at least %d, got %d", minMemoryMB, c.MemoryMB))
	}
	if c.MaxDescriptors < minSockets {
		return keyError("limits.sockets", fmt.Errorf("must be at least %d, got %d", minSockets, c.MaxDescriptors))
	}
	return nil
}

// checkGossip validates the addresses for gossip. It disables gossip if they are not configured.
func (c *Config) checkGossip() error {
	limits := &c.Settings.Control.Limits
	limits.Gossip = limits.Gossip && c.PeerListen != "" && len(c.Peers) > 0
	if !limits.Gossip {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		return keyError("peer_listen", err)
	}
	if brokers := c.Settings.Control.Brokers; len(c.Peers) != brokers {
		return keyError(
			"peers", fmt.Errorf("must have %d addresses as in settings.PeersTotal, got %d", brokers, len(c.Peers)),
		)
	}
	for i, peer := range c.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			return keyError(fmt.Sprintf("peers[%d]", i), err)
		}
	}
	return nil
}
