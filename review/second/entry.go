package main

import (
	"net/http"
	"time"
)

// entryCase has another writer put one entry among the runners'. It names a service that the configuration doesn't
// name, at the address of the only runner of the applications' service.
func entryCase(f *fleet) (int, error) {
	const (
		routers, engines, apps  = 3, 3, 1
		streamsPerS, unsafePerS = 4.0, 4.0
		calm, lengthS           = time.Second, 40.0
	)
	s, err := startSystem(f, routers, engines, apps, func(u *runner, id string, _ *http.Request) {
		f.log("runner %d runs %s", u.machine, id)
	})
	if err != nil {
		return failed, err
	}
	t := newTraffic(s)
	until := f.now() + lengthS
	t.play("stream", streamsPerS, until, streamCall)
	t.play("unsafe", unsafePerS, until, unsafeCall)
	time.Sleep(calm)
	if f.trouble {
		address := s.apps[0].listenAddress()
		f.store.put("servers/inventario-7", map[string]any{
			"service": "inventario", "address": address, "zone": s.apps[0].hall, "version": 1, "capacity": 1, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1,
		})
		f.log("another writer puts servers/inventario-7: service inventario at %s", address)
	}
	return t.starved("unsafe"), nil
}
