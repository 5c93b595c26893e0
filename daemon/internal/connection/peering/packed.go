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

// A configuration of 1,650 routes is 300 KB. The router that reads it sends it to up to
// 32 others of its hall over a link of 40 Mbit/s: 405 KB each in base64 take 2.6 s, most
// of the time in which a change has to be in force. Routes are alike, so packed they are
// a sixth or less.

const (
	// packFrom is the size from which values are packed; smaller ones gain little.
	packFrom = 2 << 10
	// maxValue bounds an unpacked value: a store holds less.
	maxValue = maxCopy
)

// packedEntry is an entry on the wire. One of Value and Packed is empty.
type packedEntry struct {
	provider.Entry
	// Packed is the value, deflated.
	Packed []byte `json:"packed,omitempty"`
}

// packer packs entries, each state of one once. The zero value is ready to use.
type packer struct {
	mu sync.Mutex
	// packed holds the newest states that were packed, by key.
	packed map[string]packedEntry
}

// pack returns entries as they go on the wire.
func (p *packer) pack(entries []provider.Entry) []packedEntry {
	packed := make([]packedEntry, 0, len(entries))
	for _, entry := range entries {
		if len(entry.Value) < packFrom {
			packed = append(packed, packedEntry{Entry: entry})
			continue
		}
		packed = append(packed, p.packOne(entry))
	}
	return packed
}

// packOne packs a large entry. Those who ask meanwhile wait: they want the same one.
func (p *packer) packOne(entry provider.Entry) packedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[entry.Key]; ok && known.Revision == entry.Revision {
		return known
	}
	result := packedEntry{Entry: entry, Packed: deflate(entry.Value)}
	result.Value = nil
	if p.packed == nil {
		p.packed = map[string]packedEntry{}
	}
	p.packed[entry.Key] = result
	return result
}

// unpack returns entries as they were before pack.
func unpack(packed []packedEntry) ([]provider.Entry, error) {
	entries := make([]provider.Entry, 0, len(packed))
	for _, p := range packed {
		entry := p.Entry
		if len(p.Packed) > 0 {
			value, err := inflate(p.Packed)
			if err != nil {
				return nil, fmt.Errorf("unpack %q: %w", entry.Key, err)
			}
			entry.Value = value
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// packAll packs entries together, because the records of upstreams and routers are alike.
func packAll(entries []packedEntry) []byte {
	data, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return deflate(data)
}

// unpackAll returns entries as they were before pack and packAll.
func unpackAll(packed []byte) ([]provider.Entry, error) {
	data, err := inflate(packed)
	if err != nil {
		return nil, fmt.Errorf("unpack %d bytes: %w", len(packed), err)
	}
	var entries []packedEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("decode the unpacked entries: %w", err)
	}
	return unpack(entries)
}

func deflate(value []byte) []byte {
	var packed bytes.Buffer
	writer, _ := flate.NewWriter(&packed, flate.DefaultCompression) // fails for wrong levels only
	_, _ = writer.Write(value)                                      // a buffer takes everything
	_ = writer.Close()
	return packed.Bytes()
}

func inflate(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxValue+1))
	if err == nil && len(value) > maxValue {
		err = fmt.Errorf("the value is larger than %d bytes", maxValue)
	}
	return value, err
}
