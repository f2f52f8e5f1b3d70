package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/config"
	"wheatlane/internal/description"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
)

// schemaSource describes a type of file and its schema.
type schemaSource struct {
	file      string // name of the type in output
	schema    func() (*jsonschema.Schema, error)
	variables map[string]string // environment variables that take precedence over a key, by key
}

// schemaSources lists the types of file whose keys can be explained.
var schemaSources = []schemaSource{
	{file: "an operator's file", schema: operatorconfig.JSONSchema},
	{
		file:      "a broker's configuration",
		schema:    config.JSONSchema,
		variables: map[string]string{"name": "RELAY_NAME", "listen": "RELAY_LISTEN"},
	},
	{file: "a description of an application", schema: description.JSONSchema},
}

func configExplainCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "explain KEY",
		Short: "Explain a key: its meaning, bounds and default, and where its value comes from",
		Long: `Explain a key such as 'telemetry.graphite.budget_kb' in every file that has it. The key of a list
item follows that of the list, without an index. With --file, the values that the file gives the key are printed
with their places.`,
		Args: cli.CheckArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error { return runExplain(c, args[0], file) },
	}
	c.Flags().StringVar(&file, "file", "", "a file that may give the key a value")
	return c
}

// runExplain prints the meaning of a key in each type of file that has it and, unless file is empty, its values in
// that file.
func runExplain(c *cobra.Command, key, file string) error {
	out := cli.Stdout(c)
	path := strings.Split(key, ".")
	found := false
	for _, source := range schemaSources {
		root, err := source.schema()
		if err != nil {
			return err
		}
		s := schemaAt(root, path)
		if s == nil {
			continue
		}
		found = true
		out.Printf("%s, in %s\n", key, source.file)
		printSchema(out, s)
		printVariable(out, source.variables[key])
	}
	if !found {
		return fmt.Errorf("no file has a key %q", key)
	}
	if file != "" {
		if err := printValues(c, out, file, path); err != nil {
			return err
		}
	}
	return out.Err()
}

// printVariable prints the environment variable that takes precedence over a key, if there is one.
func printVariable(out *cli.Output, name string) {
	if name == "" {
		return
	}
	out.Printf("  takes precedence: the variable %s", name)
	if value, set := os.LookupEnv(name); set {
		out.Printf(", which is %q", value)
	}
	out.Println()
}

// printValues prints the values of a key in a file with their positions.
func printValues(c *cobra.Command, out *cli.Output, file string, path []string) error {
	text, err := readConfigFile(file)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	root, _, err := jsontext.Parse(text)
	if err != nil {
		return fmt.Errorf("%s:%w", file, err)
	}
	values := valuesAt(root, path)
	for _, n := range values {
		out.Printf("%s:%d:%d: %v\n", file, n.Position.Line, n.Position.Column, n.Any())
	}
	if len(values) == 0 {
		out.Printf("%s does not set it: the default applies\n", file)
	}
	return nil
}

// schemaAt returns the schema of the key at path, nil if there is none. A path has no list indices: it continues in
// the schema of the items.
func schemaAt(s *jsonschema.Schema, path []string) *jsonschema.Schema {
	for _, key := range path {
		for s != nil && s.Items != nil {
			s = s.Items
		}
		if s == nil {
			return nil
		}
		s = s.Properties[key]
	}
	return s
}

// valuesAt returns the values of the key at path. A path has no list indices: it continues in each item.
func valuesAt(n *jsontext.Node, path []string) []*jsontext.Node {
	switch {
	case n == nil:
		return nil
	case len(path) == 0:
		return []*jsontext.Node{n}
	case n.Kind == jsontext.Array:
		var values []*jsontext.Node
		for _, item := range n.Items {
			values = append(values, valuesAt(item, path)...)
		}
		return values
	}
	return valuesAt(n.Get(path[0]), path[1:])
}

// printSchema prints the meaning, type, default and bounds of a key.
func printSchema(out *cli.Output, s *jsonschema.Schema) {
	line := func(label, text string) {
		if text != "" {
			out.Printf("  %s: %s\n", label, text)
		}
	}
	line("meaning", s.Description)
	line("type", s.Type)
	line("default", string(s.Default))
	if s.Minimum != nil {
		line("min", fmt.Sprint(*s.Minimum))
	}
	if s.Maximum != nil {
		line("max", fmt.Sprint(*s.Maximum))
	}
	if len(s.Enum) > 0 {
		line("one of", strings.Trim(fmt.Sprintf("%q", s.Enum), "[]"))
	}
	line("pattern", s.Pattern)
	if len(s.Properties) > 0 {
		line("keys", strings.Join(slices.Sorted(maps.Keys(s.Properties)), ", "))
	}
}
