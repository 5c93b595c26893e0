// Command wheelcleatd runs one process of wheelcleat, in the role that its
// settings file names.
//
// Exit codes: 0 after a clean stop, 1 when the process failed or had to cut
// requests, 2 for a faulty command line or settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	command := &cli.Command{
		Name:      "wheelcleatd",
		Usage:     "run an entry or an agent from its settings file",
		ArgsUsage: "SETTINGS.json",
		Action:    run,
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {
			fmt.Fprintln(os.Stderr, err)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		var faulty *settings.FileError
		if errors.As(err, &faulty) || errors.Is(err, errUsage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailed)
	}
}

var errUsage = errors.New("usage: wheelcleatd SETTINGS.json; 'wheelcleat settings example entry' prints a file to start from")

// process is what both roles have.
type process struct {
	start func() error
	stop  func(context.Context) error
	drain time.Duration
}

func run(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return errUsage
	}
	file, err := settings.Load(command.Args().First())
	if err != nil {
		return err
	}
	p, err := prepare(file)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := p.start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), p.drain)
	defer cancel()
	return p.stop(ctx)
}

func prepare(file settings.File) (process, error) {
	if file.Entry != nil {
		p, err := entry.New(*file.Entry, entry.Options{})
		if err != nil {
			return process{}, err
		}
		return process{start: p.Start, stop: p.Stop, drain: file.Entry.Drain.Std()}, nil
	}
	p, err := agent.New(*file.Agent, agent.Options{})
	if err != nil {
		return process{}, err
	}
	return process{start: p.Start, stop: p.Stop, drain: file.Agent.Drain.Std()}, nil
}
