// Package description turns a short description of an application into the files that its broker reads. The same
// description always gives the same bytes. It does no I/O.
package description

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/schema"
)

// Application is the description of an application.
type Application struct {
	Schema    string                    `json:"$schema,omitempty" jsonschema:"where editors find the schema of this file; not read"`
	Name      string                    `json:"name" limits:"minlen=1,maxlen=64" jsonschema:"name of the broker in logs and figures"`
	Listen    string                    `json:"listen" jsonschema:"address and port for the application's clients"`
	Changelog string                    `json:"changelog" jsonschema:"address and port of the change log, from which engines are learned"`
	Peers     int                       `json:"peers,omitempty" limits:"min=1,max=1000,default=1" jsonschema:"brokers of the tier, this one included"`
	Position  int                       `json:"position,omitempty" limits:"min=0,max=999,default=0" jsonschema:"the place of this one among them, from 0"`
	Customers []Customer                `json:"customers" limits:"maxitems=256"`
	Classes   []Class                   `json:"classes" limits:"maxitems=64"`
	Engines   []Kind                    `json:"engines" limits:"maxitems=16" jsonschema:"kinds of engine that there may be"`
	Machine   Machine                   `json:"machine,omitzero"`
	Telemetry *operatorconfig.Telemetry `json:"telemetry,omitempty" jsonschema:"as in the operator's file"`
}

// Customer has a share of the service.
type Customer struct {
	Name  string  `json:"name" limits:"minlen=1"`
	Share float64 `json:"share" limits:"min=0,max=1"`
}

// Class is a class of requests.
type Class struct {
	Name     string  `json:"name" limits:"minlen=1"`
	WantedMS float64 `json:"wanted_ms" limits:"min=1" jsonschema:"an answer within it earns the full worth"`
	Stretch  float64 `json:"stretch,omitempty" limits:"min=0,default=0" jsonschema:"the wanted time grows by so much of the work on a thread"`
	GiveUpMS float64 `json:"give_up_ms" limits:"min=1" jsonschema:"clients wait no longer"`
	Worth    float64 `json:"worth" limits:"min=0"`
	Late     float64 `json:"late_worth,omitempty" limits:"min=0,max=1,default=0" jsonschema:"part of the worth of an answer after the wanted time"`
	Repeat   string  `json:"repeat,omitempty" limits:"enum=free|by_key|never,default=free" jsonschema:"free: may run any number of times; by_key: engines drop repeats of a key; never: must not run twice"`
	WindowMS float64 `json:"window_ms,omitempty" limits:"min=0,default=15000" jsonschema:"how long engines drop repeats of a key"`
	Ordered  bool    `json:"ordered,omitempty" limits:"default=false" jsonschema:"requests of one key run one at a time, in order"`
	Threads  int     `json:"threads,omitempty" limits:"min=1,max=256,default=1"`
	Loads    bool    `json:"loads,omitempty" limits:"default=false" jsonschema:"it holds its data set while it runs"`
	Waits    bool    `json:"waits,omitempty" limits:"default=false" jsonschema:"it stands still while a load holds its data set"`
}

// Kind is a kind of engine.
type Kind struct {
	Name     string  `json:"name" limits:"minlen=1"`
	Cores    float64 `json:"cores" limits:"min=1"`
	MemoryMB float64 `json:"memory_mb" limits:"min=1"`
}

// Machine is what a broker may use.
type Machine struct {
	MemoryMB int `json:"memory_mb,omitempty" limits:"min=32,default=192"`
	Sockets  int `json:"sockets,omitempty" limits:"min=64,default=1024"`
}

// What a description does not say: the figures of the rules, as the deployment words them.
const (
	round        = 5 * time.Millisecond
	mostAttempts = 4
	mostRetry    = 500 * time.Millisecond
	connect      = 250 * time.Millisecond
	connIdle     = 30 * time.Second
	streams      = 100
	coldFrom     = 0.33
	warmAfter    = 15 * time.Second
	fallMultiple = 2.5
	fallWindow   = time.Second
	window       = 15000 // ms
)

// JSONSchema is the schema of a description.
var JSONSchema = sync.OnceValues(schema.For[Application])

// Parse reads and checks a description. All faults are told, each a schema.Finding.
func Parse(text []byte) (*Application, []schema.Finding, error) {
	doc, err := schema.Decode(text)
	if err != nil {
		return nil, nil, err
	}
	s, err := JSONSchema()
	if err != nil {
		return nil, nil, err
	}
	found, err := schema.Check(s, doc)
	if err != nil || len(found) > 0 {
		return nil, found, err
	}
	var a Application
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, nil, fmt.Errorf("description: %w", err)
	}
	return &a, nil, nil
}

// Made says from what a file was made, by the name and content of the description.
func Made(name string, text []byte) string {
	return fmt.Sprintf("wheatlane config write %s, sha256 %x; change that and write again", name, sha256.Sum256(text))
}

func orElse[T comparable](v, standard T) T {
	var zero T
	if v == zero {
		return standard
	}
	return v
}

func ns(d time.Duration) int64 { return int64(d) }

func fromMS(v float64) int64 { return int64(v * float64(time.Millisecond)) }

var effects = map[string]string{"": "repeatable", "free": "repeatable", "by_key": "by_key", "never": "once"}

// Broker is the broker's configuration, in the platform's form. Keys are in the order of their names.
func (a *Application) Broker(made string) ([]byte, error) {
	type object = map[string]any
	classes, widths, loads, waits := []object{}, []int{}, []bool{}, []bool{}
	for _, c := range a.Classes {
		o := object{"Name": c.Name, "PromiseNs": fromMS(c.WantedMS), "GiveUpNs": fromMS(c.GiveUpMS), "AimStretch": c.Stretch,
			"Worth": c.Worth, "LateWorth": c.Late, "Effect": effects[c.Repeat], "ByArrival": c.Ordered}
		if c.Repeat == "by_key" {
			o["WindowNs"] = fromMS(orElse(c.WindowMS, window))
		}
		classes = append(classes, o)
		widths, loads, waits = append(widths, orElse(c.Threads, 1)), append(loads, c.Loads), append(waits, c.Waits)
	}
	tenants := []object{}
	for _, c := range a.Customers {
		tenants = append(tenants, object{"Name": c.Name, "Share": c.Share})
	}
	kinds, cores, memory := []string{}, []float64{}, []float64{}
	for _, k := range a.Engines {
		kinds, cores, memory = append(kinds, k.Name), append(cores, k.Cores), append(memory, k.MemoryMB)
	}
	return lines(object{
		"$made": made, "name": a.Name, "listen": a.Listen, "changelog": a.Changelog,
		"limits": object{"memory_mb": orElse(a.Machine.MemoryMB, 192), "sockets": orElse(a.Machine.Sockets, 1024)},
		"settings": object{
			"PeersTotal": orElse(a.Peers, 1), "Position": a.Position, "RoundNs": ns(round), "MachineTypes": kinds,
			"RequestClasses": classes, "Tenants": tenants,
			"Domain": object{"SizeCores": cores, "KindMemoryMb": memory, "WidthByClass": widths, "ClassLoad": loads, "YieldsToLoads": waits,
				"SaysCost": true},
			"Limits": object{"MaxAttempts": mostAttempts, "MaxRetryAfterNs": ns(mostRetry), "RetryAfter": true, "Cancel": true,
				"ParallelTries": true, "ConnectTimeoutNs": ns(connect), "ConnIdleNs": ns(connIdle), "MaxStreams": streams},
			"Rules": object{"ColdFrom": coldFrom, "WarmAfterNs": ns(warmAfter), "FallMultiple": fallMultiple, "FallNs": ns(fallWindow)},
		},
	})
}

// Operator is the operator's file, or nil if the description says nothing of it.
func (a *Application) Operator(made string) ([]byte, error) {
	if a.Telemetry == nil {
		return nil, nil
	}
	return lines(operatorconfig.File{Made: made, Telemetry: a.Telemetry})
}

func lines(v any) ([]byte, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	return append(text, '\n'), nil
}
