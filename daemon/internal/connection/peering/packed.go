package peering

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Large values are compressed ("packed"): a router sends a configuration of hundreds of
// kilobytes to many others over a narrow link, and its routes resemble each other.

const (
	// minPacked is the size in bytes from which values are packed.
	minPacked = 2 << 10
	// maxUnpacked bounds the unpacked entries of a response, and their values together, in bytes.
	maxUnpacked = 2 * maxResponse
)

// packedEntry is the encoded form of an entry. One of Value and Packed is empty.
type packedEntry struct {
	provider.Entry
	// Packed is the compressed value.
	Packed []byte `json:"packed,omitempty"`
}

// packer packs entries and caches the result for each revision of an entry. The zero value
// is ready to use.
type packer struct {
	mu sync.Mutex
	// packed holds the newest revision of each packed entry, by key.
	packed map[string]packedEntry
}

// pack returns the encoded form of entries.
func (p *packer) pack(entries []provider.Entry) []packedEntry {
	packed := make([]packedEntry, 0, len(entries))
	for _, entry := range entries {
		if len(entry.Value) < minPacked {
			packed = append(packed, packedEntry{Entry: entry})
			continue
		}
		packed = append(packed, p.packOne(entry))
	}
	return packed
}

// packOne packs a large entry. It holds mu meanwhile, so that concurrent calls for the same
// entry wait for the result instead of packing it again.
func (p *packer) packOne(entry provider.Entry) packedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.packed[entry.Key]; ok && cached.Revision == entry.Revision {
		return cached
	}
	result := packedEntry{Entry: entry, Packed: deflate(entry.Value)}
	result.Value = nil
	if p.packed == nil {
		p.packed = map[string]packedEntry{}
	}
	p.packed[entry.Key] = result
	return result
}

// unpack reverses pack. The values share one bound, since many small packed values may be large ones.
func unpack(packed []packedEntry) ([]provider.Entry, error) {
	entries := make([]provider.Entry, 0, len(packed))
	remaining := maxUnpacked
	for _, p := range packed {
		entry := p.Entry
		if len(p.Packed) > 0 {
			value, err := inflate(p.Packed, remaining)
			if err != nil {
				return nil, fmt.Errorf("unpack %q: %w", entry.Key, err)
			}
			entry.Value = value
			remaining -= len(value)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// packAll packs entries together, because the records of upstreams and routers resemble each
// other and compress better that way.
func packAll(entries []packedEntry) []byte {
	data, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return deflate(data)
}

// unpackAll reverses pack and packAll.
func unpackAll(packed []byte) ([]provider.Entry, error) {
	data, err := inflate(packed, maxUnpacked)
	if err != nil {
		return nil, fmt.Errorf("unpack %d bytes: %w", len(packed), err)
	}
	var entries []packedEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("decode unpacked entries: %w", err)
	}
	return unpack(entries)
}

func deflate(value []byte) []byte {
	var packed bytes.Buffer
	writer, _ := flate.NewWriter(&packed, flate.DefaultCompression) // fails for invalid levels only
	_, _ = writer.Write(value)                                      // writes to a buffer cannot fail
	_ = writer.Close()
	return packed.Bytes()
}

func inflate(packed []byte, limit int) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(limit)+1))
	if err == nil && len(value) > limit {
		err = fmt.Errorf("more than %d bytes", limit)
	}
	return value, err
}
