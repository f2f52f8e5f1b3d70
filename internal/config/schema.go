package config

import (
	"sync"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/schema"
)

// fileSchema describes the platform's file for its JSON Schema; platformFile decodes the file.
type fileSchema struct {
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
	Settings settingsObject `json:"settings"`
}

// settingsDescription describes the settings key in the schema; it is too long for a struct tag.
const settingsDescription = "classes, tenants, engine kinds, limits and rules, as the simulator words them"

// JSONSchema returns the schema of the platform's file. It allows unknown keys, as the file holds more than a broker
// reads. The schema is shared and must not be changed.
var JSONSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	s, err := schema.For[fileSchema]()
	if err != nil {
		return nil, err
	}
	settings := s.Properties["settings"]
	settings.Description = settingsDescription
	relax(settings)
	for _, object := range []*jsonschema.Schema{s, s.Properties["limits"], s.Properties["known"]} {
		object.AdditionalProperties = nil
	}
	return s, nil
})

// relax makes every key below a schema optional and allows unknown keys.
func relax(object *jsonschema.Schema) {
	object.Required, object.AdditionalProperties = nil, nil
	for _, property := range object.Properties {
		relax(property)
	}
	if object.Items != nil {
		relax(object.Items)
	}
}
