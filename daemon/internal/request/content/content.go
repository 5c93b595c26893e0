// Package content names what a request asks for, so that the same request is known again
// when its caller comes back, at whichever router.
//
// A caller's id is new with each attempt, so the name is a digest of what the caller sent
// and of who sent it. Of the content itself nothing can be read from the name, which
// stands in logs and goes from router to router. The service is left out: a route may be
// shared out over several.
package content

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// size is the length of a name in bytes: the chance that two of a million requests have the
// same one is 1e-27.
const size = 16

// Name is the digest of a request's content. The zero value names none.
type Name [size]byte

// Request is what a name is made of.
type Request struct {
	// Account is the client account's name, empty where there is none.
	Account, Method, Host string
	// Target is the path with its query, as the caller sent it.
	Target string
	Body   []byte
}

// Name returns the request's name. Each part goes in behind its length, so that no two
// requests have parts that run together alike.
func (r Request) Name() Name {
	hasher := blake3.New()
	for _, part := range [][]byte{[]byte(r.Account), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.Write(part)
	}
	var name Name
	copy(name[:], hasher.Sum(nil))
	return name
}

// String returns the name in hex, as logs have it.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// MarshalText and UnmarshalText have the name stand in JSON as in logs.
func (n Name) MarshalText() ([]byte, error) { return []byte(n.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (n *Name) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(size) {
		return fmt.Errorf("name of a content: %d characters, give %d in hex", len(text), hex.EncodedLen(size))
	}
	if _, err := hex.Decode(n[:], text); err != nil {
		return fmt.Errorf("name of a content: %w", err)
	}
	return nil
}
