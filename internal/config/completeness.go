package config

import (
	"slices"

	"wheatlane/control/idempotency"
)

// optionalPaths holds the keys outside of lists that a complete file may omit: the settings format makes them optional.
var optionalPaths = map[string]bool{
	"settings.Penalties.Fleet":    true,
	"settings.Rules.BudgetSpanNs": true,
	"settings.Rules.ExtraFree":    true,
	"settings.Rules.FurtherRatio": true,
	"settings.Rules.KeyRestNs":    true,
}

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

// item is a class or tenant with the keys that its file gives for it.
type item struct {
	name string
	kind idempotency.Kind // of a class
	keys keySet
}

// isIdempotentWithKey reports whether an item is a class that is idempotent with a key.
func (i item) isIdempotentWithKey() bool { return i.kind == idempotency.IdempotentWithKey }

// classes returns the classes of a configuration with their keys.
func (c Config) classes() []item {
	all := make([]item, 0, len(c.given.classes))
	for i, class := range c.Settings.Control.Classes {
		all = append(all, item{name: class.Name, kind: class.Idempotency.Kind, keys: elementOrZero(c.given.classes, i)})
	}
	return all
}

// tenants returns the tenants of a configuration with their keys.
func (c Config) tenants() []item {
	all := make([]item, 0, len(c.given.tenants))
	for i, tenant := range c.Settings.Control.Tenants {
		all = append(all, item{name: tenant.Name, keys: elementOrZero(c.given.tenants, i)})
	}
	return all
}

// checkComplete checks that c gives all keys that the file of the running configuration gives, apart from optional
// ones. Classes and tenants may be added and removed, so those of c are checked one by one.
func (c Config) checkComplete(running Config) error {
	for _, path := range running.given.paths {
		if !optionalPaths[path] && !c.given.paths.has(path) {
			return keyError(path, errMissing)
		}
	}
	for i, class := range c.classes() {
		if key := missingKey(class, running.classes(), referenceClasses); key != "" {
			return keyError(classPath(i)+"."+key, errMissing)
		}
	}
	for i, tenant := range c.tenants() {
		if key := missingKey(tenant, running.tenants(), referenceTenants); key != "" {
			return keyError(tenantPath(i)+"."+key, errMissing)
		}
	}
	return nil
}

// referenceFunc returns the running items that show whether an item must give a key: it must if all of them do.
type referenceFunc func(key string, candidate item, running []item) []item

// missingKey returns the first key that an item lacks although all its references give it. It returns the empty string
// if the item is complete.
func missingKey(candidate item, running []item, referencesFor referenceFunc) string {
	for _, key := range keysOfAny(running) {
		if candidate.keys.has(key) || optionalClassKeys[key] {
			continue
		}
		references := referencesFor(key, candidate, running)
		lacksKey := func(reference item) bool { return !reference.keys.has(key) }
		if len(references) > 0 && !slices.ContainsFunc(references, lacksKey) {
			return key
		}
	}
	return ""
}

// referenceClasses returns the running class of the same name, or all classes if the class is new. A key for duplicate
// detection depends on the idempotency of a class rather than on its name.
func referenceClasses(key string, class item, running []item) []item {
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

// referenceTenants returns the running tenant of the same name, or all tenants if the tenant is new.
func referenceTenants(_ string, tenant item, running []item) []item {
	return firstNotEmpty(withName(running, tenant.name), running)
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
