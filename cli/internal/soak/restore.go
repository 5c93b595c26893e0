package soak

import (
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// restoreOutage is how long the store is down before it is restored, and rewriteDelay how long
	// upstreams and the operator take to write again what the store lost.
	restoreOutage = 300 * time.Millisecond
	rewriteDelay  = 500 * time.Millisecond
)

// restoreStore restores the store from a copy that is as old as the duration of the step.
func (f *fleet) restoreStore(age time.Duration) {
	f.injectOnce(StoreRestore, "", func() {
		earlier := f.store.Copy()
		f.wait(age)
		f.store.SetFault(standin.StoreFault{Down: true})
		f.wait(restoreOutage)
		f.store.Restore(earlier)
		f.store.SetFault(standin.StoreFault{})
		f.wait(rewriteDelay)
		f.rewrite()
	})
}

// rewrite writes the declarations and the records of all upstreams again, and removes the records of
// those that have ended since the copy was taken, as well as evacuations that have.
func (f *fleet) rewrite() {
	f.declareMu.Lock()
	f.declareConfiguration(int(f.newestConfiguration.Load()))
	f.declareVersion()
	f.declareEvacuations()
	f.declareMu.Unlock()
	current := map[string]bool{}
	for _, h := range f.hosts {
		h.mu.Lock()
		u, listed := h.upstream, !h.ended
		h.mu.Unlock()
		if listed {
			current[u.Record.ID] = true
			u.Announce()
		}
	}
	for _, id := range f.store.UpstreamIDs() {
		if !current[id] {
			f.store.RemoveUpstream(id)
		}
	}
}
