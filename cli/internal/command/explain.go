package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what happened to a request, from the logs of any number of hosts; reads standard input if no file is named",
		ArgsUsage: "REQUEST-ID [FILE...]",
		Action:    explainAction,
	}
}

func explainAction(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return fmt.Errorf("%w: missing request id", errUsage)
	}
	sources, closeAll, err := openLogs(command.Args().Tail(), command.Root().Reader)
	defer closeAll()
	if err != nil {
		return err
	}
	trace, err := explain.Collect(command.Args().First(), sources...)
	if err != nil && !errors.Is(err, explain.ErrNotFound) {
		return err
	}
	if printErr := trace.Print(command.Root().Writer); printErr != nil {
		return printErr
	}
	return err
}

// openLogs opens the log files, or returns the input if no file is named.
func openLogs(paths []string, input io.Reader) (sources []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	if len(paths) == 0 {
		return []io.Reader{input}, closeAll, nil
	}
	for _, path := range paths {
		file, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, closeAll, fmt.Errorf("open log: %w", err)
		}
		files = append(files, file)
		sources = append(sources, file)
	}
	return sources, closeAll, nil
}
