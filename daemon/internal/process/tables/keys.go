package tables

import (
	"fmt"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
)

// Keys of the key-value service. All state that lasts stands under Prefix, so
// that an entry follows everything with one waiting watch.
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

// PlacementLeaseKey returns the key that names the holder of a hall's
// placement lease.
func PlacementLeaseKey(hall string) string { return leasePrefix + "placement/" + hall }

// parseResourceKey returns the kind and name in a resource's key.
func parseResourceKey(key string) (api.Kind, string, error) {
	plural, name, ok := strings.Cut(strings.TrimPrefix(key, resourcePrefix), "/")
	if !ok {
		return "", "", fmt.Errorf("key %s names no resource", key)
	}
	kind, err := api.KindFromPlural(plural)
	return kind, name, err
}
