package kvwrite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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

// TestFateIsTrue lets writers race under every fault of the service. What Put
// says must be what happened: an accepted write took effect, a conflict or an
// unavailable one never did, and only "unknown" may be either.
func TestFateIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]kv.Fault{{}, {}, {Down: true}, {DropResponse: true}}), 1, 8).Draw(t, "faults")
		var call atomic.Int64
		service := &kv.Server{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}
		service.Fault = func(kv.Op, string) kv.Fault {
			at := int(call.Add(1)) - 1
			if at < len(script) {
				return script[at]
			}
			return kv.Fault{}
		}
		server, err := serve.Loopback(service)
		require.NoError(t, err)
		defer server.Close()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		writer := &Writer{KV: platform.NewKV(server.Address, client), StampOf: stampOf, MinWait: time.Millisecond, MaxWait: 2 * time.Millisecond}

		// A rival may write before, or between two tries of ours.
		rivalAt := int64(rapid.IntRange(-1, 4).Draw(t, "rival"))
		rivals := 0
		put := writer.KV.Put
		writer.KV.Put = func(ctx context.Context, write platform.Write) (uint64, error) {
			if call.Load() >= rivalAt && rivalAt >= 0 && rivals < 2 {
				rivals++
				present, _ := service.Store.Get("k")
				service.Store.Put("k", encode(fmt.Sprint("rival", rivals), present.Revision), present.Revision, 0)
			}
			return put(ctx, write)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		revision, err := writer.Put(ctx, platform.Write{Key: "k", Value: encode("mine", 0)}, "mine")
		took := tookEffect(service, "mine")
		switch {
		case err == nil:
			require.True(t, took, "said accepted, did not take effect")
			require.Equal(t, revision, effectAt(service, "mine"))
		case platform.IsConflict(err), errors.Is(err, platform.ErrUnavailable):
			require.False(t, took, "said not written, took effect: %v", err)
		default:
			require.ErrorIs(t, err, platform.ErrUnknown)
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

// TestUnavailableService covers both ways in which no connection is made: it is
// refused, and time runs out meanwhile.
func TestUnavailableService(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	hangs := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	for name, dial := range map[string]func(context.Context, string, string) (net.Conn, error){"refused": refused, "hangs": hangs} {
		t.Run(name, func(t *testing.T) { neverConnected(t, dial) })
	}
}

func neverConnected(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	writer := &Writer{KV: platform.NewKV(netip.MustParseAddrPort("127.0.0.1:1"), client), StampOf: stampOf, MinWait: time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := writer.Put(ctx, platform.Write{Key: "k", Value: encode("x", 0)}, "x")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	ctx, cancel = context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = writer.Delete(ctx, "k", 1)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestDelete(t *testing.T) {
	tests := []struct {
		name    string
		faults  []kv.Fault
		rewrite bool // another operator makes the key anew after a lost answer
		wantErr error
	}{
		{"plain", nil, false, nil},
		{"down, then up", []kv.Fault{{Down: true}}, false, nil},
		{"answer lost", []kv.Fault{{DropResponse: true}}, false, nil},
		{"answer lost and made anew", []kv.Fault{{DropResponse: true}}, true, platform.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &kv.Server{}
			calls := 0
			service.Fault = func(kv.Op, string) kv.Fault {
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
			writer := &Writer{KV: platform.NewKV(server.Address, client), StampOf: stampOf, MinWait: time.Millisecond}
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
