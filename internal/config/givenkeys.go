package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Keys of the lists whose items a file describes one by one.
const (
	keySettings = "settings"
	keyClasses  = "RequestClasses"
	keyTenants  = "Tenants"
)

// annotationPrefix begins the names of keys that annotate a file for its readers, such as $schema.
const annotationPrefix = "$"

// keySet is a sorted set of keys.
type keySet []string

// has reports whether the set contains a key.
func (s keySet) has(key string) bool {
	_, found := slices.BinarySearch(s, key)
	return found
}

// givenKeys holds the keys that a file gives. A key with the value null is not given, and neither is a key of a class
// or tenant with an empty string. Annotations are left out.
type givenKeys struct {
	paths   keySet   // paths of all keys that are not below a list, as in settings.Limits.MaxAttempts
	classes []keySet // of each item of settings.RequestClasses
	tenants []keySet // of each item of settings.Tenants
}

// keysOf returns the keys that a file gives. text must be a file that parse accepts.
func keysOf(text []byte) givenKeys {
	paths := map[string]bool{}
	addPaths(paths, "", text)
	settings := objectOf(objectOf(text)[keySettings])
	return givenKeys{
		paths:   slices.Sorted(maps.Keys(paths)),
		classes: itemKeys(settings[keyClasses]),
		tenants: itemKeys(settings[keyTenants]),
	}
}

// addPaths adds the paths of the keys of a JSON object, and of the objects in it, each with the prefix.
func addPaths(paths map[string]bool, prefix string, object []byte) {
	for key, value := range objectOf(object) {
		if isNull(value) || strings.HasPrefix(key, annotationPrefix) {
			continue
		}
		paths[prefix+key] = true
		addPaths(paths, prefix+key+".", value)
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
			return isNull(value) || string(value) == `""` || strings.HasPrefix(key, annotationPrefix)
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
