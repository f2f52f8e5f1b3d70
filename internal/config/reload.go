package config

import (
	"errors"
	"fmt"
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

// ValidateReload checks that c, a configuration that was read at SIGHUP, may replace the running one: it is complete,
// and the client timeouts and the limit of attempts that it gives are greater than 0, and so are the latency objectives
// if the running class of the same name has one or, for a new class, all running classes have one. Keys that neither of
// the files gives have their defaults, as at the start. The error names the key at fault.
func (c Config) ValidateReload(running Config) error {
	if err := c.checkComplete(running); err != nil {
		return err
	}
	if err := c.checkClasses(running.Settings.Control.Classes); err != nil {
		return err
	}
	const maxAttemptsPath = "settings.Limits.MaxAttempts"
	if attempts := c.Settings.Control.Limits.MaxAttempts; attempts <= 0 && c.given.paths.has(maxAttemptsPath) {
		return notPositive(maxAttemptsPath, attempts)
	}
	return nil
}

// checkClasses validates the values of classes that are to replace the running ones.
func (c Config) checkClasses(running []control.Class) error {
	classes := c.Settings.Control.Classes
	if len(classes) == 0 {
		return keyError("settings.RequestClasses", errors.New("must have at least one class, got none"))
	}
	for i, class := range classes {
		given := elementOrZero(c.given.classes, i)
		if class.ClientTimeout <= 0 && given.has(keyClientTimeout) {
			return notPositive(classPath(i)+"."+keyClientTimeout, class.ClientTimeout.Nanoseconds())
		}
		if class.LatencyObjective <= 0 && given.has(keyObjective) && requiresObjective(class.Name, running) {
			return notPositive(classPath(i)+"."+keyObjective, class.LatencyObjective.Nanoseconds())
		}
	}
	return nil
}

// requiresObjective reports whether a class must have a latency objective to replace the running classes.
func requiresObjective(name string, running []control.Class) bool {
	references := slices.DeleteFunc(slices.Clone(running), func(class control.Class) bool { return class.Name != name })
	if len(references) == 0 {
		references = running
	}
	return !slices.ContainsFunc(references, func(class control.Class) bool { return class.LatencyObjective <= 0 })
}

// notPositive returns an error about a value that must be greater than 0.
func notPositive[T int | int64](key string, value T) error {
	return keyError(key, fmt.Errorf("must be greater than 0, got %d", value))
}
