package peering

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file sends the times at which versions were declared to other daemons. Clocks of daemons cannot be compared,
// so a response has ages, and how long the call had waited when they were taken. The receiver knows when the call
// began and when it read the response, and the ages were taken between.

// maxDeclaredAge is the age from which a declared version is sent with complete replicas only.
const maxDeclaredAge = time.Minute

// declared returns the declared versions that go with the response to a call that was received at a time, and how
// long the call had waited when their ages were taken.
func (s *Source) declared(req request, resp response, received time.Time) ([]replica.VersionAge, time.Duration) {
	if s.Declared == nil {
		return nil, 0
	}
	if len(resp.Entries) > 0 {
		s.Table.AwaitApplied() // the response may have a version that is not compiled yet
	}
	known, now := s.Declared(), clock.Now()
	versions := slices.DeleteFunc(replica.Ages(known, now), func(version replica.VersionAge) bool {
		return req.after > 0 && version.Age.AtLeast > maxDeclaredAge
	})
	return versions, now.Sub(received)
}

// declaredDuring returns when versions were declared whose ages were taken between two times.
func declaredDuring(versions []replica.VersionAge, earliest, latest time.Time) []replica.DeclaredVersion {
	var declared []replica.DeclaredVersion
	for _, version := range versions {
		span := provider.Span{Before: latest.Add(-version.Age.AtLeast)}
		if version.Age.AtMost > 0 {
			span.After = earliest.Add(-version.Age.AtMost)
		}
		declared = append(declared, replica.DeclaredVersion{Target: provider.Target{Model: version.Model, Version: version.Version}, Declared: span})
	}
	return declared
}
