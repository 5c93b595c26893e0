// Package content computes the digest of a request, by which every router recognizes a
// retry of the same request, and those of the parts of its prompt, by which every router recognizes
// other requests with the same part. Package quarantine keys its records by them.
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

// Digest returns the request's digest.
func (r Request) Digest() Digest {
	return sum([]byte(r.Account), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body)
}

// Part returns the digest of a part of a prompt, which all requests with that part share.
func Part(id string) Digest { return sum([]byte("part of a prompt"), []byte(id)) }

// sum returns the digest of a list of fields. Each is prefixed with its length, so that moving bytes
// from one field to the next changes the digest.
func sum(fields ...[]byte) Digest {
	hasher := blake3.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.Write(field)
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
