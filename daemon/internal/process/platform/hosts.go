package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Roles and states of the host list.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	StateLeaving = "leaving"
)

// Host is one host of the platform's host list.
type Host struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Hall    string         `json:"hall"`
	State   string         `json:"state"`
	Address netip.AddrPort `json:"address"`
}

// HostListing is the response to a fetch of the host list.
type HostListing struct {
	// Tag is the entity tag of the list, for conditional fetches.
	Tag   string
	Hosts []Host
}

// HostList is the client of the platform's list of live and leaving hosts.
type HostList struct {
	// Fetch returns the hosts of a hall, or of all halls if hall is empty. It returns false
	// if the list still has the given tag.
	Fetch func(ctx context.Context, hall, tag string) (HostListing, bool, error)
}

// NewHostList returns the client of the host list at an address.
func NewHostList(addr netip.AddrPort, client *http.Client) *HostList {
	return &HostList{Fetch: func(ctx context.Context, hall, tag string) (HostListing, bool, error) {
		listing, changed, err := fetchHosts(ctx, client, addr, hall, tag)
		if err != nil {
			return listing, changed, fmt.Errorf("fetch host list from %s: %w", addr, err)
		}
		return listing, changed, nil
	}}
}

func fetchHosts(ctx context.Context, client *http.Client, addr netip.AddrPort, hall, tag string) (HostListing, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	if hall != "" {
		query.Set("hall", hall)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/hosts?"+query.Encode(), nil)
	if err != nil {
		return HostListing{}, false, err
	}
	req.Header.Set("If-None-Match", tag)
	resp, err := client.Do(req)
	if err != nil {
		return HostListing{}, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return HostListing{Tag: tag}, false, nil
	case http.StatusOK:
	default:
		return HostListing{}, false, fmt.Errorf("status %s", resp.Status)
	}
	listing := HostListing{Tag: resp.Header.Get("ETag")}
	var body struct {
		Hosts []Host `json:"hosts"`
	}
	data, err := provider.ReadAll(ctx, resp.Body, maxResponseBytes)
	if err != nil {
		return HostListing{}, false, err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return HostListing{}, false, err
	}
	listing.Hosts = body.Hosts
	return listing, true, nil
}
