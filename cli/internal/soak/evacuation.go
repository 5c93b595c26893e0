package soak

import "time"

// evacuationBound is the time within which routers must stop sending to the upstreams of an
// evacuated hall.
const evacuationBound = 5 * time.Second

// evacuateHall evacuates a hall until the duration has passed since the bound of the check.
func (f *fleet) evacuateHall(hall string, duration time.Duration) {
	if !f.setEvacuated(hall, true) {
		return
	}
	f.injectOnce(HallEvacuate, hall, func() {
		f.wait(evacuationBound + duration)
		f.setEvacuated(hall, false)
	})
}

// setEvacuated evacuates a hall or ends its evacuation. It reports false if the hall was in that
// state before.
func (f *fleet) setEvacuated(hall string, evacuated bool) bool {
	f.declareMu.Lock()
	defer f.declareMu.Unlock()
	if f.evacuated[hall] == evacuated {
		return false
	}
	set(&f.evacuated, hall, evacuated)
	if evacuated {
		f.store.Evacuate(hall)
		f.oracle.RecordEvacuated(hall)
		return true
	}
	f.oracle.RecordEvacuationEnded(hall)
	f.store.CancelEvacuation(hall)
	return true
}

// declareEvacuations writes the evacuations in effect to the store, and removes all others. It must be
// called with declareMu held.
func (f *fleet) declareEvacuations() {
	for _, hall := range f.halls() {
		if f.evacuated[hall] {
			f.store.Evacuate(hall)
			continue
		}
		f.store.CancelEvacuation(hall)
	}
}

// RecordStarted records the hall in which an upstream starts.
func (o *Oracle) RecordStarted(upstream, hall string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.hallOf, upstream, hall)
}

// RecordEvacuated records that the evacuation of a hall was acknowledged.
func (o *Oracle) RecordEvacuated(hall string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.evacuated, hall, time.Now())
}

// RecordEvacuationEnded records that the evacuation of a hall is about to end.
func (o *Oracle) RecordEvacuationEnded(hall string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.evacuated, hall)
}

// checkEvacuation checks a request that arrived at an upstream. Faults of the store excuse it only while
// the evacuation has to spread: routers must not forget it later. It must be called with mu held.
func (o *Oracle) checkEvacuation(id, upstream string, now time.Time) {
	hall, router := o.hallOf[upstream], o.routerOf[id]
	at, evacuated := o.evacuated[hall]
	due := at.Add(evacuationBound + o.slack(at))
	if !evacuated || !now.After(due) || o.faultActive(at, due, router, "store") || o.faultActive(at, now, router, "router", "all") {
		return
	}
	o.violatef(CheckEvacuated, id, "%s received a request from %s %s after %s was evacuated", upstream, router, now.Sub(at).Round(time.Millisecond), hall)
}
