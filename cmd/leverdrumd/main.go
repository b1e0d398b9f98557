// Command leverdrumd is the daemon of a box.
package main

import (
	"os"

	"leverdrum/daemon"
)

func main() { os.Exit(daemon.Main()) }
