package operatorconfig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/schema"
)

// fileSchema derives the schema on first use.
var fileSchema = sync.OnceValues(schema.For[File])

// JSONSchema returns the schema that Parse validates files against. The schema is shared and must not be changed.
func JSONSchema() (*jsonschema.Schema, error) { return fileSchema() }

// SchemaText returns the JSON Schema of the file (draft 2020-12) as indented text.
func SchemaText() ([]byte, error) {
	s, err := fileSchema()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode schema of operator's configuration: %w", err)
	}
	return append(text, '\n'), nil
}

// Load reads and validates a file, applies defaults, and reads the password files that it names.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operator's configuration: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Telemetry == nil {
		return f, nil
	}
	for i := range f.Telemetry.Collectd {
		if err := f.Telemetry.Collectd[i].loadPassword(filepath.Dir(path)); err != nil {
			return nil, fmt.Errorf("%s: telemetry.collectd[%d].password_file: %w", path, i, err)
		}
	}
	return f, nil
}

// loadPassword reads the password file if one is configured. Its path may be relative to dir.
func (c *Collectd) loadPassword(dir string) error {
	if c.PasswordFile == "" {
		return nil
	}
	path := c.PasswordFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read password file: %w", err)
	}
	c.Password = strings.TrimRight(string(text), "\r\n")
	if c.Password == "" {
		return errNoPassword
	}
	return nil
}

// Parse decodes and validates the text of a file and applies defaults. It doesn't read password files.
func Parse(text []byte) (*File, error) {
	doc, err := schema.Decode(text)
	if err != nil {
		return nil, err
	}
	s, err := fileSchema()
	if err != nil {
		return nil, err
	}
	violations, err := schema.Validate(s, doc)
	if err != nil {
		return nil, err
	}
	if len(violations) > 0 {
		return nil, &KeyError{Key: violations[0].Key(), Reason: violations[0].Reason}
	}
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Telemetry == nil {
		return &f, nil
	}
	f.Telemetry.applyDefaults()
	if err := f.Telemetry.validate(); err != nil {
		return nil, err
	}
	return &f, nil
}
