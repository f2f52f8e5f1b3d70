// Command wheatlane-tools runs the commands of wheatlane that are not part of the broker's program: the emulators, the
// page of charts and the demo. wheatlane starts it for these commands.
package main

import "wheatlane/internal/cli"

func main() {
	root := cli.Root()
	root.Short = "The emulators, the page of charts and the demo of wheatlane"
	root.AddCommand(emulateCommand(), reportCommand(), demoCommand())
	cli.Execute(root)
}
