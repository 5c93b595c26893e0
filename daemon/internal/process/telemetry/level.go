package telemetry

import (
	"fmt"
	"sync/atomic"

	"github.com/apex/log"
)

// levelFilter passes lines from a level on, which may change while the process logs. The level of
// log.Logger is read without synchronization.
type levelFilter struct {
	next  log.Handler
	level atomic.Int64
}

// HandleLog implements log.Handler.
func (f *levelFilter) HandleLog(entry *log.Entry) error {
	if entry.Level < log.Level(f.level.Load()) {
		return nil
	}
	return f.next.HandleLog(entry)
}

// set changes the level to debug, info, warn or error.
func (f *levelFilter) set(name string) error {
	level, err := log.ParseLevel(name)
	if err != nil {
		return fmt.Errorf("log level %q: %w", name, err)
	}
	f.level.Store(int64(level))
	return nil
}
