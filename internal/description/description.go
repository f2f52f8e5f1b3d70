// Package description generates the configuration files of a broker from a short description of its application. The
// same description always results in the same bytes. The package does no I/O.
package description

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"sync"

	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/schema"
)

// Application describes an application: its clients, and the engines that serve them.
type Application struct {
	Schema      string                    `json:"$schema,omitempty"`
	Name        string                    `json:"name" limits:"minlen=1,maxlen=64"`
	Listen      string                    `json:"listen"`
	Changelog   string                    `json:"changelog"`
	Brokers     int                       `json:"peers,omitempty" limits:"min=1,max=1000,default=1"`
	BrokerIndex int                       `json:"position,omitempty" limits:"min=0,max=999,default=0"`
	Tenants     []Tenant                  `json:"customers" limits:"maxitems=256"`
	Classes     []Class                   `json:"classes" limits:"maxitems=64"`
	EngineKinds []EngineKind              `json:"engines" limits:"maxitems=16"`
	Resources   Resources                 `json:"machine,omitzero"`
	Telemetry   *operatorconfig.Telemetry `json:"telemetry,omitempty"`
}

// FieldDescriptions describes the keys for the schema.
func (Application) FieldDescriptions() map[string]string {
	return map[string]string{
		"$schema":   "where editors find the schema of this file; not read",
		"name":      "name of the broker in logs and metrics",
		"listen":    "address and port for the application's clients",
		"changelog": "address and port of the change log, which lists the engines",
		"peers":     "brokers of the tier, including this one",
		"position":  "the index of this one among them, from 0",
		"engines":   "kinds of engine that may be in service",
		"telemetry": "as in the operator's file",
	}
}

// Tenant describes a customer and its share of the service.
type Tenant struct {
	Name  string  `json:"name" limits:"minlen=1"`
	Share float64 `json:"share" limits:"min=0,max=1"`
}

// Class describes a class of requests.
type Class struct {
	Name                 string  `json:"name" limits:"minlen=1"`
	LatencyObjectiveMS   float64 `json:"wanted_ms" limits:"min=1"`
	ObjectivePerWork     float64 `json:"stretch,omitempty" limits:"min=0,default=0"`
	ClientTimeoutMS      float64 `json:"give_up_ms" limits:"min=1"`
	PriorityWeight       float64 `json:"worth" limits:"min=0"`
	LateWeight           float64 `json:"late_worth,omitempty" limits:"min=0,max=1,default=0"`
	Idempotency          string  `json:"repeat,omitempty" limits:"enum=free|by_key|never,default=free"`
	DedupWindowMS        float64 `json:"window_ms,omitempty" limits:"min=0,default=15000"`
	Ordered              bool    `json:"ordered,omitempty" limits:"default=false"`
	Threads              int     `json:"threads,omitempty" limits:"min=1,max=256,default=1"`
	HoldsDataSetLock     bool    `json:"loads,omitempty" limits:"default=false"`
	BlockedByDataSetLock bool    `json:"waits,omitempty" limits:"default=false"`
}

// FieldDescriptions describes the keys for the schema.
func (Class) FieldDescriptions() map[string]string {
	return map[string]string{
		"wanted_ms":  "latency objective; an answer within it earns the full weight",
		"stretch":    "the objective grows by this fraction of the work on a thread",
		"give_up_ms": "client timeout",
		"late_worth": "fraction of the weight that an answer after the objective earns",
		"repeat":     "free: idempotent; by_key: engines drop duplicates of a key; never: runs once",
		"window_ms":  "how long engines drop duplicates of a key",
		"ordered":    "requests of one key run one at a time, in order",
		"loads":      "it holds the lock of its data set while it runs",
		"waits":      "it is blocked while a load holds the lock of its data set",
	}
}

// EngineKind describes a type of machine that engines run on.
type EngineKind struct {
	Name     string  `json:"name" limits:"minlen=1"`
	Cores    float64 `json:"cores" limits:"min=1"`
	MemoryMB float64 `json:"memory_mb" limits:"min=1"`
}

// Resources limits the memory and the sockets that a broker may use.
type Resources struct {
	MemoryMB int `json:"memory_mb,omitempty" limits:"min=32,default=192"`
	Sockets  int `json:"sockets,omitempty" limits:"min=64,default=1024"`
}

// JSONSchema returns the schema of a description. The schema is shared and must not be changed.
var JSONSchema = sync.OnceValues(schema.For[Application])

// Parse decodes and validates a description. It returns all violations of the schema; the Application is nil if there
// are any.
func Parse(text []byte) (*Application, []schema.Violation, error) {
	doc, err := schema.Decode(text)
	if err != nil {
		return nil, nil, err
	}
	s, err := JSONSchema()
	if err != nil {
		return nil, nil, err
	}
	violations, err := schema.Validate(s, doc)
	if err != nil || len(violations) > 0 {
		return nil, violations, err
	}
	var a Application
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, nil, fmt.Errorf("decode description: %w", err)
	}
	return &a, nil, nil
}

// Provenance returns the text by which a generated file identifies its source: the name and the SHA-256 hash of the
// description.
func Provenance(name string, text []byte) string {
	return fmt.Sprintf(
		"wheatlane config write %s, sha256 %x; change that and write again",
		name,
		sha256.Sum256(text),
	)
}

// OperatorFile generates the operator's configuration. It returns nil if the description has no telemetry.
func (a *Application) OperatorFile(provenance string) ([]byte, error) {
	if a.Telemetry == nil {
		return nil, nil
	}
	return marshal(operatorconfig.File{Provenance: provenance, Telemetry: a.Telemetry})
}

// marshal encodes a file as indented JSON.
func marshal(file any) ([]byte, error) {
	text, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode generated file: %w", err)
	}
	return append(text, '\n'), nil
}
