package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
)

// Roles and states of the host list.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	StateLeaving = "leaving"
)

// Host is one line of the platform's host list.
type Host struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Hall    string         `json:"hall"`
	State   string         `json:"state"`
	Address netip.AddrPort `json:"address"`
}

// Hosts is the host list as of one moment; it lags.
type Hosts struct {
	// Tag names this state of the list; a fetch with it is cheap when nothing
	// changed.
	Tag   string
	Hosts []Host
}

// HostList is the platform's list of live and leaving hosts.
type HostList struct {
	// Fetch returns the hosts of a hall, or of all where hall is empty, and
	// false where the list is still the one that tag names.
	Fetch func(ctx context.Context, hall, tag string) (Hosts, bool, error)
}

// NewHostList returns the list at an address.
func NewHostList(address netip.AddrPort, client *http.Client) *HostList {
	return &HostList{Fetch: func(ctx context.Context, hall, tag string) (Hosts, bool, error) {
		hosts, changed, err := fetchHosts(ctx, client, address, hall, tag)
		if err != nil {
			return hosts, changed, fmt.Errorf("host list at %s: %w", address, err)
		}
		return hosts, changed, nil
	}}
}

func fetchHosts(ctx context.Context, client *http.Client, address netip.AddrPort, hall, tag string) (Hosts, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	if hall != "" {
		query.Set("hall", hall)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/hosts?"+query.Encode(), nil)
	if err != nil {
		return Hosts{}, false, err
	}
	request.Header.Set("If-None-Match", tag)
	response, err := client.Do(request)
	if err != nil {
		return Hosts{}, false, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return Hosts{Tag: tag}, false, nil
	case http.StatusOK:
	default:
		return Hosts{}, false, fmt.Errorf("status %s", response.Status)
	}
	hosts := Hosts{Tag: response.Header.Get("ETag")}
	var answer struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return Hosts{}, false, err
	}
	hosts.Hosts = answer.Hosts
	return hosts, true, nil
}
