// Command wheelcleat is the operators' command line, and runs small fleets to
// try things out.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/wheelcleat/wheelcleat/cli/internal/command"
)

func main() {
	err := command.New().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wheelcleat:", err)
	}
	os.Exit(command.ExitCode(err))
}
