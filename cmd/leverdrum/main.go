// Command leverdrum is the operators' command-line tool.
package main

import (
	"os"

	"leverdrum/command"
)

func main() { os.Exit(command.Main(os.Stdout, os.Stderr)) }
