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
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EnginePath is the path of the call by which a loader learns what the configuration
// says of its engine's service: some hundred bytes, where the configuration may have
// hundreds of kilobytes.
const EnginePath = "/engine"

const (
	// engineAnswers is how long an answer to it may take.
	engineAnswers = 500 * time.Millisecond
	// maxEngine bounds the answer, in bytes.
	maxEngine = 64 << 10
)

// EngineNews is what a configuration says of an engine's service.
type EngineNews struct {
	replica.EngineConfig
	// Revision is the configuration's.
	Revision provider.Revision `json:"revision"`
}

// EngineHandler answers from the newest view.
func EngineHandler(view func() *replica.View) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		known := view()
		if known.Configuration == nil {
			http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
			return
		}
		needs, err := replica.EngineConfigFor(known.Configuration, r.URL.Query().Get("service"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(EngineNews{EngineConfig: needs, Revision: known.ConfigurationRevision})
	}
}

// errIncomplete says that an answer lacks what a loader cannot do without.
var errIncomplete = errors.New("the answer names no model or no origin")

func askEngine(ctx context.Context, client *http.Client, peer netip.AddrPort, service string) (EngineNews, error) {
	limit := patience.Limit{First: engineAnswers, Stall: engineAnswers, Whole: 2 * engineAnswers}
	ctx, end := limit.Context(ctx)
	defer end()
	var news EngineNews
	question := fmt.Sprintf("http://%s%s?%s", peer, EnginePath, url.Values{"service": {service}}.Encode())
	if err := call.JSON(ctx, client, question, maxEngine, &news); err != nil {
		return news, fmt.Errorf("ask peer %s for the engine's service: %w", peer, patience.Explain(ctx, err))
	}
	if !news.Complete() {
		return news, fmt.Errorf("ask peer %s for the engine's service: %w", peer, errIncomplete)
	}
	return news, nil
}
