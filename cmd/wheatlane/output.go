package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// output prints the output of a command. After the first error, which err returns, nothing more is printed.
type output struct {
	w        io.Writer
	firstErr error
}

// stdout returns the standard output of a command.
func stdout(c *cobra.Command) *output { return &output{w: c.OutOrStdout()} }

func (o *output) printf(format string, args ...any) {
	if o.firstErr == nil {
		_, o.firstErr = fmt.Fprintf(o.w, format, args...)
	}
}

func (o *output) println(args ...any) {
	if o.firstErr == nil {
		_, o.firstErr = fmt.Fprintln(o.w, args...)
	}
}

// err returns the first error of printing.
func (o *output) err() error { return o.firstErr }
