// Package placement assigns hosts of a data hall to services and versions, and rolls out new
// versions in waves.
//
// Plan is a pure function of the last document, the declarations and the hosts, and returns
// the next document. The placer that holds the hall's lease calls it and writes the document
// with compare and swap.
//
// A document records the version that each host serves, not only the target of the service.
// So a host that is replaced during a rollout gets the version of its wave, and a halted
// rollout does not advance when another entry takes over.
package placement

import "slices"

// Document is the placement of one hall, stored under one key. Every entry receives each
// change of a document, so hosts have short JSON keys.
type Document struct {
	Hall string `json:"hall"`
	// Generation is incremented by each write. It is the fencing token of the assignments
	// that the write creates or changes.
	Generation uint64    `json:"generation"`
	WriteID    string    `json:"writeID,omitempty"`
	Services   []Service `json:"services"` // sorted by name
}

// None is the index that stands for no version.
const None = -1

// Service is the placement of one service within the hall.
type Service struct {
	Name string `json:"name"`
	// Versions holds the versions that Target, Previous and the hosts refer to.
	Versions []Version `json:"versions"`
	// Target is the index of the declared version.
	Target int `json:"target"`
	// Previous is the index of the last version that was rolled out to all hosts, or None.
	Previous int `json:"previous"`
	// Waves is the number of waves, and OpenWave the number of waves that may activate the
	// target. OpenWave does not decrease until the target changes.
	Waves    int `json:"waves"`
	OpenWave int `json:"openWave"`
	// Halted is the reason why the rollout is halted, "" if it is not.
	Halted string `json:"halted,omitempty"`
	Hosts  []Host `json:"hosts"` // sorted by name
}

// Version identifies one set of weights.
type Version struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
}

// Host is the assignment of one host.
type Host struct {
	Name string `json:"n"`
	// Wave is the host's wave, from 0. The host serves the target once Wave < OpenWave.
	Wave int `json:"w"`
	// Token is the fencing token of the host's orders. It increases with each change of
	// the version to serve.
	Token uint64 `json:"t"`
	// VersionIndex is the index of the version that the host is to serve now, or None.
	VersionIndex int `json:"v"`
}

// FindService returns the placement of a service, or nil.
func (d *Document) FindService(service string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return &d.Services[i]
		}
	}
	return nil
}

// FindHost returns a host's service and assignment, or nil for both.
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

// Manifest returns the manifest of the version at index, "" for None.
func (s *Service) Manifest(index int) string {
	if index < 0 || index >= len(s.Versions) {
		return ""
	}
	return s.Versions[index].Manifest
}

// addVersion appends a version unless it is present, and returns its index.
func (s *Service) addVersion(version Version) int {
	if i := slices.Index(s.Versions, version); i >= 0 {
		return i
	}
	s.Versions = append(s.Versions, version)
	return len(s.Versions) - 1
}

// clone returns a deep copy.
func (s *Service) clone() Service {
	copied := *s
	copied.Versions = slices.Clone(s.Versions)
	copied.Hosts = slices.Clone(s.Hosts)
	return copied
}

// prune removes versions without references and renumbers the references to the others.
func (s *Service) prune() {
	old := s.Versions
	s.Versions = nil
	renumber := func(index int) int {
		if index < 0 {
			return None
		}
		return s.addVersion(old[index])
	}
	s.Target = renumber(s.Target)
	s.Previous = renumber(s.Previous)
	for i := range s.Hosts {
		s.Hosts[i].VersionIndex = renumber(s.Hosts[i].VersionIndex)
	}
}
