package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/cli/examples"
	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// output is the result of a command line.
type output struct {
	stdout, stderr string
	err            error
	code           int
}

func run(ctx context.Context, args ...string) output {
	var stdout, stderr bytes.Buffer
	command := New()
	command.Writer, command.ErrWriter = &stdout, &stderr
	err := command.Run(ctx, append([]string{"wheelcleat"}, args...))
	return output{stdout.String(), stderr.String(), err, ExitCode(err)}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestSettingsExamplesPassCheck(t *testing.T) {
	for _, role := range []string{"entry", "agent"} {
		example := run(t.Context(), "settings", "example", role)
		require.NoError(t, example.err)
		got := run(t.Context(), "settings", "check", writeFile(t, "s.json", example.stdout))
		require.NoError(t, got.err)
		assert.Contains(t, got.stdout, "valid settings for role "+role)
	}
	got := run(t.Context(), "settings", "check", writeFile(t, "s.json", `{"role":"entry","nam":"x"}`))
	assert.Equal(t, ExitUsage, got.code)
	assert.ErrorContains(t, got.err, "nam: unknown field")
	assert.Equal(t, ExitUsage, run(t.Context(), "settings", "check").code)
	assert.Equal(t, ExitUsage, run(t.Context(), "settings", "example", "tracker").code)
	assert.Equal(t, ExitFailed, run(t.Context(), "settings", "check", "/does/not/exist").code)
}

// TestExamplesReferToManifestOfSampleModel guards against a manifest digest in cli/examples that
// the command standins doesn't serve.
func TestExamplesReferToManifestOfSampleModel(t *testing.T) {
	samples, err := examples.Load()
	require.NoError(t, err)
	require.Len(t, samples, 3)
	for _, sample := range samples {
		assert.Empty(t, api.Validate(sample))
	}
	origin := &weights.Server{}
	id, err := origin.Add(weights.Generate(devSeed, 16<<20), 0)
	require.NoError(t, err)
	assert.Equal(t, id.String(), samples[0].Model.Versions[0].Manifest)
}

func TestDevOnceServesAndLogsDecisions(t *testing.T) {
	logFile := filepath.Join(t.TempDir(), "log")
	got := run(t.Context(), "dev", "--once", "--hosts", "4", "--entries", "1", "--model-bytes", "2MiB", "--log", logFile)
	require.NoError(t, got.err, got.stdout)
	lines := strings.Split(strings.TrimSpace(got.stdout), "\n")
	var summary DevSummary
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &summary))
	assert.Equal(t, 4, summary.Hosts)
	assert.Equal(t, 4, summary.Ready)
	assert.Equal(t, onceRequests, summary.AnswersOK)
	assert.GreaterOrEqual(t, summary.OriginBytes, int64(2<<20))

	log, err := os.ReadFile(logFile)
	require.NoError(t, err)
	decisions := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(string(log)), "\n") {
		var logLine struct {
			Fields map[string]any `json:"fields"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &logLine), "log line is not JSON: %s", line)
		if decision, ok := logLine.Fields["decision"].(string); ok {
			decisions[decision]++
			assert.NotEmpty(t, logLine.Fields["reason"])
		}
	}
	assert.GreaterOrEqual(t, decisions["route"], onceRequests, "missing lines of routing decisions")
	assert.GreaterOrEqual(t, decisions["place"], 4, "missing lines of placement decisions")
	assert.GreaterOrEqual(t, decisions["activate"], 4)
}

func TestDevRejectsInvalidFlags(t *testing.T) {
	for _, args := range [][]string{{"--model-bytes", "16"}, {"--hosts", "1"}, {"--data-halls", "0"}} {
		got := run(t.Context(), append([]string{"dev", "--once"}, args...)...)
		assert.Equal(t, ExitUsage, got.code, "%v: %v", args, got.err)
	}
}

// startFleet starts a fleet of one entry and two agents, and returns it with the --entry flag that
// selects it.
func startFleet(t *testing.T) (*fleet.Fleet, []string) {
	t.Helper()
	config := fleet.Config{Halls: []string{"hall-1"}, EntriesPerHall: 1, EngineHosts: 2}
	config.Entry.HostsInterval, config.Agent.HostsInterval = 50*time.Millisecond, 50*time.Millisecond
	f, err := fleet.Start(config)
	require.NoError(t, err)
	t.Cleanup(f.Kill)
	require.NoError(t, f.AwaitReady(t.Context()))
	return f, []string{"--entry", f.ResourceClient().Entries[0]}
}

func TestApplyDiffAndPruneDeclarations(t *testing.T) {
	f, entryFlag := startFleet(t)
	id, err := f.AddVersion(weights.Generate(1, 1<<20), 0)
	require.NoError(t, err)
	dir := t.TempDir()
	put := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	// The file of the service sorts first; apply must still create the model before it.
	put("a-service.json", `{"kind":"Service","name":"s","spec":{"model":"m","version":"v1","replicas":2}}`)
	put("b-model.json", `{"kind":"Model","name":"m","spec":{"versions":[{"name":"v1","manifest":"`+id.String()+`"}]}}`+"\n"+
		`{"kind":"Account","name":"till","spec":{"keyDigests":["`+strings.Repeat("ab", 32)+`"]}}`)
	cli := func(args ...string) output { return run(t.Context(), append(entryFlag, args...)...) }

	got := cli("diff", "-f", dir)
	assert.Equal(t, ExitChanges, got.code)
	assert.Contains(t, got.stdout, "create models/m")
	got = cli("apply", "-f", dir, "--dry-run")
	require.NoError(t, got.err)
	assert.Contains(t, got.stdout, "create services/s (dry run)")
	require.Contains(t, cli("get", "models", "-o", "json").stdout, `"items": []`, "a dry run must not write")

	got = cli("apply", "-f", dir)
	require.NoError(t, got.err)
	assert.Less(t, strings.Index(got.stdout, "create models/m"), strings.Index(got.stdout, "create services/s"))
	got = cli("apply", "-f", dir)
	require.NoError(t, got.err)
	assert.Equal(t, 3, strings.Count(got.stdout, "unchanged"))
	assert.Equal(t, 0, cli("diff", "-f", dir).code)

	got = cli("rollout", "status", "s", "--wait", "--timeout", "30s")
	require.NoError(t, got.err)
	assert.Contains(t, got.stdout, "service s, version v1: done")
	assert.Contains(t, got.stderr, "2 of 2 hosts ready", "progress is printed as lines without a terminal")
	got = cli("rollout", "status", "s", "-o", "json")
	var status api.RolloutStatus
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &status))
	assert.True(t, status.Done)

	put("a-service.json", `{"kind":"Service","name":"s","spec":{"model":"m","version":"v1","replicas":1}}`)
	got = cli("diff", "-f", dir)
	assert.Contains(t, got.stdout, `-   "replicas": 2`)
	assert.Contains(t, got.stdout, `+   "replicas": 1`)
	require.NoError(t, os.Remove(filepath.Join(dir, "a-service.json")))
	require.NoError(t, cli("apply", "-f", dir).err)
	assert.Contains(t, cli("get", "services").stdout, "m  v1, 2 hosts per hall", "nothing may be deleted without --prune")
	got = cli("apply", "-f", dir, "--prune", "-o", "json")
	require.NoError(t, got.err)
	assert.Contains(t, got.stdout, `{"change":"delete","kind":"Service","name":"s"}`)
	assert.Equal(t, ExitFailed, cli("get", "services", "s").code)
	require.NoError(t, cli("delete", "accounts", "till").err)
}

func TestApplyRejectsInvalidDeclarations(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"not JSON", `{"kind":`, "f.json:1: resource 0"},
		{"second resource", "{\"kind\":\"Model\",\"name\":\"m\",\"spec\":{}}\n{\"kind\":\"Pod\"}", "f.json:2: resource 1: kind: unknown kind"},
		{"invalid spec", `{"kind":"Model","name":"m","spec":{}}`, `resource 0 (Model "m"): spec.versions: empty`},
		{"declared twice", `{"kind":"Account","name":"a","spec":{"keyDigests":["` + strings.Repeat("ab", 32) + `"]}}` + `{"kind":"Account","name":"a","spec":{"keyDigests":["` + strings.Repeat("ab", 32) + `"]}}`, "declare each resource once"},
		{"empty", ``, "no declarations"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := run(t.Context(), "apply", "-f", writeFile(t, "f.json", test.text))
			assert.Equal(t, ExitUsage, got.code)
			assert.ErrorContains(t, got.err, test.want)
		})
	}
}

func TestWatchPrintsChanges(t *testing.T) {
	f, entryFlag := startFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		command := New()
		command.Writer = writer
		_ = command.Run(ctx, append(append([]string{"wheelcleat"}, entryFlag...), "watch", "--after", "0"))
		_ = writer.Close()
	}()
	require.NoError(t, f.Declare(t.Context(), &api.Resource{Kind: api.KindAccount, Name: "till", Account: &api.AccountSpec{KeyDigests: []string{strings.Repeat("ab", 32)}}}))
	line := make([]byte, 256)
	n, err := reader.Read(line)
	require.NoError(t, err)
	assert.Contains(t, string(line[:n]), "put accounts/till 1 keys")
	cancel()
	<-done
}

func TestParseSizeRequiresUnitAndBounds(t *testing.T) {
	for text, want := range map[string]int64{"1B": 1, "64KiB": 64 << 10, "16MiB": 16 << 20, "2GiB": 2 << 30} {
		got, err := ParseSize(text)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	for _, text := range []string{"", "16", "16MB", "-1MiB", "0B", "9999999999GiB", "x KiB"} {
		_, err := ParseSize(text)
		assert.Error(t, err, text)
	}
}
