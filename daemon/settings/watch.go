package settings

import (
	"os"
	"time"

	"gopkg.in/tomb.v2"
)

// pollInterval is the interval between checks of the file.
const pollInterval = 2 * time.Second

// ReloadResult is the result of reading the settings file again.
type ReloadResult struct {
	File File
	Err  error
}

// Watcher reloads a settings file when it changes or when Reload is called. It
// polls the file's modification time and size; file notifications were rejected
// because they are not available on all hosts.
type Watcher struct {
	// Reloads delivers the result of each reload.
	Reloads <-chan ReloadResult

	path     string
	reloads  chan ReloadResult
	trigger  chan struct{}
	lastRead fileState
	tomb     tomb.Tomb
}

// fileState identifies the contents of a file; it is zero for a missing file.
type fileState struct {
	modified time.Time
	size     int64
}

// NewWatcher starts to watch a file that the caller has already loaded.
func NewWatcher(path string) *Watcher {
	reloads := make(chan ReloadResult)
	w := &Watcher{path: path, Reloads: reloads, reloads: reloads, trigger: make(chan struct{}, 1)}
	w.lastRead = w.stat()
	w.tomb.Go(w.run)
	return w
}

// Reload reloads the file now, even if it is unchanged.
func (w *Watcher) Reload() {
	select {
	case w.trigger <- struct{}{}:
	default: // a reload is already pending
	}
}

// Stop stops the watcher and waits for its goroutine.
func (w *Watcher) Stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

func (w *Watcher) run() error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.tomb.Dying():
			return nil
		case <-w.trigger:
			w.read()
		case <-ticker.C:
			if w.stat() != w.lastRead {
				w.read()
			}
		}
	}
}

func (w *Watcher) stat() fileState {
	info, err := os.Stat(w.path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

func (w *Watcher) read() {
	w.lastRead = w.stat()
	file, err := Load(w.path)
	select {
	case w.reloads <- ReloadResult{File: file, Err: err}:
	case <-w.tomb.Dying():
	}
}
