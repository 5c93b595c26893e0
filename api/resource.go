package api

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Kind says which spec a Resource carries.
type Kind string

// The kinds of resource.
const (
	KindModel   Kind = "Model"
	KindService Kind = "Service"
	KindAccount Kind = "Account"
)

// Kinds lists every kind in the order in which declarations are applied, so
// that a Service finds the Model it names.
func Kinds() []Kind { return []Kind{KindModel, KindAccount, KindService} }

// Plural returns the kind's path segment in the resource API, or "" for an
// unknown kind.
func (k Kind) Plural() string {
	switch k {
	case KindModel:
		return "models"
	case KindService:
		return "services"
	case KindAccount:
		return "accounts"
	default:
		return ""
	}
}

// KindOf returns the kind for a path segment of the resource API.
func KindOf(plural string) (Kind, error) {
	for _, kind := range Kinds() {
		if kind.Plural() == plural {
			return kind, nil
		}
	}
	return "", fmt.Errorf("unknown kind %q; use models, services or accounts", plural)
}

// Resource is one declaration. Exactly one of Model, Service and Account is
// set, the one that Kind names; in JSON it stands under "spec".
type Resource struct {
	Kind Kind
	Name string
	// Revision is the key-value service's revision of the last accepted
	// write, 0 for a declaration that was never written. It only grows.
	Revision uint64
	// WriteID names the accepted write. A caller whose answer was lost
	// finds its write by this id.
	WriteID string

	Model   *ModelSpec
	Service *ServiceSpec
	Account *AccountSpec
}

// FetchPolicy says what a model's distribution saves first.
type FetchPolicy string

// The fetch policies. The zero value means FetchTime.
const (
	// FetchTime takes whatever brings the version to all hosts soonest.
	FetchTime FetchPolicy = "time"
	// FetchOriginBytes keeps the origin's bytes near one copy for the whole
	// fleet, also when a wait for peers would be longer.
	FetchOriginBytes FetchPolicy = "origin-bytes"
)

// ModelSpec declares a model's weights.
type ModelSpec struct {
	FetchPolicy FetchPolicy `json:"fetchPolicy,omitempty"`
	// Priority orders models that share one origin link; higher goes first.
	Priority int       `json:"priority,omitempty"`
	Versions []Version `json:"versions"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a named set of weights on top of a model.
type Adapter struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
}

// Version names one set of weights by the digest of its manifest.
type Version struct {
	Name string `json:"name"`
	// Manifest is the hex BLAKE3 digest of the manifest's bytes.
	Manifest string `json:"manifest"`
}

// FindVersion returns the version of the model, or of the named adapter where
// adapter is not empty.
func (m *ModelSpec) FindVersion(adapter, version string) (Version, bool) {
	versions := m.Versions
	if adapter != "" {
		versions = nil
		for _, candidate := range m.Adapters {
			if candidate.Name == adapter {
				versions = candidate.Versions
			}
		}
	}
	for _, candidate := range versions {
		if candidate.Name == version {
			return candidate, true
		}
	}
	return Version{}, false
}

// ServiceSpec declares what one service serves and where.
type ServiceSpec struct {
	// Plain services are not model engines: they carry no weights, and the
	// hosts whose settings name the service serve it.
	Plain   bool   `json:"plain,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Halls lists the data halls that serve; empty means all.
	Halls []string `json:"halls,omitempty"`
	// Replicas is the number of hosts per data hall.
	Replicas int     `json:"replicas,omitempty"`
	Rollout  Rollout `json:"rollout,omitzero"`
	Limits   Limits  `json:"limits,omitzero"`
	// NotRepeatable marks every call of the service as one that runs at most
	// once. A single request says the same with Wheelcleat-Repeatable: no.
	NotRepeatable bool `json:"notRepeatable,omitempty"`
}

// Rollout declares how a new version replaces the old one within a hall.
type Rollout struct {
	// WaveSize is the number of hosts that activate together; 0 means all.
	WaveSize int `json:"waveSize,omitempty"`
	// Pause is the time between a wave that is ready and the next one.
	Pause Duration `json:"pause,omitempty"`
	// ContinueOnFailure goes on to the next wave although an activation
	// failed. The default halts.
	ContinueOnFailure bool `json:"continueOnFailure,omitempty"`
}

// Limits bounds what a service's requests may take.
type Limits struct {
	// InFlight bounds the requests running at one host; 0 means 64.
	InFlight int `json:"inFlight,omitempty"`
	// RetryShare is the share of recent requests that may be tried at a
	// second upstream, from 0 to 1; 0 means 0.2.
	RetryShare float64 `json:"retryShare,omitempty"`
	// Timeout is the deadline of a request that names none; 0 means 60s.
	Timeout Duration `json:"timeout,omitempty"`
}

// AccountSpec declares one client account.
type AccountSpec struct {
	// KeyDigests are the hex SHA-256 digests of the account's bearer keys.
	KeyDigests []string `json:"keyDigests"`
	// Weight is the account's share under contention; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RatePerSecond bounds accepted requests per second and entry; 0 means no bound.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// Concurrency bounds requests in flight per entry; 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// PriorityCeiling is the highest priority its requests may ask for.
	PriorityCeiling int `json:"priorityCeiling,omitempty"`
}

// resourceJSON is the outer form of a Resource in JSON.
type resourceJSON struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	WriteID  string          `json:"writeID,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// Spec returns the spec that the resource's kind names, or nil.
func (r *Resource) Spec() any {
	switch r.Kind {
	case KindModel:
		if r.Model != nil {
			return r.Model
		}
	case KindService:
		if r.Service != nil {
			return r.Service
		}
	case KindAccount:
		if r.Account != nil {
			return r.Account
		}
	}
	return nil
}

// SameSpec reports whether two resources declare the same thing, whatever
// their revisions.
func SameSpec(a, b *Resource) bool {
	left, errLeft := json.Marshal(a.Spec())
	right, errRight := json.Marshal(b.Spec())
	return errLeft == nil && errRight == nil && a.Kind == b.Kind && a.Name == b.Name && bytes.Equal(left, right)
}

// MarshalJSON writes the resource with its spec under "spec".
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec())
	if err != nil {
		return nil, fmt.Errorf("encode spec of %s %q: %w", r.Kind, r.Name, err)
	}
	return json.Marshal(resourceJSON{Kind: r.Kind, Name: r.Name, Revision: r.Revision, WriteID: r.WriteID, Spec: spec})
}

// UnmarshalJSON reads a resource and refuses fields that its kind lacks.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var outer resourceJSON
	if err := strict(data, &outer); err != nil {
		return err
	}
	decoded := Resource{Kind: outer.Kind, Name: outer.Name, Revision: outer.Revision, WriteID: outer.WriteID}
	var target any
	switch outer.Kind {
	case KindModel:
		decoded.Model = &ModelSpec{}
		target = decoded.Model
	case KindService:
		decoded.Service = &ServiceSpec{}
		target = decoded.Service
	case KindAccount:
		decoded.Account = &AccountSpec{}
		target = decoded.Account
	default:
		return fmt.Errorf("kind: unknown kind %q; use \"Model\", \"Service\" or \"Account\"", outer.Kind)
	}
	if len(outer.Spec) == 0 || bytes.Equal(outer.Spec, []byte("null")) {
		return fmt.Errorf("spec: missing; every resource declares a spec")
	}
	if err := strict(outer.Spec, target); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	*r = decoded
	return nil
}

// strict decodes one JSON value and refuses unknown fields.
func strict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
