// Package platform holds the clients of the platform's services: the key-value service and the
// host list.
//
// A client is a struct whose calls are function fields, so that another constructor can
// support another protocol without changes outside this package, and tests can replace single
// calls. An interface was rejected, because each fake would have to implement all methods.
package platform

import (
	"errors"
	"fmt"
)

// Errors of the key-value service.
var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that the changes after a watch's revision are no longer kept.
	ErrCompacted = errors.New("revision no longer kept")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknownResult means that the response was lost. A write may have taken effect.
	ErrUnknownResult = errors.New("response of the key-value service lost")
)

// ConflictError is the error of a write whose condition was not met.
type ConflictError struct {
	Key string
	// Revision is the current revision of the key, 0 if it is absent.
	Revision uint64
}

// Error returns a message with the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Key, e.Revision)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
