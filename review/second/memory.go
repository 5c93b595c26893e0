package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// smallMemoryMB is the memory of the smallest edge machine of the sheet.
	smallMemoryMB = 184
	maxBodyBytes  = 4 << 20
)

// memoryCase lets clients that the users don't control send heads without end to two routers, while ordinary clients
// send bodies within the limits. As the platform does, it kills a process over its memory and starts it again.
func memoryCase(f *fleet) (int, error) {
	const (
		routers, engines, apps = 3, 2, 3
		attacked               = 2
		endless, uploads       = 2900, 50
		lengthS                = 40.0
		descriptors            = 12000
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < descriptors {
		return failed, fmt.Errorf("%d descriptors are too few: %v", limit.Cur, err)
	}
	f.memoryMB = smallMemoryMB
	s, err := startSystem(f, routers, engines, apps, func(*runner, string, *http.Request) {})
	if err != nil {
		return failed, err
	}
	end := f.now() + lengthS
	var clients sync.WaitGroup
	if f.trouble {
		for _, router := range s.routers[:attacked] {
			for range endless {
				clients.Go(func() { f.sendEndlessHeads(router.frontend, end) })
			}
		}
	}
	var mu sync.Mutex
	statuses := map[int]int{}
	body := strings.Repeat("b", maxBodyBytes)
	for i := range attacked * uploads {
		clients.Go(func() {
			for f.now() < end {
				c := unsafeCall
				c.body = body
				r := attempt(s.routers[i%attacked].frontend, c)
				mu.Lock()
				statuses[r.status]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	kills, peaks := make([]int, routers), make([]int, routers)
	var platform sync.WaitGroup
	for i := range s.routers {
		platform.Go(func() { kills[i], peaks[i] = f.enforceMemory(s.routers[i], end) })
	}
	platform.Wait()
	clients.Wait()
	ended := 0
	for _, n := range kills {
		if n >= 3 {
			ended++
		}
	}
	f.log("answers to bodies within the limits, by status (0: none): %v", statuses)
	return f.verdict(ended >= 2, "processes of the routers over %d MiB and killed: %v times, peaks %v MiB", smallMemoryMB, kills, peaks), nil
}

// sendEndlessHeads sends heads of which the end never comes, each on a connection of its own.
func (f *fleet) sendEndlessHeads(frontend string, end float64) {
	head := []byte("GET " + safePath + "x HTTP/1.1\r\nHost: " + safeHost + "\r\n" + strings.Repeat("X-Fill: "+strings.Repeat("a", 50)+"\r\n", 250))
	for f.now() < end {
		if c, err := net.Dial("tcp", frontend); err == nil {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = c.Write(head)
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// enforceMemory kills a process whose own memory, without the program's file, is over the limit, and starts it again. It
// returns how often, and the highest figure in MiB.
func (f *fleet) enforceMemory(d *daemon, end float64) (kills, peak int) {
	for ; f.now() < end; time.Sleep(20 * time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
		_, text, ok := strings.Cut(string(status), "RssAnon:")
		kilobytes := 0
		if err != nil || !ok {
			continue
		}
		_, _ = fmt.Sscan(text, &kilobytes)
		mebibytes := kilobytes >> 10
		peak = max(peak, mebibytes)
		if mebibytes <= smallMemoryMB {
			continue
		}
		kills++
		f.log("%s takes %d MiB and is killed", d.name, mebibytes)
		_ = d.command.Process.Kill()
		<-d.ended
		time.Sleep(500 * time.Millisecond)
		if err := f.restart(d); err != nil {
			f.log("%s doesn't start again: %v", d.name, err)
			return kills, peak
		}
	}
	return kills, peak
}
