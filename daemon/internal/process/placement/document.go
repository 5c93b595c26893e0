// Package placement decides which hosts of a data hall serve which version,
// and in which waves they turn to a new one.
//
// The decision is a pure function from the last document, the declarations and
// the hosts to the next document. Whoever holds the hall's lease computes it
// and writes it with compare and swap; the function itself knows neither
// clocks nor the key-value service, so its tests are tables.
//
// A document says for each host which version it serves now, not only which
// version the service is to reach. A host that is replaced in the middle of a
// rollout so gets the version that its wave has, and a halted rollout stays
// where it is whoever reads it.
package placement

import "slices"

// Document is the placement of one hall, the value of one key. Every entry
// receives every document at each change, so hosts are written in few bytes.
type Document struct {
	Hall string `json:"hall"`
	// Generation grows by one with every write. It is the source of fencing
	// tokens: an assignment made by a write carries that write's generation.
	Generation uint64    `json:"generation"`
	WriteID    string    `json:"writeID,omitempty"`
	Services   []Service `json:"services"` // sorted by name
}

// None is the index of no version.
const None = -1

// Service is the placement of one service within the hall.
type Service struct {
	Name string `json:"name"`
	// Versions holds every version that Target, Previous or a host refers to.
	Versions []Version `json:"versions"`
	// Target is the index of the declared version.
	Target int `json:"target"`
	// Previous is the index of the last version that the whole service
	// reached, or None.
	Previous int `json:"previous"`
	// Waves is the number of waves, OpenWave the number of them that may
	// activate. OpenWave only grows until the target changes.
	Waves    int `json:"waves"`
	OpenWave int `json:"openWave"`
	// Halted says why no further wave opens, "" while the rollout goes on.
	Halted string `json:"halted,omitempty"`
	Hosts  []Host `json:"hosts"` // sorted by name
}

// Version names one set of weights.
type Version struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
}

// Host is one host's assignment.
type Host struct {
	Name string `json:"n"`
	// Wave counts from 0; the host turns to the target when Wave < OpenWave.
	Wave int `json:"w"`
	// Token is the fencing token of the host's orders. It grows with every
	// change of what the host should serve.
	Token uint64 `json:"t"`
	// Serve is the index of the version that the host serves now, or None.
	Serve int `json:"v"`
}

// Find returns the placement of a service, or nil.
func (d *Document) Find(service string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return &d.Services[i]
		}
	}
	return nil
}

// FindHost returns a host's service and assignment, or nils.
func (d *Document) FindHost(host string) (*Service, *Host) {
	for i := range d.Services {
		service := &d.Services[i]
		for j := range service.Hosts {
			if service.Hosts[j].Name == host {
				return service, &service.Hosts[j]
			}
		}
	}
	return nil, nil
}

// Manifest returns the manifest at a version index, "" for None.
func (s *Service) Manifest(index int) string {
	if index < 0 || index >= len(s.Versions) {
		return ""
	}
	return s.Versions[index].Manifest
}

// indexOf returns the index of a version, appending it if it is new.
func (s *Service) indexOf(version Version) int {
	if at := slices.Index(s.Versions, version); at >= 0 {
		return at
	}
	s.Versions = append(s.Versions, version)
	return len(s.Versions) - 1
}

// clone returns a copy that shares no memory.
func (s *Service) clone() Service {
	copied := *s
	copied.Versions = slices.Clone(s.Versions)
	copied.Hosts = slices.Clone(s.Hosts)
	return copied
}

// prune drops the versions that nothing refers to.
func (s *Service) prune() {
	old := s.Versions
	s.Versions = nil
	move := func(index int) int {
		if index < 0 {
			return None
		}
		return s.indexOf(old[index])
	}
	s.Target = move(s.Target)
	s.Previous = move(s.Previous)
	for i := range s.Hosts {
		s.Hosts[i].Serve = move(s.Hosts[i].Serve)
	}
}
