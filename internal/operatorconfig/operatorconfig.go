// Package operatorconfig reads the operator's configuration, which adds features of an installation to the platform's
// configuration of a broker. Without the file, none of these features is enabled. The file is JSON and is validated
// against a JSON Schema that is derived from the types of this package. Every error names the file, the key and the
// reason.
package operatorconfig

import "time"

// EnvPath names the environment variable with the path of the file, which applies where no flag sets one.
const EnvPath = "WHEATLANE_OPERATOR"

// File holds the operator's configuration.
type File struct {
	Schema     string     `json:"$schema,omitempty"`
	Provenance string     `json:"$made,omitempty"`
	Telemetry  *Telemetry `json:"telemetry,omitempty"`
}

// FieldDescriptions describes the keys for the schema.
func (File) FieldDescriptions() map[string]string {
	return map[string]string{
		"$schema":   "where editors find the schema of this file; not read",
		"$made":     "what the file was generated from; not read",
		"telemetry": "metrics for Graphite and collectd; absent: none are kept",
	}
}

// Telemetry configures which metrics the broker records and the destinations that it sends them to.
type Telemetry struct {
	IntervalMS  int               `json:"interval_ms,omitempty" limits:"min=1000,max=600000,default=10000"`
	Cardinality CardinalityLimits `json:"names,omitzero"`
	Graphite    []Graphite        `json:"graphite,omitempty" limits:"maxitems=4"`
	Collectd    []Collectd        `json:"collectd,omitempty" limits:"maxitems=4"`
}

// FieldDescriptions describes the keys for the schema.
func (Telemetry) FieldDescriptions() map[string]string {
	return map[string]string{
		"interval_ms": "length of an interval in milliseconds",
		"names":       "how many names have series of their own; all others share one",
	}
}

// CardinalityLimits limits, for each dimension, the number of names that have time series of their own at a time.
type CardinalityLimits struct {
	Classes  int `json:"classes,omitempty" limits:"min=1,max=256,default=16"`
	Tenants  int `json:"tenants,omitempty" limits:"min=1,max=1024,default=32"`
	Engines  int `json:"engines,omitempty" limits:"min=1,max=1024,default=32"`
	DataSets int `json:"data_sets,omitempty" limits:"min=1,max=1024,default=32"`
	IdleS    int `json:"idle_s,omitempty" limits:"min=1,max=86400,default=600"`
}

// FieldDescriptions describes the keys for the schema.
func (CardinalityLimits) FieldDescriptions() map[string]string {
	return map[string]string{
		"idle_s": "seconds without an observation after which a name loses its series",
	}
}

// Graphite configures a carbon server that receives metrics.
type Graphite struct {
	Name           string `json:"name" limits:"minlen=1,maxlen=32,pattern=^[A-Za-z0-9-]+$"`
	Address        string `json:"address"`
	Protocol       string `json:"protocol,omitempty" limits:"enum=plaintext|pickle,default=plaintext"`
	Tags           bool   `json:"tags,omitempty" limits:"default=false"`
	Prefix         string `json:"prefix,omitempty" limits:"default=wheatlane,pattern=^[A-Za-z0-9_-]+(\\.[A-Za-z0-9_-]+)*$"`
	BudgetKB       int    `json:"budget_kb,omitempty" limits:"min=64,max=65536,default=512"`
	ReplayKBps     int    `json:"replay_kbps,omitempty" limits:"min=1,max=65536,default=64"`
	WriteTimeoutMS int    `json:"write_timeout_ms,omitempty" limits:"min=100,max=60000,default=5000"`
}

// FieldDescriptions describes the keys for the schema.
func (Graphite) FieldDescriptions() map[string]string {
	return map[string]string{
		"name":             "of this destination in the log and in metrics",
		"address":          "IP address and port; names are not looked up",
		"tags":             "write ;name=value tags; carbon takes them from 1.1 on",
		"prefix":           "ahead of each path",
		"budget_kb":        "memory for intervals that wait while the collector is unreachable",
		"replay_kbps":      "KB a second at which these are sent once it is reachable",
		"write_timeout_ms": "a connection without progress for this long is closed",
	}
}

// Collectd configures a collectd server that receives metrics with its network plugin.
type Collectd struct {
	Name         string `json:"name" limits:"minlen=1,maxlen=32,pattern=^[A-Za-z0-9-]+$"`
	Address      string `json:"address"`
	Security     string `json:"security,omitempty" limits:"enum=none|sign|encrypt,default=none"`
	User         string `json:"user,omitempty" limits:"maxlen=64"`
	PasswordFile string `json:"password_file,omitempty"`
	BudgetKB     int    `json:"budget_kb,omitempty" limits:"min=64,max=65536,default=256"`

	Password string `json:"-"` // content of PasswordFile, set by Load
}

// FieldDescriptions describes the keys for the schema.
func (Collectd) FieldDescriptions() map[string]string {
	return map[string]string{
		"name":          "of this destination in the log and in metrics",
		"address":       "IP address and port; names are not looked up",
		"password_file": "file with the password; a path is relative to the directory of this file",
		"budget_kb":     "memory for the one interval that waits",
	}
}

// Interval returns the length of a reporting interval.
func (t *Telemetry) Interval() time.Duration { return time.Duration(t.IntervalMS) * time.Millisecond }

// Cardinality returns the limits of the file, or the default limits if the file has no telemetry.
func (f *File) Cardinality() CardinalityLimits {
	if f.Telemetry != nil {
		return f.Telemetry.Cardinality
	}
	var limits CardinalityLimits
	limits.applyDefaults()
	return limits
}
