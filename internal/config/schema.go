package config

import (
	"sync"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/schema"
)

// form is the platform's file as far as a broker reads it.
type form struct {
	Name       string   `json:"name,omitempty" jsonschema:"name in the log"`
	Listen     string   `json:"listen" jsonschema:"address and port for clients; this address only"`
	Seed       string   `json:"seed,omitempty" limits:"pattern=^[0-9a-fA-F]{0,16}$" jsonschema:"for random numbers"`
	Changelog  string   `json:"changelog" jsonschema:"address and port of the change log"`
	PeerListen string   `json:"peer_listen,omitempty" jsonschema:"address and port for other brokers' datagrams"`
	Peers      []string `json:"peers,omitempty" jsonschema:"address and port of every broker of the fleet, by its number"`
	Limits     struct {
		MemoryMB int `json:"memory_mb,omitempty" limits:"min=32,default=192"`
		Sockets  int `json:"sockets,omitempty" limits:"min=64,default=1024"`
	} `json:"limits,omitzero"`
	Known    map[string]any `json:"known,omitempty" jsonschema:"the change log's events at the start"`
	Settings object         `json:"settings" jsonschema:"classes, tenants, engine kinds, limits and rules, as the simulator words them"`
}

// JSONSchema is the schema of the platform's file. The platform says more than a broker reads, so other keys are allowed.
var JSONSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	s, err := schema.For[form]()
	if err != nil {
		return nil, err
	}
	open(s.Properties["settings"])
	for _, p := range []*jsonschema.Schema{s, s.Properties["limits"], s.Properties["known"]} {
		p.AdditionalProperties = nil
	}
	return s, nil
})

// open lets everything be left out below a schema, and other keys be there.
func open(s *jsonschema.Schema) {
	s.Required, s.AdditionalProperties = nil, nil
	for _, p := range s.Properties {
		open(p)
	}
	if s.Items != nil {
		open(s.Items)
	}
}
