package tables

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// View is the configuration at one revision. It is read-only.
type View struct {
	// Revision is the table's cursor: every change up to it is in the view.
	Revision uint64
	Models   map[string]*api.Resource
	Services map[string]*api.Resource
	Accounts map[string]*api.Resource
	// AccountByKey finds an account by the SHA-256 of a bearer key.
	AccountByKey map[KeyDigest]*api.Resource
	// Placements holds the placement document of each hall.
	Placements map[string]Placement
	// Leases holds the raw lease keys.
	Leases map[string]platform.Item
}

// KeyDigest is the SHA-256 of a bearer key.
type KeyDigest [32]byte

// Placement is a hall's document with its revision, which a write must name.
type Placement struct {
	Document placement.Document
	Revision uint64
}

func newView() *View {
	return &View{
		Models:       map[string]*api.Resource{},
		Services:     map[string]*api.Resource{},
		Accounts:     map[string]*api.Resource{},
		AccountByKey: map[KeyDigest]*api.Resource{},
		Placements:   map[string]Placement{},
		Leases:       map[string]platform.Item{},
	}
}

var emptyView = newView()

// ByKind returns the resources of one kind.
func (v *View) ByKind(kind api.Kind) map[string]*api.Resource {
	switch kind {
	case api.KindModel:
		return v.Models
	case api.KindService:
		return v.Services
	case api.KindAccount:
		return v.Accounts
	default:
		return nil
	}
}

// Sorted returns the resources of one kind by name.
func (v *View) Sorted(kind api.Kind) []*api.Resource {
	byName := v.ByKind(kind)
	sorted := make([]*api.Resource, 0, len(byName))
	for _, r := range byName {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// FindModel returns a declared model's spec, or nil.
func (v *View) FindModel(name string) *api.ModelSpec {
	if r := v.Models[name]; r != nil {
		return r.Model
	}
	return nil
}

// Target returns the version that a service declares, false for plain services
// and for versions that no model declares.
func (v *View) Target(service *api.Resource) (api.Version, bool) {
	spec := service.Service
	if spec == nil || spec.Plain {
		return api.Version{}, false
	}
	model := v.FindModel(spec.Model)
	if model == nil {
		return api.Version{}, false
	}
	return model.FindVersion(spec.Adapter, spec.Version)
}

// buildView decodes all items. An item that cannot be decoded is left out: it
// was written by a newer release, and what this one knows stays in force.
func buildView(items map[string]platform.Item, cursor uint64) *View {
	view := newView()
	view.Revision = cursor
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, resourcePrefix):
			view.addResource(item)
		case strings.HasPrefix(item.Key, placementPrefix):
			view.addPlacement(item)
		case strings.HasPrefix(item.Key, leasePrefix):
			view.Leases[item.Key] = item
		}
	}
	return view
}

func (v *View) addResource(item platform.Item) {
	resource, err := DecodeResource(item)
	if err != nil {
		return
	}
	v.ByKind(resource.Kind)[resource.Name] = resource
	if resource.Account == nil {
		return
	}
	for _, text := range resource.Account.KeyDigests {
		var digest KeyDigest
		if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
			v.AccountByKey[digest] = resource
		}
	}
}

func (v *View) addPlacement(item platform.Item) {
	var document placement.Document
	if err := json.Unmarshal(item.Value, &document); err != nil {
		return
	}
	v.Placements[strings.TrimPrefix(item.Key, placementPrefix)] = Placement{Document: document, Revision: item.Revision}
}

// storedResource is the form of a resource in the key-value service. The
// write id stands outside too, where a reader of stamps finds it for every
// kind of value.
type storedResource struct {
	BasedOn  uint64        `json:"basedOn"`
	WriteID  string        `json:"writeID"`
	Resource *api.Resource `json:"resource"`
}

// EncodeResource returns the value under which a resource is kept, for a write
// that replaces the given revision. Its own revision is the key's, so it is
// not part of the value.
func EncodeResource(resource *api.Resource, basedOn uint64) ([]byte, error) {
	inner := *resource
	inner.Revision = 0
	data, err := json.Marshal(storedResource{BasedOn: basedOn, WriteID: resource.WriteID, Resource: &inner})
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", resource.Kind, resource.Name, err)
	}
	return data, nil
}

// DecodeResource reads a resource from its item.
func DecodeResource(item platform.Item) (*api.Resource, error) {
	var outer storedResource
	if err := json.Unmarshal(item.Value, &outer); err != nil {
		return nil, fmt.Errorf("read %s: %w", item.Key, err)
	}
	if outer.Resource == nil {
		return nil, fmt.Errorf("read %s: no resource in it", item.Key)
	}
	outer.Resource.Revision = item.Revision
	return outer.Resource, nil
}
