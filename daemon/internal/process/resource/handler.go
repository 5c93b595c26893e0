package resource

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
)

// Limits of the resource API.
const (
	maxBodyBytes = 1 << 20
	// bookmarkInterval is the interval of the bookmark events that report the current revision
	// to a watch.
	bookmarkInterval = 5 * time.Second
)

// Handler serves the resource API.
type Handler struct {
	Store     *Store
	Members   *members.Table
	Telemetry *telemetry.Telemetry
	// KeyDigests holds the hex SHA-256 digests of the operators' keys. If it is empty, no
	// key is required.
	KeyDigests []string
	// Stopping is closed when the process starts to drain, which ends all watches; nil means
	// never.
	Stopping <-chan struct{}
}

// Register adds the API's routes.
func (h *Handler) Register(router *bunrouter.Router) {
	router.GET("/v1/resources/:kind", h.wrap(h.list))
	router.GET("/v1/resources/:kind/:name", h.wrap(h.get))
	router.PUT("/v1/resources/:kind/:name", h.wrap(h.put))
	router.DELETE("/v1/resources/:kind/:name", h.wrap(h.delete))
	router.GET("/v1/watch", h.wrap(h.watch))
	router.GET("/v1/rollouts/:name", h.wrap(h.rollout))
}

// statusOf returns the HTTP status of a problem code.
func statusOf(code api.ProblemCode) int {
	switch code {
	case api.CodeInvalid:
		return http.StatusUnprocessableEntity
	case api.CodeMalformed:
		return http.StatusBadRequest
	case api.CodeConflict, api.CodeInUse:
		return http.StatusConflict
	case api.CodeNotFound:
		return http.StatusNotFound
	case api.CodeTooOld:
		return http.StatusGone
	case api.CodeUnavailable:
		return http.StatusServiceUnavailable
	case api.CodeUnknown:
		return http.StatusGatewayTimeout
	case api.CodeUnauthorized:
		return http.StatusUnauthorized
	case api.CodeForbidden:
		return http.StatusForbidden
	default:
		return http.StatusInternalServerError
	}
}

// wrap returns a handler that checks the operator's key and responds to errors with a problem.
func (h *Handler) wrap(handle bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		err := h.authorize(r.Request)
		if err == nil {
			err = handle(w, r)
		}
		if err == nil {
			return nil
		}
		var problem *api.Problem
		if !errors.As(err, &problem) {
			problem = &api.Problem{Code: "internal", Message: err.Error()}
		}
		if problem.Code == api.CodeUnavailable {
			w.Header().Set("Retry-After", "2")
		}
		return writeJSON(w, statusOf(problem.Code), problem)
	}
}

func (h *Handler) authorize(r *http.Request) error {
	if len(h.KeyDigests) == 0 {
		return nil
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return &api.Problem{Code: api.CodeUnauthorized, Message: "an operator's bearer key is missing", Hint: "set --key or WHEELCLEAT_KEY"}
	}
	hash := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(hash[:])
	for _, allowed := range h.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(allowed), []byte(digest)) == 1 {
			return nil
		}
	}
	return &api.Problem{Code: api.CodeForbidden, Message: "the bearer key is not an operator's"}
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(value)
}

func kindParam(r bunrouter.Request) (api.Kind, error) {
	kind, err := api.KindFromPlural(r.Param("kind"))
	if err != nil {
		return "", &api.Problem{Code: api.CodeNotFound, Message: err.Error()}
	}
	return kind, nil
}

func (h *Handler) list(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	view := h.Store.Table.View()
	list := api.List{Revision: view.Revision, Items: []api.Resource{}}
	for _, resource := range view.Sorted(kind) {
		list.Items = append(list.Items, *resource)
	}
	return writeJSON(w, http.StatusOK, list)
}

func (h *Handler) get(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	resource := h.Store.Table.View().ByKind(kind)[r.Param("name")]
	if resource == nil {
		return &api.Problem{Code: api.CodeNotFound, Message: fmt.Sprintf("%s %q does not exist", kind, r.Param("name"))}
	}
	return writeJSON(w, http.StatusOK, resource)
}

// ifMatch parses the revision in If-Match. It returns 0 if the header is missing or "*".
func ifMatch(r *http.Request) (uint64, error) {
	header := r.Header.Get("If-Match")
	if header == "" || header == "*" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return 0, &api.Problem{Code: api.CodeMalformed, Message: fmt.Sprintf("If-Match %s is not a revision", header), Hint: `such as If-Match: "12"`}
	}
	return revision, nil
}

func (h *Handler) put(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	revision, err := ifMatch(r.Request)
	if err != nil {
		return err
	}
	resource, err := readResource(r.Body)
	if err != nil {
		return err
	}
	if resource.Kind != kind || resource.Name != r.Param("name") {
		return &api.Problem{
			Code:    api.CodeMalformed,
			Message: fmt.Sprintf("the body declares %s %q, the path names %s %q", resource.Kind, resource.Name, kind, r.Param("name")),
		}
	}
	write := PutRequest{
		Resource: resource, IfRevision: revision,
		Create: r.Header.Get("If-None-Match") == "*",
		DryRun: r.URL.Query().Get("dryRun") == "true",
	}
	accepted, err := h.Store.Put(r.Context(), write)
	if err != nil {
		return err
	}
	h.logWrite("put", accepted, write.DryRun)
	return writeJSON(w, http.StatusOK, accepted)
}

func (h *Handler) logWrite(choice string, resource *api.Resource, dryRun bool) {
	reason := "the declaration is valid and its condition was met"
	if dryRun {
		reason = "dry run: nothing was written"
	}
	h.Telemetry.LogDecision(telemetry.Decision{
		Step: "configure", Choice: choice, Reason: reason, Revision: resource.Revision,
		Details: map[string]any{"kind": resource.Kind, "resource": resource.Name, "writeID": resource.WriteID},
	})
}

func readResource(body io.Reader) (*api.Resource, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return nil, &api.Problem{Code: api.CodeMalformed, Message: "the body was cut off: " + err.Error()}
	}
	if len(data) > maxBodyBytes {
		return nil, &api.Problem{Code: api.CodeMalformed, Message: fmt.Sprintf("the body takes more than %d bytes", maxBodyBytes)}
	}
	resource := &api.Resource{}
	if err := json.Unmarshal(data, resource); err != nil {
		return nil, &api.Problem{Code: api.CodeMalformed, Message: err.Error(), Hint: "see 'wheelcleat get KIND -o json' for the form"}
	}
	return resource, nil
}

func (h *Handler) delete(w http.ResponseWriter, r bunrouter.Request) error {
	kind, err := kindParam(r)
	if err != nil {
		return err
	}
	revision, err := ifMatch(r.Request)
	if err != nil {
		return err
	}
	name := r.Param("name")
	if err := h.Store.Delete(r.Context(), kind, name, revision); err != nil {
		return err
	}
	h.logWrite("delete", &api.Resource{Kind: kind, Name: name, Revision: revision}, false)
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// watch streams events as JSON lines until the client disconnects.
func (h *Handler) watch(w http.ResponseWriter, r bunrouter.Request) error {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return &api.Problem{Code: api.CodeMalformed, Message: "after is not a revision", Hint: "take the revision of a list"}
	}
	if _, _, kept := h.Store.Table.EventsAfter(after); !kept {
		return &api.Problem{
			Code: api.CodeTooOld, Message: fmt.Sprintf("changes after revision %d are no longer all kept", after),
			Revision: h.Store.Table.View().Revision, Hint: "list again and watch from the list's revision",
		}
	}
	w.Header().Set("Content-Type", "application/jsonl")
	stream := &eventStream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w), after: after}
	return h.follow(r.Context(), stream)
}

// eventStream is the response to one watch.
type eventStream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
	// after is the revision up to which all events have been sent.
	after uint64
}

func (h *Handler) follow(ctx context.Context, stream *eventStream) error {
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		changed := h.Store.Table.Changed()
		events, upTo, kept := h.Store.Table.EventsAfter(stream.after)
		if !kept {
			return nil // the client must resume, which fails with 410
		}
		if !stream.send(events, upTo) {
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
			if !stream.send([]api.Event{{Type: api.EventBookmark, Revision: upTo}}, upTo) {
				return nil
			}
		case <-h.Stopping:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *eventStream) send(events []api.Event, upTo uint64) bool {
	for _, event := range events {
		if s.encoder.Encode(event) != nil {
			return false
		}
	}
	s.after = upTo
	return s.controller.Flush() == nil
}
