// Command standin runs simulations of the systems around leverdrum, for tests.
package main

import (
	"os"

	"leverdrum/standin"
)

func main() { os.Exit(standin.Main()) }
