package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "currantwood version",
		ShortHelp:  "print the version of this binary",
		Exec: func(context.Context, []string) error {
			fmt.Println(version())
			return nil
		},
	}
}

// version returns the module's version and the Go version that built it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "currantwood (unknown build)"
	}
	return fmt.Sprintf("currantwood %s %s", info.Main.Version, info.GoVersion)
}
