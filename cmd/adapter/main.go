// Command adapter hosts instances of the decision module behind the simulator's line protocol on standard
// input and output. It decides nothing itself.
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
