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

// View is an immutable snapshot of the configuration at one revision.
type View struct {
	// Revision is the table's cursor: the view contains all changes up to it.
	Revision uint64
	Models   map[string]*api.Resource
	Services map[string]*api.Resource
	Accounts map[string]*api.Resource
	// AccountByKey holds the accounts by the SHA-256 of their bearer keys.
	AccountByKey map[KeyDigest]*api.Resource
	// Placements holds the placement documents by hall.
	Placements map[string]Placement
	// Leases holds the items of leases by key.
	Leases map[string]platform.Item
}

// KeyDigest is the SHA-256 of a bearer key.
type KeyDigest [32]byte

// Placement is a hall's document with its revision, which is the condition of the next write.
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

// Sorted returns the resources of one kind, sorted by name.
func (v *View) Sorted(kind api.Kind) []*api.Resource {
	byName := v.ByKind(kind)
	sorted := make([]*api.Resource, 0, len(byName))
	for _, r := range byName {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// FindModel returns the spec of a declared model, or nil.
func (v *View) FindModel(name string) *api.ModelSpec {
	if r := v.Models[name]; r != nil {
		return r.Model
	}
	return nil
}

// Target returns the version that a service declares. It returns false for plain services and
// for versions that no model declares.
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

// buildView decodes all items. It skips items that it cannot decode, which a newer release
// may have written.
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

// storedResource is the stored form of a resource. The write ID is repeated outside the
// resource, where kvwrite reads the stamps of all kinds of values.
type storedResource struct {
	BasedOn  uint64        `json:"basedOn"`
	WriteID  string        `json:"writeID"`
	Resource *api.Resource `json:"resource"`
}

// EncodeResource returns the stored value of a resource, for a write that replaces the revision
// basedOn. The value does not contain the resource's revision, which is that of its key.
func EncodeResource(resource *api.Resource, basedOn uint64) ([]byte, error) {
	copied := *resource
	copied.Revision = 0
	data, err := json.Marshal(storedResource{BasedOn: basedOn, WriteID: resource.WriteID, Resource: &copied})
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", resource.Kind, resource.Name, err)
	}
	return data, nil
}

// DecodeResource decodes the resource of an item.
func DecodeResource(item platform.Item) (*api.Resource, error) {
	var stored storedResource
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return nil, fmt.Errorf("decode %s: %w", item.Key, err)
	}
	if stored.Resource == nil {
		return nil, fmt.Errorf("decode %s: the value contains no resource", item.Key)
	}
	stored.Resource.Revision = item.Revision
	return stored.Resource, nil
}
