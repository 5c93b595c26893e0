package api

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Kind is the kind of a Resource and selects its spec.
type Kind string

// Kinds of resources.
const (
	KindModel   Kind = "Model"
	KindService Kind = "Service"
	KindAccount Kind = "Account"
)

// Kinds returns all kinds in the order in which declarations have to be applied:
// a Model before the Services that reference it.
func Kinds() []Kind { return []Kind{KindModel, KindAccount, KindService} }

// Plural returns the path segment of the kind in the resource API, or "" for an
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

// KindFromPlural returns the kind for a path segment of the resource API, the inverse of
// Kind.Plural.
func KindFromPlural(plural string) (Kind, error) {
	for _, kind := range Kinds() {
		if kind.Plural() == plural {
			return kind, nil
		}
	}
	return "", fmt.Errorf("unknown kind %q; use models, services or accounts", plural)
}

// Resource is one declaration. Exactly one of Model, Service and Account is
// set, according to Kind; in JSON it is the value of "spec".
type Resource struct {
	Kind Kind
	Name string
	// Revision is the key-value service's revision of the last accepted
	// write, 0 for a declaration that was never written. It increases
	// monotonically.
	Revision uint64
	// WriteID identifies the accepted write, so that a client whose response
	// was lost can find out whether its write took effect.
	WriteID string

	Model   *ModelSpec
	Service *ServiceSpec
	Account *AccountSpec
}

// FetchPolicy selects what the distribution of a model's weights minimizes.
type FetchPolicy string

// Fetch policies. The zero value means FetchTime.
const (
	// FetchTime minimizes the time until all hosts have the version.
	FetchTime FetchPolicy = "time"
	// FetchOriginBytes minimizes the bytes read from the origin, to about one
	// copy for the fleet, even if waiting for peers takes longer.
	FetchOriginBytes FetchPolicy = "origin-bytes"
)

// ModelSpec declares a model's weights.
type ModelSpec struct {
	FetchPolicy FetchPolicy `json:"fetchPolicy,omitempty"`
	// Priority orders models that share an origin link; higher goes first.
	Priority int       `json:"priority,omitempty"`
	Versions []Version `json:"versions"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a named set of additional weights for a model.
type Adapter struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
}

// Version identifies one set of weights by the digest of its manifest.
type Version struct {
	Name string `json:"name"`
	// Manifest is the BLAKE3 digest of the encoded manifest in hex.
	Manifest string `json:"manifest"`
}

// FindVersion returns the named version of the model, or of the named adapter if
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

// ServiceSpec declares which version a service serves and where.
type ServiceSpec struct {
	// Plain marks a service that is not a model engine. It has no weights and
	// is served by the hosts whose settings name it.
	Plain   bool   `json:"plain,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Halls lists the data halls that serve it; empty means all.
	Halls []string `json:"halls,omitempty"`
	// Replicas is the number of hosts per data hall.
	Replicas int     `json:"replicas,omitempty"`
	Rollout  Rollout `json:"rollout,omitzero"`
	Limits   Limits  `json:"limits,omitzero"`
	// NotRepeatable declares that requests to the service must run at most once.
	// The header Wheelcleat-Repeatable: no does the same for a single request.
	NotRepeatable bool `json:"notRepeatable,omitempty"`
}

// Rollout declares how a new version replaces the previous one within a hall.
type Rollout struct {
	// WaveSize is the number of hosts that activate concurrently; 0 means all.
	WaveSize int `json:"waveSize,omitempty"`
	// Pause is the time between the completion of a wave and the next one.
	Pause Duration `json:"pause,omitempty"`
	// ContinueOnFailure starts the next wave even if an activation failed. By
	// default the rollout halts.
	ContinueOnFailure bool `json:"continueOnFailure,omitempty"`
}

// Limits bounds the resources that requests to a service may use.
type Limits struct {
	// InFlight bounds the requests in flight per host; 0 means 64.
	InFlight int `json:"inFlight,omitempty"`
	// RetryShare is the retry budget as a fraction of recent requests, from 0
	// to 1; 0 means 0.2. A retry goes to another upstream.
	RetryShare float64 `json:"retryShare,omitempty"`
	// Timeout applies to requests without a deadline; 0 means 60s.
	Timeout Duration `json:"timeout,omitempty"`
}

// AccountSpec declares one client account.
type AccountSpec struct {
	// KeyDigests are the SHA-256 digests of the account's bearer keys in hex.
	KeyDigests []string `json:"keyDigests"`
	// Weight is the account's relative share under contention; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RatePerSecond bounds the accepted requests per second at each entry; 0 means no
	// bound.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// Concurrency bounds the requests in flight at each entry; 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// PriorityCeiling is the highest priority that requests may have.
	PriorityCeiling int `json:"priorityCeiling,omitempty"`
}

// resourceJSON is the JSON encoding of a Resource.
type resourceJSON struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	WriteID  string          `json:"writeID,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// Spec returns the spec for the resource's kind, or nil if it is not set.
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

// SameSpec reports whether two resources are equal except for their revisions
// and write ids.
func SameSpec(a, b *Resource) bool {
	left, errLeft := json.Marshal(a.Spec())
	right, errRight := json.Marshal(b.Spec())
	return errLeft == nil && errRight == nil && a.Kind == b.Kind && a.Name == b.Name && bytes.Equal(left, right)
}

// MarshalJSON encodes the resource with its spec under "spec".
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec())
	if err != nil {
		return nil, fmt.Errorf("encode spec of %s %q: %w", r.Kind, r.Name, err)
	}
	return json.Marshal(resourceJSON{Kind: r.Kind, Name: r.Name, Revision: r.Revision, WriteID: r.WriteID, Spec: spec})
}

// UnmarshalJSON decodes a resource and rejects fields that its kind does not have.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var outer resourceJSON
	if err := decodeStrict(data, &outer); err != nil {
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
	if err := decodeStrict(outer.Spec, target); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	*r = decoded
	return nil
}

// decodeStrict decodes one JSON value and rejects unknown fields.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
