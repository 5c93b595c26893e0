package api

import (
	"encoding/hex"
	"fmt"
	"regexp"
)

// FieldError says what is wrong with one field of a declaration.
type FieldError struct {
	// Path is the field's place in the JSON, such as "spec.versions[1].name".
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Hint    string `json:"hint,omitempty"`
}

// Error returns the field's path, problem and hint on one line.
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

// Validate checks one resource by itself and returns every fault it finds.
func Validate(r *Resource) []FieldError {
	c := &checker{}
	c.name("name", r.Name)
	switch {
	case r.Spec() == nil:
		c.add("spec", "missing", "every resource declares a spec of its kind")
	case r.Kind == KindModel:
		c.model(r.Model)
	case r.Kind == KindService:
		c.service(r.Service)
	case r.Kind == KindAccount:
		c.account(r.Account)
	}
	return c.faults
}

// ValidateReferences checks what a service names against the declared models.
// findModel returns nil for a model that is not declared.
func ValidateReferences(r *Resource, findModel func(name string) *ModelSpec) []FieldError {
	if r.Kind != KindService || r.Service == nil || r.Service.Plain {
		return nil
	}
	c := &checker{}
	spec := r.Service
	model := findModel(spec.Model)
	if model == nil {
		c.add("spec.model", fmt.Sprintf("model %q is not declared", spec.Model), "apply the Model first")
		return c.faults
	}
	if _, ok := model.FindVersion(spec.Adapter, spec.Version); !ok {
		c.add("spec.version", fmt.Sprintf("model %q adapter %q has no version %q", spec.Model, spec.Adapter, spec.Version),
			"add the version to the Model first")
	}
	return c.faults
}

// checker collects faults.
type checker struct{ faults []FieldError }

func (c *checker) add(path, problem, hint string) {
	c.faults = append(c.faults, FieldError{Path: path, Problem: problem, Hint: hint})
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, fmt.Sprintf("%q is not a name", name), "1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit")
	}
}

func (c *checker) digest(path, digest string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes {
		c.add(path, fmt.Sprintf("%q is not a digest", digest), "64 hex digits")
	}
}

func (c *checker) atLeastZero(path string, value float64) {
	if value < 0 {
		c.add(path, fmt.Sprintf("%v is below 0", value), "leave the field out for the default")
	}
}

func (c *checker) model(spec *ModelSpec) {
	switch spec.FetchPolicy {
	case "", FetchTime, FetchOriginBytes:
	default:
		c.add("spec.fetchPolicy", fmt.Sprintf("unknown policy %q", spec.FetchPolicy), `use "time" or "origin-bytes"`)
	}
	if len(spec.Versions) == 0 && len(spec.Adapters) == 0 {
		c.add("spec.versions", "empty", "a model declares at least one version")
	}
	c.versions("spec.versions", spec.Versions)
	seen := map[string]bool{}
	for i, adapter := range spec.Adapters {
		path := fmt.Sprintf("spec.adapters[%d]", i)
		c.name(path+".name", adapter.Name)
		if seen[adapter.Name] {
			c.add(path+".name", fmt.Sprintf("adapter %q stands twice", adapter.Name), "names are unique within a model")
		}
		seen[adapter.Name] = true
		c.versions(path+".versions", adapter.Versions)
	}
}

func (c *checker) versions(path string, versions []Version) {
	seen := map[string]bool{}
	for i, version := range versions {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.name(at+".name", version.Name)
		c.digest(at+".manifest", version.Manifest)
		if seen[version.Name] {
			c.add(at+".name", fmt.Sprintf("version %q stands twice", version.Name), "names are unique within a list")
		}
		seen[version.Name] = true
	}
}

func (c *checker) service(spec *ServiceSpec) {
	if spec.Plain {
		c.plainService(spec)
	} else {
		c.name("spec.model", spec.Model)
		c.name("spec.version", spec.Version)
		if spec.Adapter != "" {
			c.name("spec.adapter", spec.Adapter)
		}
		if spec.Replicas < 1 {
			c.add("spec.replicas", fmt.Sprintf("%d is below 1", spec.Replicas), "the number of hosts per data hall")
		}
	}
	seen := map[string]bool{}
	for i, hall := range spec.Halls {
		path := fmt.Sprintf("spec.halls[%d]", i)
		c.name(path, hall)
		if seen[hall] {
			c.add(path, fmt.Sprintf("data hall %q stands twice", hall), "name each data hall once")
		}
		seen[hall] = true
	}
	c.atLeastZero("spec.rollout.waveSize", float64(spec.Rollout.WaveSize))
	c.atLeastZero("spec.rollout.pause", spec.Rollout.Pause.Std().Seconds())
	c.atLeastZero("spec.limits.inFlight", float64(spec.Limits.InFlight))
	c.atLeastZero("spec.limits.timeout", spec.Limits.Timeout.Std().Seconds())
	if spec.Limits.RetryShare < 0 || spec.Limits.RetryShare > 1 {
		c.add("spec.limits.retryShare", fmt.Sprintf("%v is not a share", spec.Limits.RetryShare), "from 0 to 1")
	}
}

func (c *checker) plainService(spec *ServiceSpec) {
	if spec.Model != "" || spec.Adapter != "" || spec.Version != "" {
		c.add("spec.model", "a plain service serves no model", "leave out model, adapter and version, or set plain to false")
	}
	if spec.Replicas != 0 {
		c.add("spec.replicas", "a plain service is not placed", "its hosts name it in their settings; leave out replicas")
	}
}

func (c *checker) account(spec *AccountSpec) {
	if len(spec.KeyDigests) == 0 {
		c.add("spec.keyDigests", "empty", "the hex SHA-256 digest of at least one bearer key")
	}
	for i, digest := range spec.KeyDigests {
		c.digest(fmt.Sprintf("spec.keyDigests[%d]", i), digest)
	}
	c.atLeastZero("spec.weight", spec.Weight)
	c.atLeastZero("spec.ratePerSecond", spec.RatePerSecond)
	c.atLeastZero("spec.concurrency", float64(spec.Concurrency))
}
