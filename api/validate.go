package api

import (
	"encoding/hex"
	"fmt"
	"regexp"
)

// FieldError describes an invalid field of a declaration.
type FieldError struct {
	// Path is the JSON path of the field, such as "spec.versions[1].name".
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Hint    string `json:"hint,omitempty"`
}

// Error returns the field's path, problem and hint in one line.
func (e FieldError) Error() string {
	line := e.Path + ": " + e.Problem
	if e.Hint != "" {
		line += " (" + e.Hint + ")"
	}
	return line
}

// digestBytes is the length of a BLAKE3 or SHA-256 digest.
const digestBytes = 32

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks a resource without regard to others and returns all errors.
func Validate(r *Resource) []FieldError {
	v := &validator{}
	v.name("name", r.Name)
	switch {
	case r.Spec() == nil:
		v.add("spec", "missing", "every resource declares a spec of its kind")
	case r.Kind == KindModel:
		v.model(r.Model)
	case r.Kind == KindService:
		v.service(r.Service)
	case r.Kind == KindAccount:
		v.account(r.Account)
	}
	return v.errors
}

// ValidateReferences checks that the model and version that a service references
// are declared. findModel returns nil for a model that is not declared.
func ValidateReferences(r *Resource, findModel func(name string) *ModelSpec) []FieldError {
	if r.Kind != KindService || r.Service == nil || r.Service.Plain {
		return nil
	}
	v := &validator{}
	spec := r.Service
	model := findModel(spec.Model)
	if model == nil {
		v.add("spec.model", fmt.Sprintf("model %q is not declared", spec.Model), "apply the Model first")
		return v.errors
	}
	if _, ok := model.FindVersion(spec.Adapter, spec.Version); !ok {
		v.add("spec.version", fmt.Sprintf("model %q adapter %q has no version %q", spec.Model, spec.Adapter, spec.Version),
			"add the version to the Model first")
	}
	return v.errors
}

// validator collects the errors of one resource.
type validator struct{ errors []FieldError }

func (v *validator) add(path, problem, hint string) {
	v.errors = append(v.errors, FieldError{Path: path, Problem: problem, Hint: hint})
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, fmt.Sprintf("%q is not a name", name), "1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit")
	}
}

func (v *validator) digest(path, digest string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes {
		v.add(path, fmt.Sprintf("%q is not a digest", digest), "64 hex digits")
	}
}

func (v *validator) nonNegative(path string, value float64) {
	if value < 0 {
		v.add(path, fmt.Sprintf("%v is below 0", value), "leave the field out for the default")
	}
}

func (v *validator) model(spec *ModelSpec) {
	switch spec.FetchPolicy {
	case "", FetchTime, FetchOriginBytes:
	default:
		v.add("spec.fetchPolicy", fmt.Sprintf("unknown policy %q", spec.FetchPolicy), `use "time" or "origin-bytes"`)
	}
	if len(spec.Versions) == 0 && len(spec.Adapters) == 0 {
		v.add("spec.versions", "empty", "a model declares at least one version")
	}
	v.versions("spec.versions", spec.Versions)
	seen := map[string]bool{}
	for i, adapter := range spec.Adapters {
		path := fmt.Sprintf("spec.adapters[%d]", i)
		v.name(path+".name", adapter.Name)
		if seen[adapter.Name] {
			v.add(path+".name", fmt.Sprintf("adapter %q stands twice", adapter.Name), "names are unique within a model")
		}
		seen[adapter.Name] = true
		v.versions(path+".versions", adapter.Versions)
	}
}

func (v *validator) versions(path string, versions []Version) {
	seen := map[string]bool{}
	for i, version := range versions {
		item := fmt.Sprintf("%s[%d]", path, i)
		v.name(item+".name", version.Name)
		v.digest(item+".manifest", version.Manifest)
		if seen[version.Name] {
			v.add(item+".name", fmt.Sprintf("version %q stands twice", version.Name), "names are unique within a list")
		}
		seen[version.Name] = true
	}
}

func (v *validator) service(spec *ServiceSpec) {
	if spec.Plain {
		v.plainService(spec)
	} else {
		v.name("spec.model", spec.Model)
		v.name("spec.version", spec.Version)
		if spec.Adapter != "" {
			v.name("spec.adapter", spec.Adapter)
		}
		if spec.Replicas < 1 {
			v.add("spec.replicas", fmt.Sprintf("%d is below 1", spec.Replicas), "the number of hosts per data hall")
		}
	}
	seen := map[string]bool{}
	for i, hall := range spec.Halls {
		path := fmt.Sprintf("spec.halls[%d]", i)
		v.name(path, hall)
		if seen[hall] {
			v.add(path, fmt.Sprintf("data hall %q stands twice", hall), "name each data hall once")
		}
		seen[hall] = true
	}
	v.nonNegative("spec.rollout.waveSize", float64(spec.Rollout.WaveSize))
	v.nonNegative("spec.rollout.pause", spec.Rollout.Pause.Std().Seconds())
	v.nonNegative("spec.limits.inFlight", float64(spec.Limits.InFlight))
	v.nonNegative("spec.limits.timeout", spec.Limits.Timeout.Std().Seconds())
	if spec.Limits.RetryShare < 0 || spec.Limits.RetryShare > 1 {
		v.add("spec.limits.retryShare", fmt.Sprintf("%v is not a share", spec.Limits.RetryShare), "from 0 to 1")
	}
}

func (v *validator) plainService(spec *ServiceSpec) {
	if spec.Model != "" || spec.Adapter != "" || spec.Version != "" {
		v.add("spec.model", "a plain service serves no model", "leave out model, adapter and version, or set plain to false")
	}
	if spec.Replicas != 0 {
		v.add("spec.replicas", "a plain service is not placed", "its hosts name it in their settings; leave out replicas")
	}
}

func (v *validator) account(spec *AccountSpec) {
	if len(spec.KeyDigests) == 0 {
		v.add("spec.keyDigests", "empty", "the hex SHA-256 digest of at least one bearer key")
	}
	for i, digest := range spec.KeyDigests {
		v.digest(fmt.Sprintf("spec.keyDigests[%d]", i), digest)
	}
	v.nonNegative("spec.weight", spec.Weight)
	v.nonNegative("spec.ratePerSecond", spec.RatePerSecond)
	v.nonNegative("spec.concurrency", float64(spec.Concurrency))
}
