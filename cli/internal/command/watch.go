package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
)

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print changes of resources as they take effect",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.UintFlag{Name: "after", Usage: "start after this `REVISION`; default: the current one"},
		},
		Action: watch,
	}
}

// watchRetryDelay is the delay before an interrupted watch is resumed.
const watchRetryDelay = 500 * time.Millisecond

func watch(ctx context.Context, command *cli.Command) error {
	c := resourceClient(command)
	after := uint64(command.Uint("after"))
	if !command.IsSet("after") {
		list, err := c.List(ctx, api.KindService)
		if err != nil {
			return err
		}
		after = list.Revision
	}
	out := command.Root().Writer
	for {
		err := c.Watch(ctx, after, func(event api.Event) error {
			after = max(after, event.Revision)
			if wantsJSON(command) {
				return json.NewEncoder(out).Encode(event)
			}
			if event.Type != api.EventBookmark {
				_, _ = fmt.Fprintf(out, "%d %s %s/%s %s\n", event.Revision, event.Type, event.Resource.Kind.Plural(), event.Resource.Name, eventSummary(event))
			}
			return nil
		})
		var problem *api.Problem
		if ctx.Err() != nil || errors.As(err, &problem) {
			return err
		}
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
			return nil
		}
	}
}

func eventSummary(event api.Event) string {
	if event.Type != api.EventPut {
		return ""
	}
	return summary(event.Resource)
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "follow the rollout of the declared version of a service",
		Commands: []*cli.Command{{
			Name: "status", Usage: "show the progress in each data hall", ArgsUsage: "SERVICE",
			Flags: []cli.Flag{
				outputFlag(),
				&cli.BoolFlag{Name: "wait", Usage: "wait until all halls are done; fails if one halts"},
				&cli.DurationFlag{Name: "timeout", Value: 10 * time.Minute, Usage: "maximum `DURATION` to wait"},
			},
			Action: rolloutStatus,
		}},
	}
}

// statusInterval is the poll interval of rollout status --wait.
const statusInterval = 200 * time.Millisecond

func rolloutStatus(ctx context.Context, command *cli.Command) error {
	service, err := oneArgument(command, "service")
	if err != nil {
		return err
	}
	if !command.Bool("wait") {
		status, err := resourceClient(command).Rollout(ctx, service)
		if err != nil {
			return err
		}
		return showStatus(command, status)
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	status, err := WaitRollout(ctx, resourceClient(command), service, newProgress(command))
	if err != nil {
		return err
	}
	return showStatus(command, status)
}

func showStatus(command *cli.Command, status *api.RolloutStatus) error {
	if wantsJSON(command) {
		return writeJSON(command.Root().Writer, status)
	}
	for _, line := range StatusLines(status) {
		_, _ = fmt.Fprintln(command.Root().Writer, line)
	}
	return nil
}

// StatusLines formats the status of a rollout as text.
func StatusLines(status *api.RolloutStatus) []string {
	state := "in progress"
	if status.Done {
		state = "done"
	}
	lines := []string{fmt.Sprintf("service %s, version %s: %s", status.Service, status.Version, state)}
	for _, hall := range status.Halls {
		line := fmt.Sprintf("  hall %s: %d of %d ready, %d on another version, wave %d of %d", hall.Hall, hall.Ready, hall.Wanted, hall.Old, hall.OpenWave, hall.Waves)
		if hall.ChunksWanted > 0 && hall.ChunksHeld < hall.ChunksWanted {
			line += fmt.Sprintf(", %d%% fetched", 100*hall.ChunksHeld/hall.ChunksWanted)
		}
		if hall.Halted != "" {
			line += ", halted: " + hall.Halted
		}
		if hall.SecondsSinceSeen > 5 {
			line += fmt.Sprintf(", last seen %.0f s ago", hall.SecondsSinceSeen)
		}
		lines = append(lines, line)
	}
	return lines
}

// WaitRollout polls the status of a rollout until it is done, and passes each status to show. It
// fails if a hall halts or the service does not exist, and retries other errors until ctx ends.
func WaitRollout(ctx context.Context, c *client.Client, service string, show func(*api.RolloutStatus)) (*api.RolloutStatus, error) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		status, err := c.Rollout(ctx, service)
		if err == nil {
			show(status)
			if status.Done {
				return status, nil
			}
			for _, hall := range status.Halls {
				if hall.Halted != "" {
					return status, fmt.Errorf("rollout of %s halted in %s: %s; declare the previous version to roll back, or a new one", service, hall.Hall, hall.Halted)
				}
			}
		}
		var problem *api.Problem
		if errors.As(err, &problem) && problem.Code == api.CodeNotFound {
			return nil, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return status, fmt.Errorf("rollout of %s is not done: %w", service, ctx.Err())
		}
	}
}

const barWidth = 30

// newProgress returns a function that prints the progress of a rollout: a bar on a terminal, and
// otherwise a line per change.
func newProgress(command *cli.Command) func(*api.RolloutStatus) {
	out := command.Root().ErrWriter
	terminal := onTerminal(out)
	last := ""
	return func(status *api.RolloutStatus) {
		ready, wanted := 0, 0
		for _, hall := range status.Halls {
			ready += hall.Ready
			wanted += hall.Wanted
		}
		line := fmt.Sprintf("%s %s: %d of %d hosts ready", status.Service, status.Version, ready, wanted)
		if line == last {
			return
		}
		last = line
		if !terminal {
			_, _ = fmt.Fprintln(out, line)
			return
		}
		done := 0
		if wanted > 0 {
			done = barWidth * ready / wanted
		}
		bar := strings.Repeat("#", min(done, barWidth)) + strings.Repeat("-", barWidth-min(done, barWidth))
		_, _ = fmt.Fprintf(out, "\r[%s] %s", bar, line)
		if status.Done {
			_, _ = fmt.Fprintln(out)
		}
	}
}
