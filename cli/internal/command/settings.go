package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "validate settings files and print examples",
		Commands: []*cli.Command{
			{Name: "check", Usage: "validate a settings file; prints a line per problem and exits with 2 if it is invalid", ArgsUsage: "FILE", Action: settingsCheck},
			{Name: "example", Usage: "print an example settings file", ArgsUsage: "entry|agent|router|loader", Action: settingsExample},
		},
	}
}

func settingsCheck(_ context.Context, command *cli.Command) error {
	path, err := oneArgument(command, "settings file")
	if err != nil {
		return err
	}
	file, err := settings.Load(path)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "%s: valid settings for role %s\n", path, file.Role())
	return nil
}

func settingsExample(_ context.Context, command *cli.Command) error {
	role, err := oneArgument(command, "role: entry, agent, router or loader")
	if err != nil {
		return err
	}
	data, err := settings.Example(settings.Role(role))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	_, err = command.Root().Writer.Write(data)
	return err
}
