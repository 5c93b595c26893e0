package main

import (
	"net/http"
	"sync"
	"time"
)

// manifestCase names version 2. One answer of the origin, the first manifest, arrives spoilt: one digit of one digest
// is another one. All other answers are sound.
func manifestCase(f *fleet) (int, error) {
	const (
		routers, engines, apps = 3, 24, 2
		streamsPerS, safePerS  = 2.0, 8.0
		calm, lengthS          = time.Second, 46.0
		spoiltIndex            = 40
	)
	s, err := startSystem(f, routers, engines, apps, func(u *runner, id string, _ *http.Request) {
		f.log("runner %d runs %s", u.machine, id)
	})
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	spoilt := false
	s.origin.spoil = func(version int, digests []string) []string {
		mu.Lock()
		defer mu.Unlock()
		spoils := f.trouble && !spoilt
		f.log("the origin sends a manifest of version %d, spoilt: %v", version, spoils)
		if !spoils {
			return digests
		}
		spoilt = true
		digit := "0"
		if digests[spoiltIndex][5:6] == digit {
			digit = "1"
		}
		digests[spoiltIndex] = digests[spoiltIndex][:5] + digit + digests[spoiltIndex][6:]
		return digests
	}
	t := newTraffic(s)
	until := f.now() + lengthS
	t.play("stream", streamsPerS, until, streamCall)
	t.play("safe", safePerS, until, safeCall)
	time.Sleep(calm)
	f.store.put("op/version/"+model, map[string]any{"model": model, "version": 2})
	f.log("version 2 is named")
	return t.starved("stream"), nil
}
