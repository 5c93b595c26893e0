// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts. What it answers lags behind what was set.
//
//	GET /hosts?hall=H   {revision, hosts}; If-None-Match with the last ETag gives 304
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

// Role says what runs on a host.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State says whether a host is going.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one line of the list.
type Host struct {
	Name  string `json:"name"`
	Role  Role   `json:"role"`
	Hall  string `json:"hall"`
	State State  `json:"state"`
	// Address is where the host's wheelcleat process listens to its peers.
	Address netip.AddrPort `json:"address"`
}

// List is what the service answers.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// change is one edit of the list, visible from a time on.
type change struct {
	visible time.Time
	name    string
	host    Host
	removed bool
}

// Server is the list. The zero value is empty and does not lag.
type Server struct {
	// Lag is the time until a change shows; nil means none.
	Lag func() time.Duration
	// Down makes calls fail; nil means never.
	Down func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// mu guards all below.
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
func (s *Server) Set(host Host) { s.edit(change{name: host.Name, host: host}) }

// Remove takes a host off the list.
func (s *Server) Remove(name string) { s.edit(change{name: name, removed: true}) }

func (s *Server) edit(c change) {
	c.visible = s.now()
	if s.Lag != nil {
		c.visible = c.visible.Add(s.Lag())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// settle applies the changes whose time has come; the caller holds mu.
func (s *Server) settle() {
	now := s.now()
	if s.hosts == nil {
		s.hosts = map[string]Host{}
	}
	var waiting []change
	for _, c := range s.pending {
		switch {
		case c.visible.After(now):
			waiting = append(waiting, c)
			continue
		case c.removed:
			delete(s.hosts, c.name)
		default:
			s.hosts[c.name] = c.host
		}
		s.revision++
	}
	s.pending = waiting
}

// Current returns the list as callers see it now; an empty hall means all.
func (s *Server) Current(hall string) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	list := List{Revision: s.revision}
	for _, host := range s.hosts {
		if hall == "" || host.Hall == hall {
			list.Hosts = append(list.Hosts, host)
		}
	}
	sort.Slice(list.Hosts, func(i, j int) bool { return list.Hosts[i].Name < list.Hosts[j].Name })
	return list
}

// ServeHTTP answers GET /hosts.
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
