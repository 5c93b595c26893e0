package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The parts of prompts: all requests of the route share the first, and some the second. Runners crash under the third.
const (
	firstPart  = "5c1e07a2:40"
	poisonPart = "91bd3f06"
)

// sound is a sound request's first attempt: when it was sent and whether it began at a runner.
type sound struct {
	at    float64
	began bool
}

// partCase sends sound requests to two of three routers, and from some time on requests with a part under which runners
// crash to the third: a client's connections go to the router that its hash picks, and only retries meet others.
func partCase(f *fleet) (int, error) {
	const (
		routers, engines  = 3, 8
		clump, clumpEvery = 3, 3 * time.Second
		calmS, troubleS   = 36.0, 60.0
		interval          = 125 * time.Millisecond
		poisonRouter      = 1
	)
	var mu sync.Mutex
	ran := map[string]bool{}
	s, err := startSystem(f, routers, engines, 0, func(u *runner, id string, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[id] = true
		f.log("runner %d runs %s", u.machine, id)
	})
	if err != nil {
		return failed, err
	}
	if f.trouble {
		for _, u := range s.engines {
			u.poison = poisonPart
		}
	}
	var clients sync.WaitGroup
	var sounds []sound
	send := func(name string, parts string, router int, isSound bool) {
		clients.Go(func() {
			at := f.now()
			results := f.ask(s.routers, router, call{
				method: http.MethodPost, host: streamHost, path: streamPath + newID()[:4], parts: parts, tokens: "647,40", deadline: 6 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			for _, r := range results {
				f.log("%s sent at %.3f: %s", name, at, r.text())
			}
			if isSound {
				sounds = append(sounds, sound{at, ran[results[0].id]})
			}
		})
	}
	poisonFrom := f.now() + calmS + rand.Float64()*clumpEvery.Seconds()
	end := poisonFrom + troubleS
	clients.Go(func() {
		for ; f.now() < end; time.Sleep(clumpEvery) {
			for range clump {
				send("sound", fmt.Sprintf("%s,%s:607", firstPart, newID()[:8]), []int{0, 2}[rand.IntN(2)], true)
			}
		}
	})
	clients.Go(func() {
		time.Sleep(time.Duration((poisonFrom - f.now()) * float64(time.Second)))
		for ; f.now() < end; time.Sleep(interval) {
			send("with the part", fmt.Sprintf("%s,%s:300,%s:307", firstPart, poisonPart, newID()[:8]), poisonRouter, false)
		}
	})
	var crashes []float64
	for f.now() < end {
		time.Sleep(20 * time.Millisecond)
		total := 0
		for _, u := range s.engines {
			u.mu.Lock()
			total += u.crashes
			u.mu.Unlock()
		}
		for len(crashes) < total {
			crashes = append(crashes, f.now())
		}
	}
	clients.Wait()
	from := poisonFrom
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1] + 2*contactMs/1e3
	}
	var calm, late, calmBegan, lateBegan int
	for _, request := range sounds {
		switch {
		case request.at < poisonFrom:
			calm++
			if request.began {
				calmBegan++
			}
		case request.at >= from:
			late++
			if request.began {
				lateBegan++
			}
		}
	}
	f.log("crashes at %.2f", crashes)
	if calm < 20 || late < 20 {
		return failed, fmt.Errorf("%d sound requests in calm and %d after %.1f s are too few", calm, late, from)
	}
	before, after := float64(calmBegan)/float64(calm), float64(lateBegan)/float64(late)
	return f.verdict(after < before/2, "%d crashes; sound requests that began at the first attempt: %d of %d in calm, %d of %d from %.1f s on",
		len(crashes), calmBegan, calm, lateBegan, late, from), nil
}
