package settings

import (
	"os"
	"time"

	"gopkg.in/tomb.v2"
)

// lookEvery is the interval in which the file is looked at.
const lookEvery = 2 * time.Second

// Changed is a settings file that was read again.
type Changed struct {
	File File
	Err  error
}

// Watcher reads a settings file again when it changes, with or without a
// signal. File notification was rejected: not every host has it, and a look at
// the file's time each two seconds costs nothing.
type Watcher struct {
	// Changed delivers each new reading.
	Changed <-chan Changed

	path    string
	changed chan Changed
	forced  chan struct{}
	seen    stamp
	tomb    tomb.Tomb
}

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// NewWatcher begins to watch a file whose present state is known.
func NewWatcher(path string) *Watcher {
	changed := make(chan Changed)
	w := &Watcher{path: path, Changed: changed, changed: changed, forced: make(chan struct{}, 1)}
	w.seen = w.look()
	w.tomb.Go(w.run)
	return w
}

// ReadAgain reads the file now, even if it looks unchanged.
func (w *Watcher) ReadAgain() {
	select {
	case w.forced <- struct{}{}:
	default: // a reading is about to be made
	}
}

// Stop ends the watcher and waits for it.
func (w *Watcher) Stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

func (w *Watcher) run() error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.tomb.Dying():
			return nil
		case <-w.forced:
			w.read()
		case <-ticker.C:
			if w.look() != w.seen {
				w.read()
			}
		}
	}
}

func (w *Watcher) look() stamp {
	info, err := os.Stat(w.path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

func (w *Watcher) read() {
	w.seen = w.look()
	file, err := Load(w.path)
	select {
	case w.changed <- Changed{File: file, Err: err}:
	case <-w.tomb.Dying():
	}
}
