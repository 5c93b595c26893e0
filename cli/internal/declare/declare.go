// Package declare loads resource declarations from files, compares them with the resources that
// the entries hold, and applies the differences. The commands apply and diff use it.
//
// Each change is conditional on the revision that the plan was made for, so that a concurrent
// change fails the apply instead of being overwritten.
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

// Declaration is a resource and the position it was read from.
type Declaration struct {
	Resource *api.Resource
	// File is the path of the file, Index the zero-based index of the resource in it.
	File  string
	Index int
}

// Load reads a file, or every .json file of a directory in lexical order. A file contains one or
// more concatenated JSON resources. Load validates each of them.
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
	var declarations []Declaration
	for _, file := range files {
		loaded, err := loadFile(file)
		if err != nil {
			return nil, err
		}
		declarations = append(declarations, loaded...)
	}
	if len(declarations) == 0 {
		return nil, fmt.Errorf("%s: no declarations; a declaration is a JSON object with kind, name and spec", path)
	}
	return declarations, validate(declarations)
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

// validate validates every declaration and rejects duplicates. The error has a line for each
// problem.
func validate(declarations []Declaration) error {
	var problems []string
	seen := map[string]Declaration{}
	for _, d := range declarations {
		position := fmt.Sprintf("%s: resource %d (%s %q)", d.File, d.Index, d.Resource.Kind, d.Resource.Name)
		for _, problem := range api.Validate(d.Resource) {
			problems = append(problems, position+": "+problem.Error())
		}
		key := string(d.Resource.Kind) + "/" + d.Resource.Name
		if other, duplicate := seen[key]; duplicate {
			problems = append(problems, fmt.Sprintf("%s: already declared in %s; declare each resource once", position, other.File))
		}
		seen[key] = d
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// ChangeType is the effect of a change on a resource.
type ChangeType string

// The change types.
const (
	ChangeCreate ChangeType = "create"
	ChangeUpdate ChangeType = "update"
	ChangeDelete ChangeType = "delete"
	ChangeNone   ChangeType = "unchanged"
)

// Change is one step of a plan. Current is nil for a create, Desired for a delete.
type Change struct {
	Type    ChangeType    `json:"change"`
	Kind    api.Kind      `json:"kind"`
	Name    string        `json:"name"`
	Current *api.Resource `json:"present,omitempty"`
	Desired *api.Resource `json:"wanted,omitempty"`
}

// Plan compares declarations with the current resources. With prune, the plan deletes resources that
// are not declared. The changes are in an order in which they can be applied: models before the
// services that refer to them, and deletes last, services before models.
func Plan(ctx context.Context, c *client.Client, declarations []Declaration, prune bool) ([]Change, error) {
	var changes, deletes []Change
	for _, kind := range api.Kinds() {
		list, err := c.List(ctx, kind)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", kind.Plural(), err)
		}
		current := map[string]*api.Resource{}
		for i := range list.Items {
			current[list.Items[i].Name] = &list.Items[i]
		}
		for _, d := range declarations {
			if d.Resource.Kind == kind {
				changes = append(changes, compare(current[d.Resource.Name], d.Resource))
				delete(current, d.Resource.Name)
			}
		}
		if prune {
			deletes = append(deletes, deletesOf(current)...)
		}
	}
	slices.Reverse(deletes)
	return append(changes, deletes...), nil
}

func compare(current, desired *api.Resource) Change {
	change := Change{Type: ChangeUpdate, Kind: desired.Kind, Name: desired.Name, Current: current, Desired: desired}
	switch {
	case current == nil:
		change.Type = ChangeCreate
	case api.SameSpec(current, desired):
		change.Type = ChangeNone
	}
	return change
}

// deletesOf returns the changes that delete resources, sorted by name.
func deletesOf(resources map[string]*api.Resource) []Change {
	var deletes []Change
	for name, r := range resources {
		deletes = append(deletes, Change{Type: ChangeDelete, Kind: r.Kind, Name: name, Current: r})
	}
	sort.Slice(deletes, func(i, j int) bool { return deletes[i].Name < deletes[j].Name })
	return deletes
}

// Apply applies the changes of a plan in order and calls report after each one. A change fails if
// the resource is no longer at the revision that the plan was made for. With dryRun, the entries
// validate the changes and write nothing; deletes are only reported.
func Apply(ctx context.Context, c *client.Client, changes []Change, dryRun bool, report func(Change, *api.Resource)) error {
	for _, change := range changes {
		accepted := change.Current
		var err error
		switch change.Type {
		case ChangeCreate:
			accepted, err = c.Put(ctx, change.Desired, client.PutOptions{DryRun: dryRun, Create: true})
		case ChangeUpdate:
			accepted, err = c.Put(ctx, change.Desired, client.PutOptions{DryRun: dryRun, IfRevision: change.Current.Revision})
		case ChangeDelete:
			if !dryRun {
				err = c.Delete(ctx, change.Kind, change.Name, change.Current.Revision)
			}
		case ChangeNone:
		}
		if dryRun && isMissingReference(err, changes) {
			// A dry run does not write the earlier changes, so a service may refer to a model that
			// only this plan creates.
			err = nil
		}
		if err != nil {
			return fmt.Errorf("%s %s %q: %w", change.Type, change.Kind, change.Name, err)
		}
		report(change, accepted)
	}
	return nil
}

// isMissingReference reports whether the error may come only from a model or version that an
// earlier change of the same plan would write.
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
