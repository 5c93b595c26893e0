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

// Host is one host of the platform's host list.
type Host struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Hall    string         `json:"hall"`
	State   string         `json:"state"`
	Address netip.AddrPort `json:"address"`
}

// Hosts is a fetched host list.
type Hosts struct {
	// Tag is the entity tag of the list, for conditional fetches.
	Tag   string
	Hosts []Host
}

// HostList is the client of the platform's list of live and leaving hosts.
type HostList struct {
	// Fetch returns the hosts of a hall, or of all halls if hall is empty. It returns false
	// if the list still has the given tag.
	Fetch func(ctx context.Context, hall, tag string) (Hosts, bool, error)
}

// NewHostList returns the client of the host list at an address.
func NewHostList(addr netip.AddrPort, client *http.Client) *HostList {
	return &HostList{Fetch: func(ctx context.Context, hall, tag string) (Hosts, bool, error) {
		hosts, changed, err := fetchHosts(ctx, client, addr, hall, tag)
		if err != nil {
			return hosts, changed, fmt.Errorf("host list at %s: %w", addr, err)
		}
		return hosts, changed, nil
	}}
}

func fetchHosts(ctx context.Context, client *http.Client, addr netip.AddrPort, hall, tag string) (Hosts, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	if hall != "" {
		query.Set("hall", hall)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/hosts?"+query.Encode(), nil)
	if err != nil {
		return Hosts{}, false, err
	}
	req.Header.Set("If-None-Match", tag)
	resp, err := client.Do(req)
	if err != nil {
		return Hosts{}, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return Hosts{Tag: tag}, false, nil
	case http.StatusOK:
	default:
		return Hosts{}, false, fmt.Errorf("status %s", resp.Status)
	}
	hosts := Hosts{Tag: resp.Header.Get("ETag")}
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list); err != nil {
		return Hosts{}, false, err
	}
	hosts.Hosts = list.Hosts
	return hosts, true, nil
}
