// Command wheelcleat is the command line for operators. It manages resources and diagnoses
// requests, and runs development fleets, benchmarks and soak tests.
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
