// Command wheelcleatd runs one daemon of wheelcleat in the role given by its settings file: entry,
// agent, router or loader.
//
// Exit codes: 0 after a clean stop, 1 if the daemon failed or aborted requests while it stopped,
// 2 for an invalid command line or settings file.
//
// SIGTERM and SIGINT drain requests and stop the daemon. SIGHUP, or a change of the settings file,
// reloads the settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/loader"
	"github.com/wheelcleat/wheelcleat/daemon/router"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform"
)

// settingsVariable is the environment variable with the path of the settings file. The command
// line takes precedence.
const settingsVariable = "WHEELCLEAT_SETTINGS"

const (
	exitFailed = 1
	exitUsage  = 2
)

// signalChannels holds the channels on which the process receives signals.
type signalChannels struct {
	// stop and reload are separate because signal.Notify drops a signal if the channel is full:
	// with one channel a pending reload would cause a stop to be lost.
	stop, reload chan os.Signal
}

// notifySignals subscribes to the signals. Until then, the default action of SIGTERM and SIGINT
// applies and the process exits with a failure.
func notifySignals() signalChannels {
	s := signalChannels{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func main() {
	signals := notifySignals()
	command := &cli.Command{
		Name:      "wheelcleatd",
		Usage:     "run an entry, agent, router or loader from its settings file",
		ArgsUsage: "[SETTINGS.json]",
		Action:    func(_ context.Context, command *cli.Command) error { return run(command, signals) },
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {
			fmt.Fprintln(os.Stderr, err)
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		var invalid *settings.FileError
		if errors.As(err, &invalid) || errors.Is(err, errUsage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailed)
	}
}

var errUsage = errors.New("usage: wheelcleatd [SETTINGS.json], or set the path of the file in " + settingsVariable +
	"; 'wheelcleat settings example entry' prints an example")

// process is a daemon of any role. If reload is nil, changed settings require a restart.
type process struct {
	start  func() error
	stop   func(context.Context) error
	reload func(settings.File)
	drain  time.Duration
}

func run(command *cli.Command, signals signalChannels) error {
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
	p, err := newProcess(file)
	if err != nil {
		return err
	}
	running, ended := context.WithCancel(context.Background())
	defer ended()
	go clock.MeasureStops(running)
	if err := p.start(); err != nil {
		return err
	}
	limitMemory(memoryLimit(file))
	followSettings(path, p, signals)
	ctx, cancel := context.WithTimeout(context.Background(), p.drain)
	defer cancel()
	return p.stop(ctx)
}

// memoryLimit returns the memory limit of the process in MiB, 0 if it is not known.
func memoryLimit(file settings.File) float64 {
	switch {
	case file.Router != nil:
		return file.Router.Bounds.MemoryMB
	case file.Loader != nil:
		return file.Loader.Bounds.MemoryMB
	default:
		return 0
	}
}

// heapShare is the share of the memory limit that the runtime may use before it collects garbage more often. The
// rest is for data in socket buffers and for what is allocated during a collection.
const heapShare = 0.75

// limitMemory makes the runtime collect garbage before the process reaches a limit in MiB. By default the heap
// grows to twice the live data, and the host would end the process.
func limitMemory(limit float64) {
	const mebibyte = 1 << 20
	if limit > 0 {
		debug.SetMemoryLimit(int64(limit * heapShare * mebibyte))
	}
}

// settingsPath returns the path from the command line, or else from the environment.
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

// followSettings reloads the settings on a reload signal or when the file changes, and returns on a
// stop signal.
func followSettings(path string, p process, signals signalChannels) {
	watcher := settings.NewWatcher(path)
	defer watcher.Stop()
	for {
		select {
		case <-signals.stop:
			return
		case <-signals.reload:
			watcher.Reload()
		case result := <-watcher.Reloads:
			applySettings(p, result)
		}
	}
}

// applySettings passes changed settings to the process. If they are invalid, it reports the error
// and the process keeps the settings in force.
func applySettings(p process, changed settings.ReloadResult) {
	if changed.Err != nil {
		fmt.Fprintf(os.Stderr, "changed settings rejected; keeping those in force: %v\n", changed.Err)
		return
	}
	if p.reload != nil {
		p.reload(changed.File)
	}
}

// newProcess creates the process of the role that the settings name, without starting it.
func newProcess(file settings.File) (process, error) {
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
