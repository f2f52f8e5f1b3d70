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

// KeysRequiringRestart names the keys in which the next configuration differs from this one, of a running broker, and
// which take effect at the next start only. The seed is new with each start, so it is none of them.
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

// ValidateReload checks whether a configuration that was read at SIGHUP may replace the running one: it must give
// every key that the running one gave, each class must have a client timeout, and a latency objective where
// all running classes have one, and the limit of attempts must be over 0. The error names the key at fault.
func (c Config) ValidateReload(running Config) error {
	given := map[string]bool{}
	for _, key := range c.Keys {
		given[key] = true
	}
	for _, key := range running.Keys {
		if !given[key] {
			return keyError(key, errMissing)
		}
	}
	if err := checkClasses(c.Settings.Control.Classes, running.Settings.Control.Classes); err != nil {
		return err
	}
	if attempts := c.Settings.Control.Limits.MaxAttempts; attempts <= 0 {
		return keyError("settings.Limits.MaxAttempts", fmt.Errorf("%d is not over 0", attempts))
	}
	return nil
}

// checkClasses checks classes that are to replace the running ones.
func checkClasses(classes, running []control.Class) error {
	if len(classes) == 0 {
		return keyError("settings.RequestClasses", errors.New("none"))
	}
	lacksObjective := func(class control.Class) bool { return class.LatencyObjective <= 0 }
	needObjective := !slices.ContainsFunc(running, lacksObjective)
	for i, class := range classes {
		if class.ClientTimeout <= 0 {
			return keyError(classPath(i)+".GiveUpNs", fmt.Errorf("%d is not over 0", class.ClientTimeout))
		}
		if class.LatencyObjective < 0 || needObjective && class.LatencyObjective == 0 {
			return keyError(classPath(i)+".PromiseNs", fmt.Errorf("%d is not over 0", class.LatencyObjective))
		}
	}
	return nil
}

// keyPaths are the paths of the keys of a file, down to those of the limits and of the classes, so that a key
// that goes missing can be named. The same key of all classes is one path:
// "settings.RequestClasses[].GiveUpNs".
func keyPaths(text []byte) []string {
	var file, settings map[string]json.RawMessage
	if json.Unmarshal(text, &file) != nil || json.Unmarshal(file["settings"], &settings) != nil {
		return nil
	}
	var nested struct {
		RequestClasses []map[string]json.RawMessage
		Limits         map[string]json.RawMessage
	}
	// DecodeSettings has read the settings before: what can't be read was reported.
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

// addKeys adds the keys of a JSON object to paths, behind the path of the object.
func addKeys(paths map[string]bool, prefix string, object map[string]json.RawMessage) {
	for key := range object {
		paths[prefix+key] = true
	}
}
