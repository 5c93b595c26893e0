package swarm_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm/swarmtest"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// sharedOrigin is a fake origin with an outage, whose link is shared by all transfers.
type sharedOrigin struct {
	data [][]byte
	// linkTime is how long a chunk takes alone on the link, and maxInFlight how many chunks
	// may be in flight.
	linkTime    time.Duration
	maxInFlight int
	// outageStart and outageEnd bound the outage.
	outageStart, outageEnd time.Time

	mu             sync.Mutex
	linkFreeAt     time.Time
	inFlight, sent int
}

// slices is the number of slices in which a chunk is sent.
const slices = 8

func (o *sharedOrigin) chunk(ctx context.Context, _ netip.AddrPort, _ string, _, index int) ([]byte, error) {
	if !o.acquire() {
		return nil, errOriginDown
	}
	defer o.release()
	for range slices {
		if !helpers.Pause(time.Until(o.reserveSlice()), ctx.Done()) {
			return nil, ctx.Err()
		}
		if o.isDown() {
			return nil, errOriginDown
		}
	}
	o.mu.Lock()
	o.sent++
	o.mu.Unlock()
	return o.data[index], nil
}

func (o *sharedOrigin) isDown() bool {
	now := time.Now()
	return !now.Before(o.outageStart) && now.Before(o.outageEnd)
}

func (o *sharedOrigin) acquire() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDown() || o.inFlight >= o.maxInFlight {
		return false
	}
	o.inFlight++
	return true
}

func (o *sharedOrigin) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// reserveSlice reserves the link for one slice and returns when it has been sent.
func (o *sharedOrigin) reserveSlice() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := time.Now(); o.linkFreeAt.Before(now) {
		o.linkFreeAt = now
	}
	o.linkFreeAt = o.linkFreeAt.Add(o.linkTime / slices)
	return o.linkFreeAt
}

// TestFleetCompletesSoonAfterOriginOutage guards against a burst of requests when the origin
// recovers: if the outage counted towards overdue time, all hosts would request chunks at
// random at once and every chunk would arrive late.
func TestFleetCompletesSoonAfterOriginOutage(t *testing.T) {
	const (
		halls, perHall = 5, 16 / slowdown
		chunks         = 96
		linkTime       = 27 * time.Millisecond
		copyTime       = chunks * linkTime
	)
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sampleVersion(2, chunks)
		start := time.Now()
		o := &sharedOrigin{
			data: data, linkTime: linkTime, maxInFlight: 48,
			outageStart: start.Add(copyTime / 5), outageEnd: start.Add(copyTime/5 + 6*time.Second),
		}
		completed := runFleet(t, o, manifest, halls, perHall)
		first, last := completed[0].Sub(o.outageEnd), completed[len(completed)-1].Sub(o.outageEnd)
		t.Logf("first host after %.2f and last after %.2f of a copy time since the end of the outage, %d chunks sent", first.Seconds()/copyTime.Seconds(), last.Seconds()/copyTime.Seconds(), o.sent)
		assert.Less(t, first, copyTime*12/10)
		assert.Less(t, last, copyTime*16/10)
		assert.LessOrEqual(t, o.sent, chunks*115/100)
	})
}

// runFleet runs a fetch on each host over links as fast as the origin's, and returns the times
// at which they completed, in that order.
func runFleet(t *testing.T, o *sharedOrigin, manifest provider.Manifest, halls, perHall int) []time.Time {
	t.Helper()
	var net swarmtest.Network
	var listed []swarm.Host
	var copies []*swarm.Copy
	chunkBytes := float64(len(o.data[0]))
	for i := range halls * perHall {
		c := swarm.NewCopy(manifest)
		hostCopies := &swarm.Copies{}
		hostCopies.Add(c)
		copies = append(copies, c)
		routes := bunrouter.New()
		(&swarm.Server{Copies: hostCopies, Uplink: swarm.Uplink{
			BytesPerSecond: func() float64 { return chunkBytes / o.linkTime.Seconds() },
		}}).Register(routes)
		listed = append(listed, swarm.Host{Address: net.Serve(t, routes), Hall: fmt.Sprintf("hall-%d", i%halls)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var mu sync.Mutex
	var completed []time.Time
	var running sync.WaitGroup
	for i, c := range copies {
		fetch := &swarm.Fetch{
			Copy: c, Model: "m", Origin: provider.Origin{Chunk: o.chunk}, Self: listed[i],
			Hosts: func() []swarm.Host { return listed }, Client: net.Client(t),
			CopyTime: o.linkTime * time.Duration(len(manifest.Digests)), Early: i < 2,
		}
		running.Go(func() {
			assert.NoError(t, fetch.Run(ctx))
			mu.Lock()
			defer mu.Unlock()
			completed = append(completed, time.Now())
		})
	}
	running.Wait()
	return completed
}
