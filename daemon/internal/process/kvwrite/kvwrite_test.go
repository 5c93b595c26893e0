package kvwrite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

type value struct {
	WriteID string
	BasedOn uint64
}

func stampOf(data []byte) (Stamp, bool) {
	var v value
	err := json.Unmarshal(data, &v)
	return Stamp(v), err == nil
}

func encode(id string, basedOn uint64) []byte {
	data, _ := json.Marshal(value{id, basedOn})
	return data
}

// Guards against a wrong result of Put while writers race and the service fails: a write
// without an error took effect, a conflicting or unavailable one did not, and only
// ErrUnknownResult may mean either.
func TestPutReportsWhetherWriteTookEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]kv.Fault{{}, {}, {Down: true}, {DropResponse: true}}), 1, 8).Draw(t, "faults")
		var call atomic.Int64
		service := &kv.Server{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}
		service.Fault = func(kv.Op, string) kv.Fault {
			i := int(call.Add(1)) - 1
			if i < len(faults) {
				return faults[i]
			}
			return kv.Fault{}
		}
		server, err := serve.Loopback(service)
		require.NoError(t, err)
		defer server.Close()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		writer := &Writer{KV: platform.NewKV(server.Address, client), StampOf: stampOf, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond}

		// Another writer may write before this writer or between two of its attempts.
		otherWriteAt := int64(rapid.IntRange(-1, 4).Draw(t, "other write"))
		otherWrites := 0
		put := writer.KV.Put
		writer.KV.Put = func(ctx context.Context, write platform.Write) (uint64, error) {
			if call.Load() >= otherWriteAt && otherWriteAt >= 0 && otherWrites < 2 {
				otherWrites++
				present, _ := service.Store.Get("k")
				service.Store.Put("k", encode(fmt.Sprint("other", otherWrites), present.Revision), present.Revision, 0)
			}
			return put(ctx, write)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		revision, err := writer.Put(ctx, platform.Write{Key: "k", Value: encode("mine", 0)}, "mine")
		effective := tookEffect(service, "mine")
		switch {
		case err == nil:
			require.True(t, effective, "Put succeeded, but the write did not take effect")
			require.Equal(t, revision, effectAt(service, "mine"))
		case platform.IsConflict(err), errors.Is(err, platform.ErrUnavailable):
			require.False(t, effective, "Put reported that nothing was written, but the write took effect: %v", err)
		default:
			require.ErrorIs(t, err, platform.ErrUnknownResult)
		}
	})
}

// effectAt returns the revision at which a write took effect, 0 for never.
func effectAt(service *kv.Server, id string) uint64 {
	events, _, _, _ := service.Store.EventsAfter("", 0)
	for _, event := range events {
		if stamp, ok := stampOf(event.Value); ok && stamp.WriteID == id {
			return event.Revision
		}
	}
	return 0
}

func tookEffect(service *kv.Server, id string) bool { return effectAt(service, id) != 0 }

// Guards against ErrUnknownResult for a write that was never sent, because the connection was
// refused or the timeout expired before it was made.
func TestWritesWithoutConnectionAreUnavailable(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	hangs := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	for name, dial := range map[string]func(context.Context, string, string) (net.Conn, error){"refused": refused, "hangs": hangs} {
		t.Run(name, func(t *testing.T) { requireUnavailable(t, dial) })
	}
}

func requireUnavailable(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	writer := &Writer{KV: platform.NewKV(netip.MustParseAddrPort("127.0.0.1:1"), client), StampOf: stampOf, MinBackoff: time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := writer.Put(ctx, platform.Write{Key: "k", Value: encode("x", 0)}, "x")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	ctx, cancel = context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = writer.Delete(ctx, "k", 1)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against a deletion that fails after a transient fault, or that is reported as done
// although the key exists again.
func TestDeleteReportsWhetherKeyIsGone(t *testing.T) {
	tests := []struct {
		name    string
		faults  []kv.Fault
		rewrite bool // another operator creates the key again after a lost response
		wantErr error
	}{
		{"no fault", nil, false, nil},
		{"down, then up", []kv.Fault{{Down: true}}, false, nil},
		{"response lost", []kv.Fault{{DropResponse: true}}, false, nil},
		{"response lost and created again", []kv.Fault{{DropResponse: true}}, true, platform.ErrUnknownResult},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &kv.Server{}
			// Each call arrives on a connection of its own, so handlers run in different goroutines.
			var mu sync.Mutex
			calls := 0
			service.Fault = func(kv.Op, string) kv.Fault {
				mu.Lock()
				defer mu.Unlock()
				calls++
				if calls == 2 && test.rewrite {
					service.Store.Put("k", encode("other", 0), 0, 0)
				}
				if calls <= len(test.faults) {
					return test.faults[calls-1]
				}
				return kv.Fault{}
			}
			server, err := serve.Loopback(service)
			require.NoError(t, err)
			defer server.Close()
			revision, _ := service.Store.Put("k", encode("x", 0), 0, 0)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			writer := &Writer{KV: platform.NewKV(server.Address, client), StampOf: stampOf, MinBackoff: time.Millisecond}
			_, err = writer.Delete(t.Context(), "k", revision)
			if test.wantErr != nil {
				require.ErrorIs(t, err, test.wantErr)
				return
			}
			require.NoError(t, err)
			_, present := service.Store.Get("k")
			require.False(t, present)
		})
	}
}
