// Package content computes the digest of a request, by which every router recognizes a
// retry of the same request. Package quarantine keys its records by it.
//
// The request id cannot serve as the key, since a caller sends a new one with each attempt.
// The digest covers the account, the method, the host, the target and the body. It reveals
// nothing of the request, so it may be logged and sent to other routers. The service is not
// part of it, because a route may split its traffic over several services.
package content

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// digestBytes is the length of a digest in bytes.
const digestBytes = 16

// Digest is the digest of a request's content. The zero value means no content.
type Digest [digestBytes]byte

// Request holds the parts of a request that the digest covers.
type Request struct {
	// Account is the name of the client account, empty if the request has none.
	Account, Method, Host string
	// Target is the path and query as received from the caller.
	Target string
	Body   []byte
}

// Digest returns the request's digest. Each part is prefixed with its length, so that moving
// bytes from one part to the next changes the digest.
func (r Request) Digest() Digest {
	hasher := blake3.New()
	for _, part := range [][]byte{[]byte(r.Account), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.Write(part)
	}
	var digest Digest
	copy(digest[:], hasher.Sum(nil))
	return digest
}

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes the output of MarshalText.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(digestBytes) {
		return fmt.Errorf("name of a content: %d characters, give %d in hex", len(text), hex.EncodedLen(digestBytes))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("name of a content: %w", err)
	}
	return nil
}
