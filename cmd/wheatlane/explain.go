package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
	"github.com/spf13/cobra"

	"wheatlane/internal/config"
	"wheatlane/internal/description"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
)

// schemas are those of all files that are read, by what they are of.
var schemas = []struct {
	of   string
	make func() (*jsonschema.Schema, error)
}{
	{"an operator's file", operatorconfig.JSONSchema},
	{"a broker's configuration", config.JSONSchema},
	{"a description of an application", description.JSONSchema},
}

// variables are what of the environment goes before a key of a broker's configuration.
var variables = map[string]string{"name": "RELAY_NAME", "listen": "RELAY_LISTEN"}

func explainCommand() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "explain KEY", Short: "Say what a key means, its bounds and default, and where its value comes from",
		Long: `Say what a key means, as in 'telemetry.graphite.budget_kb', in every file that has it. Lists are passed over: the key of an
item stands behind that of its list. With --file, the values that the file gives it are told, with their places.`,
		Args: takes(cobra.ExactArgs(1)), RunE: func(c *cobra.Command, args []string) error { return explain(c, args[0], file) }}
	c.Flags().StringVar(&file, "file", "", "a file that may give it a value")
	return c
}

func explain(c *cobra.Command, key, file string) error {
	w := c.OutOrStdout()
	path := strings.Split(key, ".")
	found := false
	for _, s := range schemas {
		root, err := s.make()
		if err != nil {
			return err
		}
		at := below(root, path)
		if at == nil {
			continue
		}
		found = true
		fmt.Fprintf(w, "%s, in %s\n", key, s.of)
		say(w, at)
		if v := variables[key]; v != "" && s.of == "a broker's configuration" {
			fmt.Fprintf(w, "  goes before it: the variable %s", v)
			if now, set := os.LookupEnv(v); set {
				fmt.Fprintf(w, ", which is %q", now)
			}
			fmt.Fprintln(w)
		}
	}
	if !found {
		return fmt.Errorf("no file has a key %q", key)
	}
	if file == "" {
		return nil
	}
	text, err := readFile(file)
	if err != nil {
		return &usageError{c.CommandPath(), err}
	}
	root, _, err := jsontext.Parse(text)
	if err != nil {
		return fmt.Errorf("%s:%w", file, err)
	}
	values := 0
	walk(root, path, func(n *jsontext.Node) {
		values++
		fmt.Fprintf(w, "%s:%d:%d: %v\n", file, n.Place.Line, n.Place.Column, n.Any())
	})
	if values == 0 {
		fmt.Fprintf(w, "%s does not give it: the default holds\n", file)
	}
	return nil
}

// below is the schema at a path, through lists, or nil.
func below(s *jsonschema.Schema, path []string) *jsonschema.Schema {
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

// walk calls f with each value at a path, through lists.
func walk(n *jsontext.Node, path []string, f func(*jsontext.Node)) {
	switch {
	case n == nil:
	case len(path) == 0:
		f(n)
	case n.Kind == jsontext.List:
		for _, item := range n.Items {
			walk(item, path, f)
		}
	default:
		walk(n.Get(path[0]), path[1:], f)
	}
}

// say tells what a schema says of a value.
func say(w io.Writer, s *jsonschema.Schema) {
	line := func(what, text string) {
		if text != "" {
			fmt.Fprintf(w, "  %s: %s\n", what, text)
		}
	}
	line("meaning", s.Description)
	line("type", s.Type)
	line("default", string(s.Default))
	if s.Minimum != nil {
		line("least", fmt.Sprint(*s.Minimum))
	}
	if s.Maximum != nil {
		line("most", fmt.Sprint(*s.Maximum))
	}
	if len(s.Enum) > 0 {
		line("one of", strings.Trim(fmt.Sprintf("%q", s.Enum), "[]"))
	}
	line("pattern", s.Pattern)
	if len(s.Properties) > 0 {
		line("keys", strings.Join(slices.Sorted(maps.Keys(s.Properties)), ", "))
	}
}
