package report

import (
	"sync"
	"testing"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// TestNotifyChangeDuringStart guards against a data race between Start and
// NotifyChange, and against a change that is lost in it. An update of the host list
// may call NotifyChange before Start has returned.
func TestNotifyChangeDuringStart(*testing.T) {
	reported := make(chan struct{}, 8)
	reporter := &Reporter{
		Entries: func() []platform.Host { reported <- struct{}{}; return nil },
		Member:  func() *wire.Member { return &wire.Member{} },
	}
	var group sync.WaitGroup
	group.Go(reporter.NotifyChange)
	reporter.Start()
	group.Wait()
	<-reported // the first report
	<-reported // the one for the change
	reporter.Stop()
}
