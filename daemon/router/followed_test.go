package router

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

func enginesOf(hall string, network byte, count int) []*provider.Upstream {
	var engines []*provider.Upstream
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte(i / 200), byte(i % 200)}), uint16(8000+i%3))
		engines = append(engines, &provider.Upstream{ID: fmt.Sprint(hall, i), Hall: hall, Address: address})
	}
	return engines
}

// TestLoadsAreFollowedWithinBounds: all loaders of a small fleet, and of a large one those of
// the own hall and others up to the bound, which differ by router.
func TestLoadsAreFollowedWithinBounds(t *testing.T) {
	small := append(enginesOf("own", 1, 12), enginesOf("other", 2, 12)...)
	small = append(small, small[0]) // a second engine at the same host
	assert.Len(t, followed(small, "own", "r1", 7000), 24)

	large := append(enginesOf("own", 1, 30), enginesOf("other", 2, 500)...)
	first := followed(large, "own", "r1", 7000)
	assert.Len(t, first, 30+leastOthers)
	for _, engine := range large[:30] {
		assert.Contains(t, first, netip.AddrPortFrom(engine.Address.Addr(), 7000))
	}
	assert.ElementsMatch(t, first, followed(large, "own", "r1", 7000), "the same each time")
	assert.NotSubset(t, first, followed(large, "own", "r2", 7000))

	middling := append(enginesOf("own", 1, 12), enginesOf("other", 2, 500)...)
	assert.Len(t, followed(middling, "own", "r1", 7000), maxFollowed)
}

// TestReadersOfALoaderDoNotGrowWithTheHall: the routers of a hall of 117 before 88 loaders, and
// of one twice as large, share the loaders evenly, and each loader has as many readers in both.
func TestReadersOfALoaderDoNotGrowWithTheHall(t *testing.T) {
	for _, times := range []int{1, 2} {
		engines := append(enginesOf("own", 1, 88*times), enginesOf("other", 2, 352*times)...)
		readers := map[netip.AddrPort]int{}
		for router := range 117 * times {
			chosen := followed(engines, "own", fmt.Sprint("router-", router), 7000)
			assert.Len(t, chosen, maxFollowed+leastOthers)
			for _, loader := range chosen {
				readers[loader]++
			}
		}
		for _, engine := range engines[:88*times] {
			count := readers[netip.AddrPortFrom(engine.Address.Addr(), 7000)]
			assert.InDelta(t, 117*maxFollowed/88, count, 25, "%d times", times)
		}
	}
}
