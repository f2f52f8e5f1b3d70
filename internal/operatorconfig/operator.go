// Package operator reads the operator's own file: what an installation adds to what the platform tells a broker.
// It is JSON, checked against a JSON Schema that is made from the types here, and every error names the file, the
// key and the reason. Without the file nothing of it is on.
package operatorconfig

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/schema"
)

// Variable of the environment that names the file where no flag does.
const Variable = "WHEATLANE_OPERATOR"

// File is the operator's file.
type File struct {
	Schema    string     `json:"$schema,omitempty" jsonschema:"where editors find the schema of this file; not read"`
	Made      string     `json:"$made,omitempty" jsonschema:"from what the file was made; not read"`
	Telemetry *Telemetry `json:"telemetry,omitempty" jsonschema:"figures for Graphite and collectd; absent: none are kept"`
}

// Telemetry says what is kept and where it is sent.
type Telemetry struct {
	IntervalMS  int               `json:"interval_ms,omitempty" limits:"min=1000,max=600000,default=10000" jsonschema:"length of an interval in milliseconds"`
	Cardinality CardinalityLimits `json:"names,omitzero" jsonschema:"how many names have series of their own; all others are told as one"`
	Graphite    []Graphite        `json:"graphite,omitempty" limits:"maxitems=4"`
	Collectd    []Collectd        `json:"collectd,omitempty" limits:"maxitems=4"`
}

// CardinalityLimits bounds the names that have series of their own, at a time.
type CardinalityLimits struct {
	Classes  int `json:"classes,omitempty" limits:"min=1,max=256,default=16"`
	Tenants  int `json:"tenants,omitempty" limits:"min=1,max=1024,default=32"`
	Engines  int `json:"engines,omitempty" limits:"min=1,max=1024,default=32"`
	DataSets int `json:"data_sets,omitempty" limits:"min=1,max=1024,default=32"`
	IdleS    int `json:"idle_s,omitempty" limits:"min=1,max=86400,default=600" jsonschema:"seconds after which a name that was not heard of loses its series"`
}

// Graphite is a carbon server.
type Graphite struct {
	Name           string `json:"name" limits:"minlen=1,maxlen=32,pattern=^[A-Za-z0-9-]+$" jsonschema:"of this destination in the log and in figures"`
	Address        string `json:"address" jsonschema:"IP address and port; names are not looked up"`
	Protocol       string `json:"protocol,omitempty" limits:"enum=plaintext|pickle,default=plaintext"`
	Tags           bool   `json:"tags,omitempty" limits:"default=false" jsonschema:"write ;name=value tags; carbon takes them from 1.1 on"`
	Prefix         string `json:"prefix,omitempty" limits:"default=wheatlane,pattern=^[A-Za-z0-9_-]+(\\.[A-Za-z0-9_-]+)*$" jsonschema:"ahead of each path"`
	BudgetKB       int    `json:"budget_kb,omitempty" limits:"min=64,max=65536,default=512" jsonschema:"memory for what waits while the collector is away"`
	ReplayKBps     int    `json:"replay_kbps,omitempty" limits:"min=1,max=65536,default=64" jsonschema:"KB a second at which that is sent once it is back"`
	WriteTimeoutMS int    `json:"write_timeout_ms,omitempty" limits:"min=100,max=60000,default=5000" jsonschema:"a connection that takes nothing for so long is closed"`
}

// Collectd is a collectd server with the network plugin.
type Collectd struct {
	Name         string `json:"name" limits:"minlen=1,maxlen=32,pattern=^[A-Za-z0-9-]+$" jsonschema:"of this destination in the log and in figures"`
	Address      string `json:"address" jsonschema:"IP address and port; names are not looked up"`
	Security     string `json:"security,omitempty" limits:"enum=none|sign|encrypt,default=none"`
	User         string `json:"user,omitempty" limits:"maxlen=64"`
	PasswordFile string `json:"password_file,omitempty" jsonschema:"file that holds the password; a path is taken from the folder of this file"`
	BudgetKB     int    `json:"budget_kb,omitempty" limits:"min=64,max=65536,default=256" jsonschema:"memory for the one interval that waits"`

	Password string `json:"-"` // what that file holds
}

// Interval is how long figures gather.
func (t *Telemetry) Interval() time.Duration { return time.Duration(t.IntervalMS) * time.Millisecond }

// made is the schema of a file; it is made once, when it is first wanted.
var made = sync.OnceValues(schema.For[File])

// JSONSchema is the schema that a file is checked against.
func JSONSchema() (*jsonschema.Schema, error) { return made() }

// Schema is the JSON Schema of the file (draft 2020-12).
func Schema() ([]byte, error) {
	s, err := made()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return append(text, '\n'), nil
}

// Load reads a file, checks it and fills in defaults.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Telemetry == nil {
		return f, nil
	}
	for i := range f.Telemetry.Collectd {
		c := &f.Telemetry.Collectd[i]
		if c.PasswordFile == "" {
			continue
		}
		secret := c.PasswordFile
		if !filepath.IsAbs(secret) {
			secret = filepath.Join(filepath.Dir(path), secret)
		}
		password, err := os.ReadFile(secret)
		if err != nil {
			return nil, fmt.Errorf("%s: telemetry.collectd[%d].password_file: %w", path, i, err)
		}
		if c.Password = strings.TrimRight(string(password), "\r\n"); c.Password == "" {
			return nil, fmt.Errorf("%s: telemetry.collectd[%d].password_file: it holds no password", path, i)
		}
	}
	return f, nil
}

// Parse checks the text of a file and fills in defaults.
func Parse(text []byte) (*File, error) {
	doc, err := schema.Decode(text)
	if err != nil {
		return nil, err
	}
	s, err := made()
	if err != nil {
		return nil, err
	}
	found, err := schema.Check(s, doc)
	if err != nil {
		return nil, err
	}
	if len(found) > 0 {
		return nil, found[0]
	}
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Telemetry != nil {
		if err := f.Telemetry.complete(); err != nil {
			return nil, err
		}
	}
	return &f, nil
}

// Fault is what is wrong with a key.
type Fault struct{ Key, Reason string }

func (f *Fault) Error() string { return f.Key + ": " + f.Reason }

func orElse[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

// complete fills in defaults and checks what a schema can't say.
func (t *Telemetry) complete() error {
	orElse(&t.IntervalMS, 10_000)
	orElse(&t.Cardinality.Classes, 16)
	orElse(&t.Cardinality.Tenants, 32)
	orElse(&t.Cardinality.Engines, 32)
	orElse(&t.Cardinality.DataSets, 32)
	orElse(&t.Cardinality.IdleS, 600)
	taken := map[string]string{}
	check := func(key, name, address string) error {
		if other, ok := taken[name]; ok {
			return &Fault{key + ".name", fmt.Sprintf("%q is the name of %s", name, other)}
		}
		taken[name] = key
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &Fault{key + ".address", err.Error()}
		}
		return nil
	}
	for i := range t.Graphite {
		g := &t.Graphite[i]
		orElse(&g.Protocol, "plaintext")
		orElse(&g.Prefix, "wheatlane")
		orElse(&g.BudgetKB, 512)
		orElse(&g.ReplayKBps, 64)
		orElse(&g.WriteTimeoutMS, 5000)
		if err := check(fmt.Sprintf("telemetry.graphite[%d]", i), g.Name, g.Address); err != nil {
			return err
		}
	}
	for i := range t.Collectd {
		c := &t.Collectd[i]
		orElse(&c.Security, "none")
		orElse(&c.BudgetKB, 256)
		key := fmt.Sprintf("telemetry.collectd[%d]", i)
		if err := check(key, c.Name, c.Address); err != nil {
			return err
		}
		if c.Security == "none" {
			continue
		}
		if c.User == "" {
			return &Fault{key + ".user", "missing, as security is " + c.Security}
		}
		if c.PasswordFile == "" {
			return &Fault{key + ".password_file", "missing, as security is " + c.Security}
		}
	}
	return nil
}

// Cardinality are the bounds on names, the standard ones where the file has no telemetry.
func (f *File) Cardinality() CardinalityLimits {
	if f.Telemetry != nil {
		return f.Telemetry.Cardinality
	}
	t := Telemetry{}
	_ = t.complete() // there is no destination that could be wrong
	return t.Cardinality
}
