package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/cli/internal/declare"
)

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "filename", Aliases: []string{"f"}, Required: true, Usage: "`FILE` or directory of declarations"}
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "delete resources that are not declared"}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "apply declarations from a file or directory",
		Flags: []cli.Flag{
			fileFlag(), pruneFlag(), outputFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "validate at the entry without writing"},
		},
		Action: apply,
	}
}

// applyResult is a line of the JSON output of apply.
type applyResult struct {
	Change   declare.ChangeType `json:"change"`
	Kind     api.Kind           `json:"kind"`
	Name     string             `json:"name"`
	Revision uint64             `json:"revision,omitempty"`
	DryRun   bool               `json:"dryRun,omitempty"`
}

func apply(ctx context.Context, command *cli.Command) error {
	changes, err := plan(ctx, command)
	if err != nil {
		return err
	}
	dryRun := command.Bool("dry-run")
	out := command.Root().Writer
	return declare.Apply(ctx, resourceClient(command), changes, dryRun, func(change declare.Change, accepted *api.Resource) {
		line := applyResult{Change: change.Type, Kind: change.Kind, Name: change.Name, DryRun: dryRun}
		if accepted != nil && change.Type != declare.ChangeDelete {
			line.Revision = accepted.Revision
		}
		if wantsJSON(command) {
			_ = json.NewEncoder(out).Encode(line)
			return
		}
		note := ""
		if dryRun {
			note = " (dry run)"
		} else if line.Revision != 0 {
			note = fmt.Sprintf(" at revision %d", line.Revision)
		}
		_, _ = fmt.Fprintf(out, "%s %s/%s%s\n", line.Change, line.Kind.Plural(), line.Name, note)
	})
}

// plan loads the declarations given on the command line and compares them with the current
// resources.
func plan(ctx context.Context, command *cli.Command) ([]declare.Change, error) {
	all, err := declare.Load(command.String("filename"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return declare.Plan(ctx, resourceClient(command), all, command.Bool("prune"))
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:   "diff",
		Usage:  "show what apply would change; exits with 3 if there are changes",
		Flags:  []cli.Flag{fileFlag(), pruneFlag(), outputFlag()},
		Action: diff,
	}
}

func diff(ctx context.Context, command *cli.Command) error {
	changes, err := plan(ctx, command)
	if err != nil {
		return err
	}
	differing := changes[:0:0]
	for _, change := range changes {
		if change.Type != declare.ChangeNone {
			differing = append(differing, change)
		}
	}
	out := command.Root().Writer
	if wantsJSON(command) {
		if err := writeJSON(out, differing); err != nil {
			return err
		}
	} else {
		for _, change := range differing {
			_, _ = fmt.Fprintf(out, "%s %s/%s\n", change.Type, change.Kind.Plural(), change.Name)
			for _, line := range lineDiff(specLines(change.Current), specLines(change.Desired)) {
				_, _ = fmt.Fprintln(out, "  "+line)
			}
		}
	}
	if len(differing) > 0 {
		return errChanges
	}
	return nil
}

// specLines returns a resource's spec as indented JSON lines.
func specLines(r *api.Resource) []string {
	if r == nil {
		return nil
	}
	data, err := json.MarshalIndent(r.Spec(), "", "  ")
	if err != nil {
		return []string{err.Error()}
	}
	return strings.Split(string(data), "\n")
}

// lineDiff returns all lines of both texts, with removed lines marked by - and added ones by +. It
// computes the longest common subsequence in quadratic time, since specs are short.
func lineDiff(old, desired []string) []string {
	common := make([][]int, len(old)+1)
	for i := range common {
		common[i] = make([]int, len(desired)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(desired) - 1; j >= 0; j-- {
			if old[i] == desired[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(old) || j < len(desired) {
		switch {
		case i < len(old) && j < len(desired) && old[i] == desired[j]:
			lines = append(lines, "  "+old[i])
			i++
			j++
		case j >= len(desired) || i < len(old) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, "- "+old[i])
			i++
		default:
			lines = append(lines, "+ "+desired[j])
			j++
		}
	}
	return lines
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "list the resources of a kind, or show one of them", ArgsUsage: "models|services|accounts [NAME]",
		Flags: []cli.Flag{outputFlag()}, Action: get,
	}
}

func get(ctx context.Context, command *cli.Command) error {
	kind, err := kindArgument(command.Args().First())
	if err != nil {
		return err
	}
	var items []api.Resource
	if name := command.Args().Get(1); name != "" {
		found, err := resourceClient(command).Get(ctx, kind, name)
		if err != nil {
			return err
		}
		if wantsJSON(command) {
			return writeJSON(command.Root().Writer, found)
		}
		items = []api.Resource{*found}
	} else {
		list, err := resourceClient(command).List(ctx, kind)
		if err != nil {
			return err
		}
		if wantsJSON(command) {
			return writeJSON(command.Root().Writer, list)
		}
		items = list.Items
	}
	return table(command.Root().Writer, func(t *tabwriter.Writer) {
		_, _ = fmt.Fprintln(t, "NAME\tREVISION\tDECLARES")
		for i := range items {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\n", items[i].Name, items[i].Revision, summary(&items[i]))
		}
	})
}

// summary describes what a resource declares in a few words.
func summary(r *api.Resource) string {
	switch r.Kind {
	case api.KindModel:
		names := make([]string, len(r.Model.Versions))
		for i, version := range r.Model.Versions {
			names[i] = version.Name
		}
		return fmt.Sprintf("versions %s, %d adapters", strings.Join(names, " "), len(r.Model.Adapters))
	case api.KindService:
		if r.Service.Plain {
			return "plain"
		}
		return fmt.Sprintf("%s %s %s, %d hosts per hall", r.Service.Model, r.Service.Adapter, r.Service.Version, r.Service.Replicas)
	case api.KindAccount:
		return fmt.Sprintf("%d keys, weight %v", len(r.Account.KeyDigests), max(r.Account.Weight, 1))
	default:
		return ""
	}
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a resource", ArgsUsage: "models|services|accounts NAME",
		Flags: []cli.Flag{&cli.UintFlag{Name: "if-revision", Usage: "delete only if the resource is at this `REVISION`"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			kind, err := kindArgument(command.Args().First())
			if err != nil {
				return err
			}
			name := command.Args().Get(1)
			if name == "" {
				return fmt.Errorf("%w: missing resource name", errUsage)
			}
			if err := resourceClient(command).Delete(ctx, kind, name, uint64(command.Uint("if-revision"))); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(command.Root().Writer, "delete %s/%s\n", kind.Plural(), name)
			return nil
		},
	}
}
