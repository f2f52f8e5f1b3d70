package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"wheatlane/control"
)

// KeysRequiringRestart returns the keys whose values differ between c, the configuration of a running broker, and
// next, and which take effect at the next start only. The seed is not among them, as each start has a new one.
func (c Config) KeysRequiringRestart(next Config) []string {
	keys := []string{}
	for _, key := range []struct {
		name  string
		equal bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"operator", c.AdminListen == next.AdminListen},
		{"peer_listen", c.PeerListen == next.PeerListen},
		{"peers", slices.Equal(c.Peers, next.Peers)},
		{"limits.memory_mb", c.MemoryMB == next.MemoryMB},
		{"limits.sockets", c.MaxDescriptors == next.MaxDescriptors},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !key.equal {
			keys = append(keys, key.name)
		}
	}
	return keys
}

// ValidateReload checks that c, a configuration that was read at SIGHUP, may replace the running one. It must contain
// every key of the running one, and a limit of attempts greater than 0. Each class must have a client timeout, and a
// latency objective if all running classes have one. The error names the key at fault.
func (c Config) ValidateReload(running Config) error {
	present := map[string]bool{}
	for _, key := range c.Keys {
		present[key] = true
	}
	for _, key := range running.Keys {
		if !present[key] {
			return keyError(key, errMissing)
		}
	}
	if err := checkClasses(c.Settings.Control.Classes, running.Settings.Control.Classes); err != nil {
		return err
	}
	if attempts := c.Settings.Control.Limits.MaxAttempts; attempts <= 0 {
		return keyError("settings.Limits.MaxAttempts", fmt.Errorf("must be greater than 0, got %d", attempts))
	}
	return nil
}

// checkClasses validates classes that are to replace the running ones.
func checkClasses(classes, running []control.Class) error {
	if len(classes) == 0 {
		return keyError("settings.RequestClasses", errors.New("must have at least one class, got none"))
	}
	lacksObjective := func(class control.Class) bool { return class.LatencyObjective <= 0 }
	objectiveRequired := !slices.ContainsFunc(running, lacksObjective)
	for i, class := range classes {
		if class.ClientTimeout <= 0 {
			return keyError(classPath(i)+".GiveUpNs", fmt.Errorf("must be greater than 0, got %d", class.ClientTimeout))
		}
		if class.LatencyObjective < 0 || objectiveRequired && class.LatencyObjective == 0 {
			return keyError(classPath(i)+".PromiseNs", fmt.Errorf("must be greater than 0, got %d", class.LatencyObjective))
		}
	}
	return nil
}

// keyPaths returns the paths of the keys in a file, down to those of the limits and of the classes, so that a reload
// can name a key that has disappeared. A key of any class has one path for all: "settings.RequestClasses[].GiveUpNs".
func keyPaths(text []byte) []string {
	var file, settings map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil || json.Unmarshal(file["settings"], &settings) != nil {
		return nil
	}
	var nested struct {
		RequestClasses []map[string]json.RawMessage
		Limits         map[string]json.RawMessage
	}
	// DecodeSettings has decoded the settings before and reported values that can't be decoded.
	_ = json.Unmarshal(file["settings"], &nested)
	paths := map[string]bool{}
	addKeys(paths, "", file)
	addKeys(paths, "settings.", settings)
	addKeys(paths, "settings.Limits.", nested.Limits)
	for _, class := range nested.RequestClasses {
		addKeys(paths, "settings.RequestClasses[].", class)
	}
	return slices.Sorted(maps.Keys(paths))
}

// addKeys adds the keys of a JSON object to paths, each with the prefix.
func addKeys(paths map[string]bool, prefix string, object map[string]json.RawMessage) {
	for key := range object {
		paths[prefix+key] = true
	}
}
