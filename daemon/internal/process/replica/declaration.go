package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file keeps when versions were declared. Every deadline of a version runs from then, at each daemon,
// whenever and however it received the version.
//
// A daemon knows two bounds. A version was declared after the last time at which a complete replica is known
// to have lacked it, and before the first time at which any daemon is known to have had it. Followers set them
// for what they read from the store, and daemons pass them on as ages with their replicas. Each bound holds for
// all daemons, so the narrowest of those received is kept: it does not begin anew at a daemon that was
// restarted or frozen, or that learned of the version late.
//
// Rejected: the time of receipt, which is late by as much as the daemon is, and a time of day in the store, since
// the clocks of hosts jump.

// Declaration is a declared version of a model and when it was declared.
type Declaration struct {
	provider.Target
	// Revision is that of the entry in force, 0 for earlier declarations.
	Revision provider.Revision
	// DeclaredAfter and DeclaredBefore bound when the version was declared. DeclaredAfter is zero if no
	// daemon is known to have lacked the version.
	DeclaredAfter, DeclaredBefore time.Time
	// Confirmed is set once another daemon has told when it received the version. This one may have received
	// it late without noticing, for example over a full link.
	Confirmed bool
	// Previous is the declaration before this one, if it is known. At most maxDeclarations are linked.
	Previous *Declaration
}

const (
	// maxDeclarations is the number of declarations that are kept of a model.
	maxDeclarations = 4
	// maxUnknownShare is the longest time for which a version is taken to have been declared before any
	// daemon is known to have had it, as a share of its apply timeout. The rest is for engines to load it:
	// with all of it taken as over, nothing would serve until they have.
	maxUnknownShare = 0.6
	// minNarrowing is the least by which a bound must become narrower to be taken over. Ages that peers send
	// differ by the time that the responses take, and each change compiles a new view.
	minNarrowing = 50 * time.Millisecond
)

// DeclaredAt returns the time from which the apply timeout of the version counts: the earliest at which it may
// have been declared, within maxUnknownShare.
func (d *Declaration) DeclaredAt(applyTimeout time.Duration) time.Time {
	earliest := d.DeclaredBefore.Add(-time.Duration(maxUnknownShare * float64(applyTimeout)))
	if d.DeclaredAfter.After(earliest) {
		return d.DeclaredAfter
	}
	return earliest
}

// MinVersion returns the lowest version that may serve now: the newest that was declared
// longer than grace ago, or 0.
func (d *Declaration) MinVersion(now time.Time, grace, applyTimeout time.Duration) int {
	if declared := d.olderThan(grace, now, applyTimeout); declared != nil {
		return declared.Version
	}
	return 0
}

// olderThan returns the newest declaration that is older than age, or nil.
func (d *Declaration) olderThan(age time.Duration, now time.Time, applyTimeout time.Duration) *Declaration {
	for declared := d; declared != nil; declared = declared.Previous {
		if now.Sub(declared.DeclaredAt(applyTimeout)) > age {
			return declared
		}
	}
	return nil
}

// maxSpan is the longest time between the bounds of a declaration for which it is known well enough.
const maxSpan = 500 * time.Millisecond

// AgeUncertain reports whether it is not known well, or not confirmed, when the version was declared, or the one
// before it, although its apply timeout may not be over.
func (d *Declaration) AgeUncertain(now time.Time, applyTimeout time.Duration) bool {
	for declared := d; declared != nil && now.Sub(declared.DeclaredAt(applyTimeout)) < applyTimeout; declared = declared.Previous {
		if !declared.Confirmed || declared.DeclaredBefore.Sub(declared.DeclaredAfter) > maxSpan {
			return true
		}
	}
	return false
}

// DeclaredVersion is a version and when it was declared.
type DeclaredVersion struct {
	provider.Target
	Declared provider.Span
}

// VersionAge is a version and the time since it was declared.
type VersionAge struct {
	Model   string       `json:"model"`
	Version int          `json:"version"`
	Age     provider.Age `json:"age"`
}

// Ages returns the ages of versions at a time.
func Ages(versions []DeclaredVersion, now time.Time) []VersionAge {
	var ages []VersionAge
	for _, version := range versions {
		ages = append(ages, VersionAge{Model: version.Model, Version: version.Version, Age: version.Declared.Age(now)})
	}
	return ages
}

// bounds is when a version was declared, and whether another daemon has told when it received the version.
type bounds struct {
	provider.Span
	confirmed bool
}

// declarations holds the declared versions of all models. The zero value is ready to use.
type declarations struct {
	mu sync.Mutex
	// byModel holds when the newest versions of each model were declared, maxDeclarations at most.
	byModel map[string]map[int]bounds
}

// learn narrows the bounds of a version, and reports whether they changed. Declared has an upper bound.
func (d *declarations) learn(target provider.Target, declared provider.Span, confirmed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions := d.byModel[target.Model]
	known, ok := versions[target.Version]
	if !ok && len(versions) >= maxDeclarations && target.Version < slices.Min(slices.Collect(maps.Keys(versions))) {
		return false
	}
	learned := known
	learned.confirmed = known.confirmed || confirmed
	if !ok || known.Before.Sub(declared.Before) > minNarrowing {
		learned.Before = declared.Before
	}
	if declared.After.Sub(known.After) > minNarrowing {
		learned.After = declared.After
	}
	if learned.After.After(learned.Before) {
		learned.After = learned.Before // the daemons measured in different ways
	}
	if ok && learned == known {
		return false
	}
	d.store(target, learned)
	return true
}

// store stores the bounds of a version and drops the oldest of its model. The caller holds mu.
func (d *declarations) store(target provider.Target, declared bounds) {
	if d.byModel == nil {
		d.byModel = map[string]map[int]bounds{}
	}
	versions := d.byModel[target.Model]
	if versions == nil {
		versions = map[int]bounds{}
		d.byModel[target.Model] = versions
	}
	versions[target.Version] = declared
	if len(versions) > maxDeclarations {
		delete(versions, slices.Min(slices.Collect(maps.Keys(versions))))
	}
}

// chain returns the declaration in force, linked to those of earlier versions, whose deadlines still apply: an
// engine may be loading one of them.
func (d *declarations) chain(inForce registeredTarget) Declaration {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions := d.byModel[inForce.Model]
	var previous *Declaration
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		if version >= inForce.Version {
			break
		}
		previous = newDeclaration(provider.Target{Model: inForce.Model, Version: version}, versions[version], previous)
	}
	declared, ok := versions[inForce.Version]
	if !ok {
		declared.Span = inForce.written // peers know more newer versions than are kept
	}
	newest := newDeclaration(inForce.Target, declared, previous)
	newest.Revision = inForce.revision
	return *newest
}

func newDeclaration(target provider.Target, declared bounds, previous *Declaration) *Declaration {
	return &Declaration{Target: target, DeclaredAfter: declared.After, DeclaredBefore: declared.Before, Confirmed: declared.confirmed, Previous: previous}
}

// list returns all known versions, sorted by model and version.
func (d *declarations) list() []DeclaredVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listed []DeclaredVersion
	for _, model := range slices.Sorted(maps.Keys(d.byModel)) {
		versions := d.byModel[model]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			listed = append(listed, DeclaredVersion{Target: provider.Target{Model: model, Version: version}, Declared: versions[version].Span})
		}
	}
	return listed
}
