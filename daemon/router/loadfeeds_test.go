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

// TestLoadFeedsAreBounded expects a router to follow all loaders of a small fleet. In a large fleet
// it follows the loaders of its own hall and some of other halls, which differ between routers.
func TestLoadFeedsAreBounded(t *testing.T) {
	small := append(enginesOf("own", 1, 12), enginesOf("other", 2, 12)...)
	small = append(small, small[0]) // a second engine at the same host
	assert.Len(t, chooseLoadFeeds(small, "own", "r1", 7000), 24)

	large := append(enginesOf("own", 1, 30), enginesOf("other", 2, 500)...)
	first := chooseLoadFeeds(large, "own", "r1", 7000)
	assert.Len(t, first, 30+minRemoteFeeds)
	for _, engine := range large[:30] {
		assert.Contains(t, first, netip.AddrPortFrom(engine.Address.Addr(), 7000))
	}
	assert.ElementsMatch(t, first, chooseLoadFeeds(large, "own", "r1", 7000), "the choice is stable")
	assert.NotSubset(t, first, chooseLoadFeeds(large, "own", "r2", 7000))

	medium := append(enginesOf("own", 1, 12), enginesOf("other", 2, 500)...)
	assert.Len(t, chooseLoadFeeds(medium, "own", "r1", 7000), maxLoadFeeds)
}

// TestReadersPerLoaderDoNotGrowWithHall doubles a hall and expects each loader to have as many
// followers as before, spread evenly.
func TestReadersPerLoaderDoNotGrowWithHall(t *testing.T) {
	for _, scale := range []int{1, 2} {
		engines := append(enginesOf("own", 1, 88*scale), enginesOf("other", 2, 352*scale)...)
		readers := map[netip.AddrPort]int{}
		for router := range 117 * scale {
			chosen := chooseLoadFeeds(engines, "own", fmt.Sprint("router-", router), 7000)
			assert.Len(t, chosen, maxLoadFeeds+minRemoteFeeds)
			for _, loader := range chosen {
				readers[loader]++
			}
		}
		for _, engine := range engines[:88*scale] {
			count := readers[netip.AddrPortFrom(engine.Address.Addr(), 7000)]
			assert.InDelta(t, 117*maxLoadFeeds/88, count, 25, "%d times", scale)
		}
	}
}
