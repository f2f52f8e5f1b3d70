package config

import (
	"slices"

	"wheatlane/control/idempotency"
)

// optionalClassKeys holds the keys of a class that the settings format makes optional.
var optionalClassKeys = map[string]bool{
	"AimStretch": true,
	"AllowedIn":  true,
	"AllowedOn":  true,
	"ByArrival":  true,
}

// dedupKeys holds the keys of a class that the settings format defines for classes that are idempotent with a key.
var dedupKeys = map[string]bool{
	keyDedupScope:  true,
	keyDedupWindow: true,
}

// item is a class with the keys that its file gives for it.
type item struct {
	name string
	kind idempotency.Kind
	keys keySet
}

// isIdempotentWithKey reports whether a class is idempotent with a key.
func (i item) isIdempotentWithKey() bool { return i.kind == idempotency.IdempotentWithKey }

// classes returns the classes of a configuration with their keys.
func (c Config) classes() []item {
	all := make([]item, 0, len(c.given.classes))
	for i, class := range c.Settings.Control.Classes {
		all = append(all, item{name: class.Name, kind: class.Idempotency.Kind, keys: elementOrZero(c.given.classes, i)})
	}
	return all
}

// checkComplete checks that c gives all keys that the file of the running configuration gives, apart from optional
// ones. Classes may be added and removed, so those of c are checked one by one, against the running ones that they are
// comparable with.
func (c Config) checkComplete(running Config) error {
	for _, path := range running.given.paths {
		if !c.given.paths.has(path) {
			return keyError(path, errMissing)
		}
	}
	for i, class := range c.classes() {
		if key := missingKey(class, running.classes()); key != "" {
			return keyError(classPath(i)+"."+key, errMissing)
		}
	}
	return nil
}

// missingKey returns the first key that an item lacks although all running items that it is comparable with have it. It
// returns the empty string if the item is complete.
func missingKey(candidate item, running []item) string {
	for _, key := range keysOfAny(running) {
		if candidate.keys.has(key) || optionalClassKeys[key] {
			continue
		}
		references := comparableClasses(key, candidate, running)
		lacksKey := func(reference item) bool { return !reference.keys.has(key) }
		if len(references) > 0 && !slices.ContainsFunc(references, lacksKey) {
			return key
		}
	}
	return ""
}

// comparableClasses returns the running classes that show whether a class must give a key: the class of the same name,
// or all classes if it is new. A key for duplicate detection depends on the idempotency of a class, not on its name.
func comparableClasses(key string, class item, running []item) []item {
	sameName := withName(running, class.name)
	switch {
	case !dedupKeys[key]:
		return firstNotEmpty(sameName, running)
	case !class.isIdempotentWithKey():
		return running
	default:
		return firstNotEmpty(idempotentWithKey(sameName), idempotentWithKey(running), running)
	}
}

// keysOfAny returns the keys that at least one item has, sorted.
func keysOfAny(items []item) keySet {
	var keys keySet
	for _, item := range items {
		keys = append(keys, item.keys...)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// withName returns the items of a name.
func withName(items []item, name string) []item {
	return filter(items, func(i item) bool { return i.name == name })
}

// idempotentWithKey returns the classes that are idempotent with a key.
func idempotentWithKey(items []item) []item { return filter(items, item.isIdempotentWithKey) }

// filter returns the items for which keep returns true.
func filter(items []item, keep func(item) bool) []item {
	var kept []item
	for _, item := range items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// firstNotEmpty returns the first list that has items, or nil.
func firstNotEmpty(lists ...[]item) []item {
	for _, list := range lists {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}
