package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the users' sheet of it gives them.
const (
	contactMs     = 3000
	configApplyMs = 2000
	versionMs     = 8000
	graceS        = 8
	heartbeatMs   = 1200
)

// fleet is one run of a case: the stand-ins, the daemons and the record.
type fleet struct {
	// prefix holds the first three numbers of the loopback addresses of the run.
	prefix string
	// port is the first of the ports that all machines have free.
	port int
	// repository and folder are the checkout and the folder of the case, temporary holds the settings and the logs.
	repository, folder, temporary string
	trouble                       bool
	// memoryMB is the memory limit of a router.
	memoryMB int
	started  time.Time
	store    *store
	daemons  []*daemon

	mu     sync.Mutex
	record *os.File
}

func newFleet(folder string) (*fleet, error) {
	repository, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		repository: repository, folder: folder, temporary: temporary, record: record, started: time.Now(),
		trouble: os.Getenv("TROUBLE") != "0", memoryMB: 284,
	}
	if err := f.chooseAddresses(); err != nil {
		return nil, err
	}
	f.store = newStore()
	_, err = serve(f.address(2, 0), f.store)
	return f, err
}

// chooseAddresses chooses a free loopback network and free ports for the run.
func (f *fleet) chooseAddresses() error {
	const attempts, machines, ports = 50, 50, 6
	for range attempts {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		f.port = 20000 + rand.IntN(10000)
		free := true
		for machine := 2; machine < machines && free; machine++ {
			for port := 0; port < ports && free; port++ {
				listener, err := net.Listen("tcp", f.address(machine, port))
				if free = err == nil; free {
					_ = listener.Close()
				}
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (f *fleet) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.prefix, machine, f.port+port)
}

// now returns the seconds since the start of the run.
func (f *fleet) now() float64 { return time.Since(f.started).Seconds() }

// log writes a line to the record.
func (f *fleet) log(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", f.now(), fmt.Sprintf(format, arguments...))
}

// daemon is one process of the project.
type daemon struct {
	name    string
	command *exec.Cmd
	// ended is closed at the end of the process.
	ended chan struct{}
	// frontend, ready and metrics are the addresses of a router.
	frontend, ready, metrics string
}

// start starts a process with the command of the deploy file and the settings of its template.
func (f *fleet) start(name string, settings map[string]any) (*daemon, error) {
	path := filepath.Join(f.temporary, name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	d := &daemon{name: name}
	if err := f.restart(d); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return d, nil
}

// restart starts the process of a daemon, with the settings in force.
func (f *fleet) restart(d *daemon) error {
	output, err := os.OpenFile(filepath.Join(f.temporary, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command, ended := exec.Command(filepath.Join(f.repository, "target", "wheelcleatd")), make(chan struct{})
	command.Dir, command.Stdout, command.Stderr = f.repository, output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.temporary, "LANG=C", "WHEELCLEAT_SETTINGS=" + filepath.Join(f.temporary, d.name+".json")}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.command, d.ended = command, ended
	go func() {
		err := command.Wait()
		f.log("process %s ended: %v", d.name, err)
		close(ended)
	}()
	return nil
}

// startRouter starts a router on a machine, with the settings of deploy/router.json.tmpl.
func (f *fleet) startRouter(machine int, hall string, seeds []string) (*daemon, error) {
	d, err := f.start(fmt.Sprintf("edge-%s-%d", hall, machine), map[string]any{
		"role": "router", "name": fmt.Sprintf("edge-%s-%d", hall, machine), "hall": hall,
		"listen": map[string]any{
			"callers": f.address(machine, 5), "ready": f.address(machine, 2), "peers": f.address(machine, 0), "metrics": f.address(machine, 1),
		},
		"store": f.address(2, 0), "seeds": seeds, "loaderPort": f.port,
		"regions": []any{map[string]any{"hall": "hall-a", "region": "north"}, map[string]any{"hall": "hall-b", "region": "south"}},
		"bounds": map[string]any{
			"versionApply": fmt.Sprintf("%dms", versionMs), "retryRatio": 0.2, "retrySlack": 100, "retryWindow": "10s",
			"linkMbps": 1000, "memoryMb": f.memoryMB, "maxDescriptors": 4100,
		},
		"drain": fmt.Sprintf("%ds", graceS), "log": map[string]any{"level": "info"},
	})
	if err != nil {
		return nil, err
	}
	d.frontend, d.ready, d.metrics = f.address(machine, 5), f.address(machine, 2), f.address(machine, 1)
	return d, nil
}

// startLoader starts a loader beside a runner, with the settings of deploy/loader.json.tmpl.
func (f *fleet) startLoader(machine int, hall, service string) (*daemon, error) {
	name := fmt.Sprintf("side-%s-%d", hall, machine)
	return f.start(name, map[string]any{
		"role": "loader", "name": name, "hall": hall,
		"listen": map[string]any{"peers": f.address(machine, 0), "metrics": f.address(machine, 1)},
		"store":  f.address(2, 0), "engine": f.address(machine, 3), "service": service,
		"bounds": map[string]any{"versionApply": fmt.Sprintf("%dms", versionMs), "linkMbps": 7.3, "memoryMb": 152},
		"drain":  fmt.Sprintf("%ds", graceS), "log": map[string]any{"level": "info"},
	})
}

// end kills all processes, waits for them and removes the temporary folder, which stays for KEEP=1.
func (f *fleet) end() {
	for _, d := range f.daemons {
		_ = d.command.Process.Kill()
	}
	for _, d := range f.daemons {
		<-d.ended
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("settings and logs:", f.temporary)
		return
	}
	_ = os.RemoveAll(f.temporary)
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady(routers []*daemon, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, router := range routers {
		for {
			response, err := http.Get("http://" + router.ready + "/readyz")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", router.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// serve serves HTTP on an address.
func serve(address string, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener, nil
}
