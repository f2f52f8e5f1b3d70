package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// output prints what a command has to say. The first error ends the output and is kept for err.
type output struct {
	w     io.Writer
	first error
}

// stdout returns the standard output of a command.
func stdout(c *cobra.Command) *output { return &output{w: c.OutOrStdout()} }

func (o *output) printf(format string, args ...any) {
	if o.first == nil {
		_, o.first = fmt.Fprintf(o.w, format, args...)
	}
}

func (o *output) println(args ...any) {
	if o.first == nil {
		_, o.first = fmt.Fprintln(o.w, args...)
	}
}

// err returns the first error of printing.
func (o *output) err() error { return o.first }
