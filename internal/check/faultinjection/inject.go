package faultinjection

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"wheatlane/internal/check"
)

// Fault describes a kind of fault that can be injected into a valid configuration.
type Fault struct {
	Code string         // of the check that must find the fault
	Kind check.FileKind // of the configurations that Inject accepts
	// Inject injects the fault into doc and returns the path at which the checker must find it.
	Inject func(rng *rand.Rand, doc map[string]any) []string
}

// Paths of lists and objects in the platform's file. The endpoint list is that of the first event.
var (
	classesPath = []string{"settings", "RequestClasses"}
	tenantsPath = []string{"settings", "Tenants"}
	domainPath  = []string{"settings", "Domain"}
	hostsPath   = []string{"known", "results", "0", "fleet", "hosts"}
)

// classLists lists the keys of the domain whose lists are indexed by class.
var classLists = []string{"WidthByClass", "ClassLoad", "YieldsToLoads"}

// valueAt returns the value at a path, which must exist.
func valueAt(doc any, path ...string) any {
	for _, key := range path {
		switch container := doc.(type) {
		case object:
			doc = container[key]
		case []any:
			doc = container[mustIndex(key)]
		}
	}
	return doc
}

// listAt returns the list at a path.
func listAt(doc object, path ...string) []any {
	list, _ := valueAt(doc, path...).([]any)
	return list
}

// objectAt returns the object at a path.
func objectAt(doc object, path ...string) object {
	o, _ := valueAt(doc, path...).(object)
	return o
}

// setAt sets the value at a path and returns the path.
func setAt(doc object, value any, path ...string) []string {
	last := path[len(path)-1]
	switch container := valueAt(doc, path[:len(path)-1]...).(type) {
	case object:
		container[last] = value
	case []any:
		container[mustIndex(last)] = value
	}
	return path
}

// mustIndex converts an array index. It panics on any other key, as only this package creates the paths.
func mustIndex(key string) int {
	i, err := strconv.Atoi(key)
	if err != nil {
		panic("fault injection: key of an array must be an index, got " + key)
	}
	return i
}

// randomItem returns the path of a random item of a list.
func randomItem(rng *rand.Rand, doc object, list ...string) []string {
	return extend(list, strconv.Itoa(rng.IntN(len(listAt(doc, list...)))))
}

// extend returns a copy of a path with keys appended.
func extend(path []string, keys ...string) []string { return slices.Concat(path, keys) }

// setInItem returns a fault that sets a key of a random item of a list in the platform's file.
func setInItem(code string, value any, key string, list ...string) Fault {
	return setInItemOf(check.PlatformFile, code, value, key, list...)
}

// setInItemOf is like setInItem for a configuration of any kind.
func setInItemOf(kind check.FileKind, code string, value any, key string, list ...string) Fault {
	return Fault{Code: code, Kind: kind, Inject: func(rng *rand.Rand, doc map[string]any) []string {
		return setAt(doc, value, extend(randomItem(rng, doc, list...), key)...)
	}}
}

// set returns a fault that sets the value at a path of the platform's file.
func set(code string, value any, path ...string) Fault {
	return setIn(check.PlatformFile, code, value, path...)
}

// setInOperator is like set for the operator's configuration.
func setInOperator(code string, value any, path ...string) Fault {
	return setIn(check.OperatorFile, code, value, path...)
}

// setIn is like set for a configuration of any kind.
func setIn(kind check.FileKind, code string, value any, path ...string) Fault {
	return Fault{Code: code, Kind: kind, Inject: func(_ *rand.Rand, doc map[string]any) []string {
		return setAt(doc, value, path...)
	}}
}

// duplicateItem returns a fault that appends a copy of a random item of a list. The copy has another identity, but the
// same value of a key.
func duplicateItem(kind check.FileKind, code, key string, list ...string) Fault {
	return Fault{Code: code, Kind: kind, Inject: func(rng *rand.Rand, doc map[string]any) []string {
		all := listAt(doc, list...)
		copied := maps.Clone(objectAt(doc, randomItem(rng, doc, list...)...))
		for identity, value := range map[string]string{"host": "s-ffffffff", "name": "copy"} {
			if _, exists := copied[identity]; exists && identity != key {
				copied[identity] = value
			}
		}
		setAt(doc, append(all, copied), list...)
		if slices.Equal(list, classesPath) {
			extendClassLists(doc)
		}
		return extend(list, strconv.Itoa(len(all)), key)
	}}
}

// extendClassLists appends a value for an additional class to each list that is indexed by class.
func extendClassLists(doc object) {
	for _, key := range classLists {
		values := listAt(doc, extend(domainPath, key)...)
		setAt(doc, append(values, values[0]), extend(domainPath, key)...)
	}
}
