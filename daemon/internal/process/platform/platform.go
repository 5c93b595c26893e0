// Package platform holds the adapters to the platform's services: the
// key-value service and the host list.
//
// An adapter is a concrete type whose calls are function fields. The formats
// that the platform really speaks are not known yet; when they are, a new
// constructor fills the same fields and nothing outside this package changes.
// Tests replace single calls. An interface would say the same, but each fake
// would have to carry every method.
package platform

import (
	"errors"
	"fmt"
)

// Errors of the key-value service.
var (
	// ErrNotFound: the key or the lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted: the watch's revision is no longer kept; list again.
	ErrCompacted = errors.New("revision no longer kept")
	// ErrUnavailable: the call had no effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknown: the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("answer of the key-value service lost")
)

// ConflictError says that a write's condition did not hold.
type ConflictError struct {
	Key string
	// Revision is the key's present revision, 0 when it is absent.
	Revision uint64
}

// Error names the key and its present revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Key, e.Revision)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
