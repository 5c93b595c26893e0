package command

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/cli/internal/soak"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// buildDaemon builds wheelcleatd and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "wheelcleatd")
	require.NoError(t, soak.Build(t.Context(), path))
	return path
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := serve.FreeAddress()
	require.NoError(t, err)
	return address
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

func startStandin(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server, err := serve.Loopback(handler)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address
}

// TestDaemonsServeWithExampleSettings guards against example settings with which an entry or an
// agent doesn't start, serve or drain. Free addresses replace the fixed ones.
func TestDaemonsServeWithExampleSettings(t *testing.T) {
	daemon := buildDaemon(t)
	list := &hostlist.Server{}
	origin := &weights.Server{}
	id, err := origin.Add(weights.Generate(1, 1<<20), 0)
	require.NoError(t, err)

	entry, agent := settings.ExampleEntry(), settings.ExampleAgent()
	entry.Listen = settings.EntryListen{Callers: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t)}
	entry.Platform = settings.EntryPlatform{KeyValue: startStandin(t, &kv.Server{}), HostList: startStandin(t, list)}
	agent.Listen.Peers = freeAddress(t)
	agent.Platform.HostList = entry.Platform.HostList
	agent.Weights.Origin = startStandin(t, origin)
	upstream := &engine.Server{}
	agent.Upstream.Address = startStandin(t, upstream)
	list.Set(hostlist.Host{Name: entry.Name, Role: hostlist.RoleEntry, Hall: entry.Hall, Address: entry.Listen.Peers})
	list.Set(hostlist.Host{Name: agent.Name, Role: hostlist.RoleAgent, Hall: agent.Hall, Address: agent.Listen.Peers})

	logs := filepath.Join(t.TempDir(), "entry.log")
	output, err := os.Create(logs)
	require.NoError(t, err)
	t.Cleanup(func() { _ = output.Close() })
	processes := map[string]*exec.Cmd{}
	for name, value := range map[string]any{"entry": entry, "agent": agent} {
		var text bytes.Buffer
		require.NoError(t, writeJSON(&text, value))
		process := exec.Command(daemon, writeFile(t, name+".json", text.String()))
		if name == "entry" {
			process.Stdout, process.Stderr = output, output
		}
		require.NoError(t, process.Start())
		t.Cleanup(func() { _ = process.Process.Kill() })
		processes[name] = process
	}
	operators := "http://" + entry.Listen.Operators.String()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	require.NoError(t, fleet.Await(ctx, "readiness of the entry", func() bool {
		response, err := http.Get(operators + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}), "output of the entry:\n%s", readFile(t, logs))
	declarations := writeFile(t, "d.json", `{"kind":"Model","name":"m","spec":{"versions":[{"name":"v1","manifest":"`+id.String()+`"}]}}`+
		`{"kind":"Service","name":"s","spec":{"model":"m","version":"v1","replicas":1}}`)
	require.NoError(t, run(ctx, "--entry", operators, "apply", "-f", declarations).err)
	require.NoError(t, run(ctx, "--entry", operators, "rollout", "status", "s", "--wait").err)
	assert.Equal(t, id.String(), upstream.State().Manifest)

	response, err := http.Get(operators + "/metrics")
	require.NoError(t, err)
	var metrics bytes.Buffer
	_, err = metrics.ReadFrom(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Contains(t, metrics.String(), "wheelcleat_key_value_up")

	for name, process := range processes {
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		require.NoError(t, process.Wait(), "%s must exit with 0 after a drain", name)
	}
	assert.Contains(t, readFile(t, logs), `"decision":"place"`)
}

func TestDaemonRejectsInvalidSettings(t *testing.T) {
	daemon := buildDaemon(t)
	invalid := writeFile(t, "bad.json", `{"role":"entry","name":"e","hall":"h","listen":{"callers":"127.0.0.1:x"}}`)
	for _, args := range [][]string{{invalid}, {}, {invalid, invalid}} {
		text, err := exec.Command(daemon, args...).CombinedOutput()
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		assert.Equal(t, ExitUsage, exit.ExitCode(), "%s", text)
		if len(args) == 1 {
			assert.Contains(t, string(text), "bad.json: listen.callers: ")
			assert.Equal(t, 1, strings.Count(string(text), "\n"), "the error must be a single line: %s", text)
		}
	}
	_, err := os.Stat(invalid)
	require.NoError(t, err)
}
