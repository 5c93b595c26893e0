package peering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EnginePath is the URL path of the call by which a loader fetches the part of the
// configuration for its engine's service. The complete configuration may be a thousand
// times larger.
const EnginePath = "/engine"

const (
	// engineTimeout bounds the time to the first byte of the response.
	engineTimeout = 500 * time.Millisecond
	// maxEngineResponse bounds the response, in bytes.
	maxEngineResponse = 64 << 10
)

// VersionedEngineConfig is the part of a configuration for the service of an engine, with
// the revision of the configuration.
type VersionedEngineConfig struct {
	replica.EngineConfig
	Revision provider.Revision `json:"revision"`
}

// EngineHandler serves a VersionedEngineConfig from the newest view.
func EngineHandler(view func() *replica.View) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := view()
		if current.Configuration == nil {
			http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
			return
		}
		config, err := replica.EngineConfigFor(current.Configuration, r.URL.Query().Get("service"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(VersionedEngineConfig{EngineConfig: config, Revision: current.ConfigurationRevision})
	}
}

var errIncomplete = errors.New("response without a model or an origin")

func fetchEngine(ctx context.Context, client *http.Client, peer netip.AddrPort, service string) (VersionedEngineConfig, error) {
	limit := timeout.Limit{FirstByte: engineTimeout, Stall: engineTimeout, Total: 2 * engineTimeout}
	ctx, end := limit.Context(ctx)
	defer end()
	var resp VersionedEngineConfig
	target := fmt.Sprintf("http://%s%s?%s", peer, EnginePath, url.Values{"service": {service}}.Encode())
	if err := call.GetJSON(ctx, client, target, maxEngineResponse, &resp); err != nil {
		return resp, fmt.Errorf("fetch the engine's configuration from peer %s: %w", peer, timeout.Explain(ctx, err))
	}
	if !resp.Complete() {
		return resp, fmt.Errorf("fetch the engine's configuration from peer %s: %w", peer, errIncomplete)
	}
	return resp, nil
}
