// Package hostlist simulates the platform's list of live and leaving hosts.
// Changes become visible after a configurable lag.
//
//	GET /hosts?hall=H   {revision, hosts}; 304 if If-None-Match is the current ETag
package hostlist

import (
	"fmt"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Role is the kind of wheelcleat process that runs on a host.
type Role string

// Roles of a Host.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the lifecycle state of a host.
type State string

// States of a Host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name  string `json:"name"`
	Role  Role   `json:"role"`
	Hall  string `json:"hall"`
	State State  `json:"state"`
	// Address is the peer listener of the host's wheelcleat process.
	Address netip.AddrPort `json:"address"`
}

// List is the response to GET /hosts.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// change is a pending update of the list.
type change struct {
	visibleAt time.Time
	name      string
	host      Host
	removed   bool
}

// Server serves the list. The zero value is empty and has no lag.
type Server struct {
	// Lag returns the time until a change becomes visible; nil means none.
	Lag func() time.Duration
	// Down reports whether requests fail; nil means never.
	Down func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	pending  []change
	hosts    map[string]Host
	revision uint64
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// Set adds or replaces a host.
func (s *Server) Set(host Host) { s.enqueue(change{name: host.Name, host: host}) }

// Remove deletes a host from the list.
func (s *Server) Remove(name string) { s.enqueue(change{name: name, removed: true}) }

func (s *Server) enqueue(c change) {
	c.visibleAt = s.now()
	if s.Lag != nil {
		c.visibleAt = c.visibleAt.Add(s.Lag())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// applyVisible applies the pending changes that have become visible. The caller
// holds mu.
func (s *Server) applyVisible() {
	now := s.now()
	if s.hosts == nil {
		s.hosts = map[string]Host{}
	}
	var pending []change
	for _, c := range s.pending {
		switch {
		case c.visibleAt.After(now):
			pending = append(pending, c)
			continue
		case c.removed:
			delete(s.hosts, c.name)
		default:
			s.hosts[c.name] = c.host
		}
		s.revision++
	}
	s.pending = pending
}

// Current returns the visible list of a hall; an empty hall means all.
func (s *Server) Current(hall string) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyVisible()
	list := List{Revision: s.revision}
	for _, host := range s.hosts {
		if hall == "" || host.Hall == hall {
			list.Hosts = append(list.Hosts, host)
		}
	}
	sort.Slice(list.Hosts, func(i, j int) bool { return list.Hosts[i].Name < list.Hosts[j].Name })
	return list
}

// ServeHTTP serves GET /hosts.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Down != nil && s.Down() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != "/hosts" {
		http.NotFound(w, r)
		return
	}
	list := s.Current(r.URL.Query().Get("hall"))
	etag := fmt.Sprintf("%q", fmt.Sprint(list.Revision))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	serve.JSON(w, http.StatusOK, list)
}
