package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check settings files and print examples",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a settings file; exit 2 and a line for each fault", ArgsUsage: "FILE", Action: settingsCheck},
			{Name: "example", Usage: "print a settings file to start from", ArgsUsage: "entry|agent|router|loader", Action: settingsExample},
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
	_, _ = fmt.Fprintf(command.Root().Writer, "%s: good settings for role %s\n", path, file.Role())
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
