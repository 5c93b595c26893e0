// Package examples embeds sample declarations: a model, a service that serves it, and a client
// account. The command dev applies them to its fleet.
package examples

import (
	"embed"
	"encoding/json"
	"fmt"

	"github.com/wheelcleat/wheelcleat/api"
)

//go:embed *.json
var files embed.FS

// Key is the bearer key of the sample account.
const Key = "dev-key"

// Load returns the samples in an order in which they can be applied.
func Load() ([]*api.Resource, error) {
	var resources []*api.Resource
	for _, name := range []string{"model.json", "account.json", "service.json"} {
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("sample %s: %w", name, err)
		}
		resource := &api.Resource{}
		if err := json.Unmarshal(data, resource); err != nil {
			return nil, fmt.Errorf("sample %s: %w", name, err)
		}
		resources = append(resources, resource)
	}
	return resources, nil
}
