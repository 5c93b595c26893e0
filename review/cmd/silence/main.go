// Command silence is a trial, not a case: all open connections between the routers of a hall, and
// from them to the store, fall silent once, while new ones work. Right after that a key is taken away.
// It checks whether a router lets requests with that key run that are sent when it is in touch again.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wheelcleat-review/harness"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	routers                             = 3
	// contact and apply are contactMs and configApplyMs of leitura-ne.
	contact, apply = 3 * time.Second, 2 * time.Second
	// settle is longer than a router takes to renew its lease.
	settle = 16 * time.Second
	asking = 8 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// proxy forwards connections to a target, and can silence those that are open.
type proxy struct {
	address string
	mu      sync.Mutex
	conns   []*link
}
type link struct {
	silent chan struct{}
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.(*net.TCPConn).SetLinger(0)
					_ = in.Close()
					return
				}
				k := &link{silent: make(chan struct{})}
				p.mu.Lock()
				p.conns = append(p.conns, k)
				p.mu.Unlock()
				go k.pump(in, out)
				k.pump(out, in)
			}()
		}
	}()
	return p
}

func (k *link) pump(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-k.silent:
			if err == nil {
				continue
			}
			return // the other end hears nothing
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.conns {
		close(k.silent)
	}
	n := len(p.conns)
	p.conns = nil
	return n
}

func run(dir, root string) int {
	record, err := harness.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	f := &harness.Fleet{Record: record, Root: root, Temp: temp}
	defer f.Close()
	code, err := play(f, record)
	if err != nil {
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}

func play(f *harness.Fleet, record *harness.Record) (int, error) {
	store := harness.NewStore()
	handler := store.Handler()
	keys := []string{"key-one-000000000000", "key-two-000000000000"}
	config := func(version int, keys []string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "docs", "hostname": "docs.example", "pathPrefix": "/docs/", "type": "safe", "timeoutMs": 2000, "sloMs": 300,
				"priority": 1, "service": "docs", "maxAttempts": 2, "public": false, "sessionAffinity": false, "resumable": false,
			}},
			"services": []map[string]any{{"name": "docs", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants":  []any{map[string]any{"name": "t1", "apiKeys": keys, "priority": 1}},
		}
	}
	store.Put("op/config", config(1, keys))
	runnerPort, err := harness.Ports("127.0.0.1", 1)
	if err != nil {
		return 0, err
	}
	runner := fmt.Sprintf("127.0.0.1:%d", runnerPort[0])
	ran := sync.Map{}
	_, err = f.Start("runner", nil, func(line string) {
		var e struct {
			Event, ID string
			Entry     json.RawMessage
		}
		_ = json.Unmarshal([]byte(line), &e)
		if e.Event == "beat" {
			store.Put("servers/i-1", e.Entry)
		}
		if e.Event == "run" {
			ran.Store(e.ID, true)
		}
	}, "target/review/plain", "-address", runner, "-id", "i-1", "-size", "800")
	if err != nil {
		return 0, err
	}
	var ports [routers][]int
	for i := range routers {
		if ports[i], err = harness.Ports("127.0.0.1", 4); err != nil {
			return 0, err
		}
	}
	var proxies []*proxy
	var peer [routers][routers]*proxy
	for i := range routers {
		for j := range routers {
			if i != j {
				peer[i][j] = newProxy(fmt.Sprintf("127.0.0.1:%d", ports[j][2]))
				proxies = append(proxies, peer[i][j])
			}
		}
	}
	name := func(i int) string { return fmt.Sprintf("edge-%d", i+1) }
	for i := range routers {
		address, err := harness.Serve("127.0.0.1", rewrite(handler, func(member string) string {
			for j := range routers {
				if j != i && member == name(j) {
					return peer[i][j].address
				}
			}
			return ""
		}))
		if err != nil {
			return 0, err
		}
		p := newProxy(address)
		proxies = append(proxies, p)
		if _, err := f.StartDaemon(name(i), harness.RouterSettings(name(i), "127.0.0.1", ports[i], p.address, 0)); err != nil {
			return 0, err
		}
	}
	for i := range routers {
		if !harness.Await(10*time.Second, func() bool { return harness.IsReady(fmt.Sprintf("127.0.0.1:%d", ports[i][1])) }) {
			return 0, fmt.Errorf("router %d is not ready", i+1)
		}
	}
	time.Sleep(settle)
	ask := func(i int, key, id string) int {
		req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/docs/1", ports[i][0]), nil)
		req.Host = "docs.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Deadline-Ms", "2000")
		client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	t := time.Now()
	if harness.Trouble() {
		n := 0
		for _, p := range proxies {
			n += p.silence()
		}
		record.Printf("%d open connections fall silent", n)
	}
	time.Sleep(100 * time.Millisecond)
	store.Put("op/config", config(2, keys[:1]))
	acked := time.Now()
	record.Printf("the second key is taken away")
	broken := 0
	for n := 0; time.Since(t) < asking; n++ {
		for i := range routers {
			id := fmt.Sprintf("%02x%014x", i+1, n)
			sent := time.Now()
			status := ask(i, keys[1], id)
			_, didRun := ran.Load(id)
			if didRun {
				late := sent.Sub(acked) > apply && sent.Sub(t) > contact
				if late {
					broken++
				}
				record.Printf("router %d runs it %.3f s after the silence (%d) late=%t", i+1, sent.Sub(t).Seconds(), status, late)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	if broken > 0 {
		record.Printf("BROKEN (CONFIG): %d requests ran with a key that was taken away, at routers in touch", broken)
		return exitBroken, nil
	}
	record.Printf("held: the key was not used for longer than allowed")
	return exitHeld, nil
}

// rewrite lets a router reach other routers through proxies.
func rewrite(next http.Handler, addressOf func(member string) string) http.Handler {
	item := func(v any) {
		m, ok := v.(map[string]any)
		if !ok || !strings.HasPrefix(fmt.Sprint(m["privateKey"]), "wheelcleat/members/") || m["value"] == nil {
			return
		}
		data, _ := json.Marshal(m["value"])
		var raw []byte
		_ = json.Unmarshal(data, &raw)
		var member map[string]any
		if json.Unmarshal(raw, &member) != nil {
			return
		}
		for k, v := range member {
			if strings.EqualFold(k, "name") {
				if a := addressOf(fmt.Sprint(v)); a != "" {
					for k2 := range member {
						if strings.EqualFold(k2, "peers") {
							member[k2] = a
						}
					}
				}
			}
		}
		raw, _ = json.Marshal(member)
		m["value"] = raw
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		var body map[string]any
		if json.Unmarshal(rec.Body.Bytes(), &body) != nil {
			w.WriteHeader(rec.Code)
			_, _ = w.Write(rec.Body.Bytes())
			return
		}
		for _, field := range []string{"entries", "events"} {
			if list, ok := body[field].([]any); ok {
				for _, v := range list {
					item(v)
				}
			}
		}
		item(body)
		harness.WriteJSON(w, rec.Code, body)
	})
}
