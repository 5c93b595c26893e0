package tables

import (
	"fmt"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
)

// Prefixes of the keys of the key-value service. All keys are under Prefix, so that an entry
// needs only one watch.
const (
	Prefix          = "wheelcleat/"
	resourcePrefix  = Prefix + "resources/"
	placementPrefix = Prefix + "placement/"
	leasePrefix     = Prefix + "lease/"
)

// ResourceKey returns the key of a resource.
func ResourceKey(kind api.Kind, name string) string {
	return resourcePrefix + kind.Plural() + "/" + name
}

// PlacementKey returns the key of a hall's placement document.
func PlacementKey(hall string) string { return placementPrefix + hall }

// PlacementLeaseKey returns the key whose value is the name of the holder of a hall's
// placement lease.
func PlacementLeaseKey(hall string) string { return leasePrefix + "placement/" + hall }

// parseResourceKey returns the kind and the name of the resource that a key stands for.
func parseResourceKey(key string) (api.Kind, string, error) {
	plural, name, ok := strings.Cut(strings.TrimPrefix(key, resourcePrefix), "/")
	if !ok {
		return "", "", fmt.Errorf("key %s is not the key of a resource", key)
	}
	kind, err := api.KindFromPlural(plural)
	return kind, name, err
}
