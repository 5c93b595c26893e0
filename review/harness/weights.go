package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
)

// Sizes of the weights, as on the users' sheet.
const (
	Model      = "m0"
	Chunks     = 96
	ChunkBytes = 24576
	Layers     = 16
)

// Piece returns the bytes of a piece of a version.
func Piece(version, index int) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%s/%d/%d", Model, version, index))
	return bytes.Repeat(seed[:], ChunkBytes/len(seed))
}

// Origin serves the manifests and pieces of all versions.
func Origin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest/{model}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		var digests []string
		for index := range Chunks {
			digest := sha256.Sum256(Piece(version, index))
			digests = append(digests, hex.EncodeToString(digest[:]))
		}
		WriteJSON(w, http.StatusOK, map[string]any{"model": Model, "version": version, "chunkBytes": ChunkBytes, "layers": Layers, "digests": digests})
	})
	mux.HandleFunc("GET /piece/{model}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		index, _ := strconv.Atoi(r.URL.Query().Get("sampleCount"))
		_, _ = w.Write(Piece(version, index))
	})
	return mux
}
