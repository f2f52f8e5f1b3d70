// Command adapter runs instances of the decision module behind the simulator's line protocol on standard input and
// output. All decisions are made by the module.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
