package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The routes of the small deployment.
const (
	streamHost, streamPath = "jepu9.example", "/lepu270/"
	safeHost, safePath     = "hulo84.example", "/boye614/"
	unsafeHost, unsafePath = "voka93.example", "/filo73/"
)

// Names of the services.
const (
	engineService = "leitor"
	appService    = "emprestimo"
)

// configuration returns the operator's configuration.
func (f *fleet) configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "stream", "hostname": streamHost, "pathPrefix": streamPath, "type": "streaming", "timeoutMs": 6000, "sloMs": 500,
				"itlTargetMs": 400, "priority": 1, "service": engineService, "maxAttempts": 2, "sessionAffinity": true, "resumable": false,
			},
			map[string]any{
				"name": "safe", "hostname": safeHost, "pathPrefix": safePath, "type": "safe", "timeoutMs": 4000, "sloMs": 300, "priority": 2,
				"service": appService, "maxAttempts": 2,
			},
			map[string]any{
				"name": "unsafe", "hostname": unsafeHost, "pathPrefix": unsafePath, "type": "unsafe", "timeoutMs": 4000, "sloMs": 300, "priority": 2,
				"service": appService, "maxAttempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": engineService, "maxConnections": 400, "engine": map[string]any{
				"capacity": capacity, "step_ms": 9.27, "per_seq_ms": 0.04, "context_per_k": 0.02, "pairs_per_m": 1.5, "stride": 5, "chunk": 2048,
				"read_per_s": 20700, "chunks": chunks, "chunkBytes": chunkBytes, "layers": 16, "usual": map[string]any{"prompt": 900, "answer": 70},
				"models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": appService, "maxConnections": 100},
			map[string]any{"name": "pesos", "origin": f.address(3, 3), "linkMbps": originMbps, "maxConnections": 64},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []any{key}, "priority": 1}},
	}
}

// system is a running small deployment.
type system struct {
	*fleet
	origin  *origin
	routers []*daemon
	engines []*runner
	apps    []*runner
}

// startSystem starts the stand-ins, routers and loaders, and waits until each engine holds version 1.
func startSystem(f *fleet, routers, engines, apps int, onRun func(u *runner, id string, r *http.Request)) (*system, error) {
	const firstRouter, firstEngine, firstApp = 5, 12, 40
	s := &system{fleet: f, origin: &origin{}}
	f.log("loopback network %s.0, ports from %d, trouble %v", f.prefix, f.port, f.trouble)
	if _, err := serve(f.address(3, 3), s.origin); err != nil {
		return nil, err
	}
	f.store.put("op/config", f.configuration(7))
	hall := func(i int) string { return []string{"hall-a", "hall-b"}[i%2] }
	add := func(machine int, u *runner) error {
		u.fleet, u.machine, u.backAfter = f, machine, 3*time.Second
		u.onRun = func(id string, r *http.Request) { onRun(u, id, r) }
		return u.begin()
	}
	for i := range engines {
		u := &runner{hall: hall(i), service: engineService, engine: true, staged: map[int][]byte{}, loaded: 1}
		for index := range chunks {
			u.staged[index] = piece(1, index) // the runners of the start hold version 1, staged too
		}
		if err := add(firstEngine+i, u); err != nil {
			return nil, err
		}
		s.engines = append(s.engines, u)
	}
	for i := range apps {
		u := &runner{hall: hall(i), service: appService}
		if err := add(firstApp+i, u); err != nil {
			return nil, err
		}
		s.apps = append(s.apps, u)
	}
	var seeds []string
	for i := range min(routers, 3) {
		seeds = append(seeds, f.address(firstRouter+i, 0))
	}
	for i := range routers {
		router, err := f.startRouter(firstRouter+i, hall(i), seeds)
		if err != nil {
			return nil, err
		}
		s.routers = append(s.routers, router)
	}
	for i := range engines {
		if _, err := f.startLoader(firstEngine+i, hall(i), engineService); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(s.routers, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // the load reports of the loaders arrive
	return s, nil
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// verdict records the outcome of a case.
func (f *fleet) verdict(ruleBroken bool, format string, arguments ...any) int {
	text := fmt.Sprintf(format, arguments...)
	code, word := held, "held"
	if ruleBroken {
		code, word = broken, "BROKEN"
	}
	f.log("the rule is %s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	return code
}

// The requests of the clients.
var (
	streamCall = call{method: http.MethodPost, host: streamHost, path: streamPath + "2f", parts: "5c1e07a2:40,e4402b7d:607", tokens: "647,70", deadline: 6 * time.Second}
	safeCall   = call{method: http.MethodGet, host: safeHost, path: safePath + "2f", deadline: 4 * time.Second}
	unsafeCall = call{method: http.MethodPost, host: unsafeHost, path: unsafePath + "de11/2f", body: "loan", deadline: 4 * time.Second}
)

// traffic counts the attempts that clients sent, and those that were served, by kind of request.
type traffic struct {
	*system
	clients sync.WaitGroup

	mu           sync.Mutex
	sent, served map[string]int
}

func newTraffic(s *system) *traffic {
	return &traffic{system: s, sent: map[string]int{}, served: map[string]int{}}
}

// play sends requests of a kind to all routers at random times, perS a second, until a time of the run.
func (t *traffic) play(kind string, perS, until float64, c call) {
	t.clients.Go(func() {
		for next := t.now(); next < until; next += rand.ExpFloat64() / perS {
			time.Sleep(time.Duration((next - t.now()) * float64(time.Second)))
			t.clients.Go(func() { t.record(kind, t.ask(t.routers, rand.IntN(len(t.routers)), c)) })
		}
	})
}

func (t *traffic) record(kind string, results []result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range results {
		t.log("%s: %s", kind, r.text())
		t.sent[kind]++
		if r.whole {
			t.served[kind]++
		}
	}
}

// starved waits for the clients and judges the rule Starved: a kind of request is served less than a quarter as often
// as all requests.
func (t *traffic) starved(kind string) int {
	t.clients.Wait()
	allSent, allServed := 0, 0
	for name, sent := range t.sent {
		allSent, allServed = allSent+sent, allServed+t.served[name]
	}
	share, all := float64(t.served[kind])/float64(max(t.sent[kind], 1)), float64(allServed)/float64(max(allSent, 1))
	return t.verdict(share < all/4, "served: %d of %d attempts of the kind %s, %d of all %d", t.served[kind], t.sent[kind], kind, allServed, allSent)
}
