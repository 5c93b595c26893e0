package router

import (
	"math/rand/v2"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// rewriteSpread is the time over which the routers of a fleet write their entries again after the
// store was restored, whose writes a second are bounded.
const rewriteSpread = 4 * time.Second

// storeRestored writes again what this router has written to the store, since a restore from a copy
// may have lost it. The lease of the router's own record is given up in any case: its id may belong
// to another process by now.
func (p *Process) storeRestored(era uint64) {
	p.recorder.storeRestored(era)
	p.announcer.announceAgain()
	go p.persistVerdictsAgain()
}

// persistVerdictsAgain writes the verdicts that the store should hold. One router writes each.
func (p *Process) persistVerdictsAgain() {
	for _, report := range p.suspects.all() {
		if p.suspects.verdict([]content.Digest{report.Content}) != quarantine.Quarantined || p.trialPosition(report.Content) > 0 {
			continue
		}
		if !helpers.Pause(rand.N(rewriteSpread), p.done) {
			return
		}
		p.persistVerdict(report.Content)
	}
}
