package daemon

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"leverdrum/internal/build"
	"leverdrum/level"
)

type versionCommand struct{}

func (*versionCommand) Name() string { return "version" }
func (*versionCommand) Synopsis() string {
	return "print the build and the newest level that it supports"
}
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("build %s, %v\n", build.Name(), level.Newest)
	return subcommands.ExitSuccess
}
