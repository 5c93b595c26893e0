package report

import (
	"sync"
	"testing"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// TestChangedBesideStart: a change that comes while the reporter starts is not
// lost and is no data race; the host list brings such changes.
func TestChangedBesideStart(*testing.T) {
	reported := make(chan struct{}, 8)
	reporter := &Reporter{
		Entries: func() []platform.Host { reported <- struct{}{}; return nil },
		Member:  func() *wire.Member { return &wire.Member{} },
	}
	var group sync.WaitGroup
	group.Go(reporter.Changed)
	reporter.Start()
	group.Wait()
	<-reported // the first report
	<-reported // the one for the change
	reporter.Stop()
}
