// Command wheelcleatd runs one process of wheelcleat, in the role that its
// settings file names.
//
// Exit codes: 0 after a clean stop, 1 when the process failed or had to cut
// requests, 2 for a faulty command line or settings file.
//
// SIGTERM and SIGINT stop the process and let requests finish. SIGHUP, and a
// settings file that changed without a signal, have it read its settings again.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/loader"
	"github.com/wheelcleat/wheelcleat/daemon/router"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform"
)

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "WHEELCLEAT_SETTINGS"

const (
	exitFailed = 1
	exitUsage  = 2
)

// signals are those that a process takes.
type signals struct {
	// stop and reload have a channel each: in one for both a stop that came while a reload
	// waited there was dropped, and the process never ended.
	stop, reload chan os.Signal
}

// takeSignals has signals come to the process. Before that a stop ends it with a failure.
func takeSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func main() {
	taken := takeSignals()
	command := &cli.Command{
		Name:      "wheelcleatd",
		Usage:     "run an entry, agent, router or loader from its settings file",
		ArgsUsage: "[SETTINGS.json]",
		Action:    func(_ context.Context, command *cli.Command) error { return run(command, taken) },
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

var errUsage = errors.New("usage: wheelcleatd [SETTINGS.json], or the file's path in " + settingsVariable +
	"; 'wheelcleat settings example entry' prints a file to start from")

// process is what all roles have. A role without reload keeps its settings
// until it is started again.
type process struct {
	start  func() error
	stop   func(context.Context) error
	reload func(settings.File)
	drain  time.Duration
}

func run(command *cli.Command, taken signals) error {
	log.SetFlags(0)
	log.SetOutput(telemetry.NewStandardLogWriter(telemetry.NewBoundedWriter(os.Stdout)))
	path, err := settingsPath(command)
	if err != nil {
		return err
	}
	file, err := settings.Load(path)
	if err != nil {
		return err
	}
	p, err := prepare(file)
	if err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	followSettings(path, p, taken)
	ctx, cancel := context.WithTimeout(context.Background(), p.drain)
	defer cancel()
	return p.stop(ctx)
}

// settingsPath takes the path from the command line or the environment.
func settingsPath(command *cli.Command) (string, error) {
	switch path := os.Getenv(settingsVariable); {
	case command.Args().Len() == 1:
		return command.Args().First(), nil
	case command.Args().Len() == 0 && path != "":
		return path, nil
	default:
		return "", errUsage
	}
}

// followSettings reads the settings again when told to or when the file has
// changed, until the process is to stop.
func followSettings(path string, p process, taken signals) {
	watcher := settings.NewWatcher(path)
	defer watcher.Stop()
	for {
		select {
		case <-taken.stop:
			return
		case <-taken.reload:
			watcher.Reload()
		case result := <-watcher.Reloads:
			applySettings(p, result)
		}
	}
}

// applySettings hands changed settings on. Faulty ones are reported and the
// last good ones stay in force.
func applySettings(p process, changed settings.ReloadResult) {
	if changed.Err != nil {
		fmt.Fprintf(os.Stderr, "settings not taken, the last good ones stay in force: %v\n", changed.Err)
		return
	}
	if p.reload != nil {
		p.reload(changed.File)
	}
}

func prepare(file settings.File) (process, error) {
	switch file.Role() {
	case settings.RoleEntry:
		p, err := entry.New(*file.Entry, entry.Options{})
		if err != nil {
			return process{}, err
		}
		return process{start: p.Start, stop: p.Stop, drain: file.Entry.Drain.Std()}, nil
	case settings.RoleRouter:
		p, err := router.New(*file.Router, router.Options{Provider: platform.New, LogOutput: os.Stdout})
		if err != nil {
			return process{}, err
		}
		return process{start: p.Start, stop: p.Stop, reload: p.Reload, drain: file.Router.Drain.Std()}, nil
	case settings.RoleLoader:
		p, err := loader.New(*file.Loader, loader.Options{Provider: platform.New, LogOutput: os.Stdout})
		if err != nil {
			return process{}, err
		}
		return process{start: p.Start, stop: p.Stop, reload: p.Reload, drain: file.Loader.Drain.Std()}, nil
	default:
		p, err := agent.New(*file.Agent, agent.Options{})
		if err != nil {
			return process{}, err
		}
		return process{start: p.Start, stop: p.Stop, drain: file.Agent.Drain.Std()}, nil
	}
}
