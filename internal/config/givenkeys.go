package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Keys of the lists whose items a file describes one by one.
const (
	keySettings = "settings"
	keyLimits   = "Limits"
	keyClasses  = "RequestClasses"
)

// keySet is a sorted set of keys.
type keySet []string

// has reports whether the set contains a key.
func (s keySet) has(key string) bool {
	_, found := slices.BinarySearch(s, key)
	return found
}

// givenKeys holds the keys that a file gives. A key of a class with the value null or an empty string is not given.
type givenKeys struct {
	paths   keySet   // paths of the keys of the file, the settings and the limits, as in settings.Limits.MaxAttempts
	classes []keySet // of each item of settings.RequestClasses
}

// keysOf returns the keys that a file gives. text must be a file that parse accepts.
func keysOf(text []byte) givenKeys {
	file := objectOf(text)
	settings := objectOf(file[keySettings])
	paths := map[string]bool{}
	addPaths(paths, "", file)
	addPaths(paths, "settings.", settings)
	addPaths(paths, "settings.Limits.", objectOf(settings[keyLimits]))
	return givenKeys{paths: slices.Sorted(maps.Keys(paths)), classes: itemKeys(settings[keyClasses])}
}

// addPaths adds the keys of a JSON object, each with the prefix.
func addPaths(paths map[string]bool, prefix string, object map[string]json.RawMessage) {
	for key := range object {
		paths[prefix+key] = true
	}
}

// itemKeys returns the keys of each object in a JSON array.
func itemKeys(array []byte) []keySet {
	var items []json.RawMessage
	if json.Unmarshal(array, &items) != nil {
		return nil
	}
	all := make([]keySet, 0, len(items))
	for _, item := range items {
		object := objectOf(item)
		maps.DeleteFunc(object, func(key string, value json.RawMessage) bool {
			return isNull(value) || string(value) == `""`
		})
		all = append(all, slices.Sorted(maps.Keys(object)))
	}
	return all
}

// objectOf returns the members of a JSON object, or nil for any other value.
func objectOf(text []byte) map[string]json.RawMessage {
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) != nil {
		return nil
	}
	return object
}

func isNull(value json.RawMessage) bool { return string(value) == "null" }
