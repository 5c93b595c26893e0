// Package command implements the subcommands of wheelcleat. The binary in cli/cmd/wheelcleat runs
// New and exits with ExitCode.
//
// Commands write results to the Writer and progress to the ErrWriter of the root command. Errors of
// the command line or of files wrap errUsage, so that scripts can tell them from failures.
package command

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// Exit codes of wheelcleat.
const (
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid, and that nothing was sent.
	ExitUsage = 2
	// ExitChanges means that diff found differences.
	ExitChanges = 3
)

// errUsage is wrapped by errors of the command line.
var errUsage = errors.New("usage")

// errChanges is returned by diff if there are differences.
var errChanges = errors.New("differences found")

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	var invalid *settings.FileError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errChanges):
		return ExitChanges
	case errors.As(err, &invalid), errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:    "wheelcleat",
		Usage:   "manage, observe and test model distribution and routing",
		Version: version(),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`URL` of the operators' address of an entry; may be repeated", Sources: cli.EnvVars("WHEELCLEAT_ENTRY"), Value: []string{"http://127.0.0.1:7001"}},
			&cli.StringFlag{Name: "key", Usage: "operator's bearer `KEY`", Sources: cli.EnvVars("WHEELCLEAT_KEY")},
		},
		Commands: []*cli.Command{
			applyCommand(), diffCommand(), getCommand(), deleteCommand(), watchCommand(), rolloutCommand(),
			explainCommand(), suspectsCommand(), settingsCommand(), devCommand(), standinsCommand(), benchCommand(), soakCommand(),
		},
		// The caller prints the error and sets the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// version returns the revision that the binary was built from, or else the version of the module.
func version() string {
	const unknown = "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return cmp.Or(info.Main.Version, unknown)
}

// resourceClient returns a client for the entries given on the command line.
func resourceClient(command *cli.Command) *client.Client {
	return &client.Client{Entries: command.StringSlice("entry"), Key: command.String("key")}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output `FORMAT`: table or json", Validator: func(format string) error {
		if format != "table" && format != "json" {
			return fmt.Errorf("%w: -o %q: use table or json", errUsage, format)
		}
		return nil
	}}
}

func wantsJSON(command *cli.Command) bool { return command.String("output") == "json" }

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes aligned columns.
func table(w io.Writer, write func(*tabwriter.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(t)
	return t.Flush()
}

// onTerminal reports whether w is a terminal.
func onTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// oneArgument returns the argument of a command that takes exactly one.
func oneArgument(command *cli.Command, what string) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%w: give exactly one %s", errUsage, what)
	}
	return command.Args().First(), nil
}

// kindArgument parses a kind such as "models".
func kindArgument(text string) (api.Kind, error) {
	kind, err := api.KindFromPlural(text)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	return kind, nil
}
