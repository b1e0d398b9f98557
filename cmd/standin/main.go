// Command standin runs the stand-ins of the systems around leverdrum.
package main

import (
	"os"

	"leverdrum/standin"
)

func main() { os.Exit(standin.Main()) }
