package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// edit returns an example file after a change to its JSON document.
func edit(t *testing.T, role Role, change func(map[string]any)) []byte {
	t.Helper()
	data, err := Example(role)
	require.NoError(t, err)
	document := map[string]any{}
	require.NoError(t, json.Unmarshal(data, &document))
	change(document)
	data, err = json.Marshal(document)
	require.NoError(t, err)
	return data
}

func section(document map[string]any, name string) map[string]any {
	return document[name].(map[string]any)
}

func TestExamplesPassCheck(t *testing.T) {
	for _, role := range []Role{RoleEntry, RoleAgent} {
		data, err := Example(role)
		require.NoError(t, err)
		path := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(path, data, 0o600))
		file, err := Load(path)
		require.NoError(t, err)
		assert.Equal(t, role == RoleEntry, file.Entry != nil)
		assert.Equal(t, role == RoleAgent, file.Agent != nil)
	}
	_, err := Example("tracker")
	require.ErrorContains(t, err, "use entry, agent, router or loader")
}

func TestParseReportsEveryFieldError(t *testing.T) {
	tests := []struct {
		name  string
		role  Role
		edit  func(map[string]any)
		lines []string
	}{
		{"unknown field", RoleEntry, func(d map[string]any) { d["hal"] = "recife" }, []string{"f.json: hal: unknown field (known fields: "}},
		{"unknown nested field", RoleAgent, func(d map[string]any) { section(d, "upstream")["addr"] = "x" }, []string{"f.json: upstream.addr: unknown field"}},
		{"number for a duration", RoleEntry, func(d map[string]any) { d["drain"] = 5 }, []string{"f.json: drain: a duration is a string with a unit"}},
		{"wrong unit", RoleEntry, func(d map[string]any) { d["drain"] = "5 minutes" }, []string{`f.json: drain: "5 minutes" is not a duration`}},
		{"duration out of bounds", RoleEntry, func(d map[string]any) { d["drain"] = "48h" }, []string{"f.json: drain: 48h0m0s is out of bounds"}},
		{"missing address", RoleEntry, func(d map[string]any) { delete(section(d, "platform"), "keyValue") }, []string{"f.json: platform.keyValue: missing (an IP address and a port"}},
		{"host name for an address", RoleEntry, func(d map[string]any) { section(d, "listen")["callers"] = "localhost:7000" }, []string{"f.json: listen.callers: ", "such as"}},
		{"duplicate address", RoleEntry, func(d map[string]any) { section(d, "listen")["peers"] = "127.0.0.1:7001" }, []string{"f.json: listen.peers: 127.0.0.1:7001 is already the address of listen.operators"}},
		{"wrong type", RoleEntry, func(d map[string]any) { d["name"] = 7 }, []string{"f.json: name: 7 is not a string"}},
		{"size with a unit", RoleAgent, func(d map[string]any) { section(d, "weights")["stagingBytes"] = "2GiB" }, []string{`f.json: weights.stagingBytes: "2GiB" is not a int64 (an integer without a unit)`}},
		{"object expected", RoleEntry, func(d map[string]any) { d["listen"] = "127.0.0.1:1" }, []string{"f.json: listen: 127.0.0.1:1 is not an object"}},
		{"list expected", RoleAgent, func(d map[string]any) { section(d, "upstream")["services"] = "loans" }, []string{"f.json: upstream.services: loans is not a list"}},
		{"unknown role", RoleEntry, func(d map[string]any) { d["role"] = "tracker" }, []string{`f.json: role: unknown role tracker (use "entry", "agent", "router" or "loader")`}},
		{"no role", RoleEntry, func(d map[string]any) { delete(d, "role") }, []string{"f.json: role: missing"}},
		{"unknown level", RoleEntry, func(d map[string]any) { section(d, "log")["level"] = "loud" }, []string{`f.json: log.level: unknown level "loud"`}},
		{"unknown expected load", RoleRouter, func(d map[string]any) { section(d, "balance")["expectedLoad"] = "yes" }, []string{`f.json: balance.expectedLoad: unknown value "yes" (use auto, on or off)`}},
		{"number for the expected load", RoleRouter, func(d map[string]any) { section(d, "balance")["expectedLoad"] = 1 }, []string{"f.json: balance.expectedLoad: 1 is not a string"}},
		{"unknown field of balance", RoleRouter, func(d map[string]any) { section(d, "balance")["expected"] = "on" }, []string{"f.json: balance.expected: unknown field"}},
		{"open operators' port", RoleEntry, func(d map[string]any) { section(d, "listen")["operators"] = "0.0.0.0:7001" }, []string{"f.json: operatorKeyDigests: missing"}},
		{"plain without services", RoleAgent, func(d map[string]any) { section(d, "upstream")["kind"] = "plain" }, []string{"f.json: upstream.services: missing"}},
		{"two errors", RoleEntry, func(d map[string]any) { delete(d, "hall"); delete(d, "name") }, []string{"f.json: name: missing", "\nf.json: hall: missing"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.json", edit(t, test.role, test.edit))
			var fileErr *FileError
			require.True(t, errors.As(err, &fileErr), "%v", err)
			for _, line := range test.lines {
				assert.Contains(t, err.Error(), line)
			}
		})
	}
}

// TestExpectedLoadDefaultsToAuto guards against settings files without the section, which are those
// of earlier builds, that are rejected or change the choice of upstreams.
func TestExpectedLoadDefaultsToAuto(t *testing.T) {
	for value, expected := range map[string]ExpectedLoad{"": ExpectedLoadAuto, "auto": ExpectedLoadAuto, "on": ExpectedLoadOn, "off": ExpectedLoadOff} {
		file, err := Parse("f.json", edit(t, RoleRouter, func(d map[string]any) {
			delete(d, "balance")
			if value != "" {
				d["balance"] = map[string]any{"expectedLoad": value}
			}
		}))
		require.NoError(t, err)
		assert.Equal(t, expected, file.Router.Balance.ExpectedLoad, value)
	}
}

func TestParseRejectsInvalidJSON(t *testing.T) {
	for _, text := range []string{"", "{", "[]", `{"role":"entry"} {}`} {
		_, err := Parse("f.json", []byte(text))
		require.ErrorContains(t, err, "f.json: ", "%q", text)
	}
}

// FuzzParse checks that Parse returns either the settings of one role or the invalid fields.
func FuzzParse(f *testing.F) {
	for _, role := range []Role{RoleEntry, RoleAgent, RoleRouter, RoleLoader} {
		data, err := Example(role)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"role":"entry","listen":{"callers":[]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f.json", data)
		if err == nil {
			roles := 0
			for _, set := range []bool{file.Entry != nil, file.Agent != nil, file.Router != nil, file.Loader != nil} {
				if set {
					roles++
				}
			}
			require.Equal(t, 1, roles)
			return
		}
		var fileErr *FileError
		require.True(t, errors.As(err, &fileErr))
		require.NotEmpty(t, fileErr.FieldErrors)
	})
}
