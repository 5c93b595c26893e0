// Package declare reads declarations from files, compares them with what is in
// force, and applies them.
package declare

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
)

// Declaration is a resource with the place it was read from.
type Declaration struct {
	Resource *api.Resource
	// File is the file's path, Index the resource's place in it, from 0.
	File  string
	Index int
}

// Load reads a file, or every .json file of a directory in order of name. A
// file holds one or more resources, one after the other. Each is checked.
func Load(path string) ([]Declaration, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}
	files := []string{path}
	if info.IsDir() {
		files, err = filepath.Glob(filepath.Join(path, "*.json"))
		if err != nil {
			return nil, fmt.Errorf("read declarations: %w", err)
		}
		sort.Strings(files)
	}
	var all []Declaration
	for _, file := range files {
		declarations, err := loadFile(file)
		if err != nil {
			return nil, err
		}
		all = append(all, declarations...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no declarations; a declaration is a JSON object with kind, name and spec", path)
	}
	return all, check(all)
}

func loadFile(file string) ([]Declaration, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var declarations []Declaration
	for {
		resource := &api.Resource{}
		err := decoder.Decode(resource)
		if errors.Is(err, io.EOF) {
			return declarations, nil
		}
		if err != nil {
			line := 1 + bytes.Count(data[:min(int(decoder.InputOffset()), len(data))], []byte("\n"))
			return nil, fmt.Errorf("%s:%d: resource %d: %w", file, line, len(declarations), err)
		}
		declarations = append(declarations, Declaration{Resource: resource, File: file, Index: len(declarations)})
	}
}

// check validates every declaration and refuses two of the same resource.
func check(all []Declaration) error {
	var lines []string
	first := map[string]Declaration{}
	for _, d := range all {
		place := fmt.Sprintf("%s: resource %d (%s %q)", d.File, d.Index, d.Resource.Kind, d.Resource.Name)
		for _, fault := range api.Validate(d.Resource) {
			lines = append(lines, place+": "+fault.Error())
		}
		key := string(d.Resource.Kind) + "/" + d.Resource.Name
		if other, twice := first[key]; twice {
			lines = append(lines, fmt.Sprintf("%s: is declared in %s too (declare each resource once)", place, other.File))
		}
		first[key] = d
	}
	if len(lines) > 0 {
		return errors.New(strings.Join(lines, "\n"))
	}
	return nil
}

// ChangeType says what applying does to a resource.
type ChangeType string

// The change types.
const (
	ChangeCreate ChangeType = "create"
	ChangeUpdate ChangeType = "update"
	ChangeDelete ChangeType = "delete"
	ChangeNone   ChangeType = "unchanged"
)

// Change is one step of an apply.
type Change struct {
	Type    ChangeType    `json:"change"`
	Kind    api.Kind      `json:"kind"`
	Name    string        `json:"name"`
	Present *api.Resource `json:"present,omitempty"`
	Wanted  *api.Resource `json:"wanted,omitempty"`
}

// Plan compares declarations with what is in force. With prune, resources that
// no declaration names are deleted. The changes stand in the order in which
// they can be applied: models before the services that name them, and deletes
// last, services before models.
func Plan(ctx context.Context, operator *client.Client, all []Declaration, prune bool) ([]Change, error) {
	var changes, deletes []Change
	for _, kind := range api.Kinds() {
		list, err := operator.List(ctx, kind)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", kind.Plural(), err)
		}
		present := map[string]*api.Resource{}
		for i := range list.Items {
			present[list.Items[i].Name] = &list.Items[i]
		}
		for _, d := range all {
			if d.Resource.Kind == kind {
				changes = append(changes, compare(present[d.Resource.Name], d.Resource))
				delete(present, d.Resource.Name)
			}
		}
		if prune {
			deletes = append(deletes, deletesOf(present)...)
		}
	}
	slices.Reverse(deletes)
	return append(changes, deletes...), nil
}

func compare(present, wanted *api.Resource) Change {
	change := Change{Type: ChangeUpdate, Kind: wanted.Kind, Name: wanted.Name, Present: present, Wanted: wanted}
	switch {
	case present == nil:
		change.Type = ChangeCreate
	case api.SameSpec(present, wanted):
		change.Type = ChangeNone
	}
	return change
}

func deletesOf(present map[string]*api.Resource) []Change {
	var deletes []Change
	for name, r := range present {
		deletes = append(deletes, Change{Type: ChangeDelete, Kind: r.Kind, Name: name, Present: r})
	}
	sort.Slice(deletes, func(i, j int) bool { return deletes[i].Name < deletes[j].Name })
	return deletes
}

// Apply makes the changes of a plan, each under the condition that the
// resource is still as it was planned for, and tells about each one.
func Apply(ctx context.Context, operator *client.Client, changes []Change, dryRun bool, tell func(Change, *api.Resource)) error {
	for _, change := range changes {
		accepted := change.Present
		var err error
		switch change.Type {
		case ChangeCreate:
			accepted, err = operator.Put(ctx, change.Wanted, client.PutOptions{DryRun: dryRun, Create: true})
		case ChangeUpdate:
			accepted, err = operator.Put(ctx, change.Wanted, client.PutOptions{DryRun: dryRun, IfRevision: change.Present.Revision})
		case ChangeDelete:
			if !dryRun {
				err = operator.Delete(ctx, change.Kind, change.Name, change.Present.Revision)
			}
		case ChangeNone:
		}
		if dryRun && isMissingReference(err, changes) {
			// In a dry run nothing before this change was written, so a
			// service may name a model that only this plan brings.
			err = nil
		}
		if err != nil {
			return fmt.Errorf("%s %s %q: %w", change.Type, change.Kind, change.Name, err)
		}
		tell(change, accepted)
	}
	return nil
}

// isMissingReference reports whether a dry run failed only because a model of
// the same plan has not been written.
func isMissingReference(err error, changes []Change) bool {
	var problem *api.Problem
	if !errors.As(err, &problem) || problem.Code != api.CodeInvalid {
		return false
	}
	for _, field := range problem.Fields {
		if field.Path != "spec.model" && field.Path != "spec.version" {
			return false
		}
	}
	return slices.ContainsFunc(changes, func(c Change) bool {
		return c.Kind == api.KindModel && (c.Type == ChangeCreate || c.Type == ChangeUpdate)
	})
}
