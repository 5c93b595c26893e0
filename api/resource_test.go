package api

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var validDigest = strings.Repeat("ab", 32)

func TestResourceJSONRoundTripAndErrors(t *testing.T) {
	tests := []struct {
		name, input, wantErr string
	}{
		{"model", `{"kind":"Model","name":"m","spec":{"versions":[{"name":"v1","manifest":"x"}]}}`, ""},
		{"duration with unit", `{"kind":"Service","name":"s","spec":{"rollout":{"pause":"250ms"}}}`, ""},
		{"duration without unit", `{"kind":"Service","name":"s","spec":{"rollout":{"pause":250}}}`, "a string with a unit"},
		{"unknown kind", `{"kind":"Pod","name":"s","spec":{}}`, `unknown kind "Pod"`},
		{"unknown field", `{"kind":"Service","name":"s","spec":{"replica":3}}`, `unknown field "replica"`},
		{"unknown outer field", `{"kind":"Service","name":"s","specs":{}}`, `unknown field "specs"`},
		{"no spec", `{"kind":"Service","name":"s"}`, "spec: missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Resource
			err := json.Unmarshal([]byte(test.input), &r)
			if test.wantErr != "" {
				require.ErrorContains(t, err, test.wantErr)
				return
			}
			require.NoError(t, err)
			encoded, err := json.Marshal(r)
			require.NoError(t, err)
			var decoded Resource
			require.NoError(t, json.Unmarshal(encoded, &decoded))
			assert.Equal(t, r, decoded)
		})
	}
}

func TestValidateReportsInvalidFields(t *testing.T) {
	service := func(change func(*ServiceSpec)) *Resource {
		spec := &ServiceSpec{Model: "m", Version: "v1", Replicas: 1}
		change(spec)
		return &Resource{Kind: KindService, Name: "s", Service: spec}
	}
	model := func(versions ...Version) *Resource {
		return &Resource{Kind: KindModel, Name: "m", Model: &ModelSpec{Versions: versions}}
	}
	tests := []struct {
		name     string
		resource *Resource
		paths    []string
	}{
		{"good service", service(func(*ServiceSpec) {}), nil},
		{"good model", model(Version{"v1", validDigest}), nil},
		{"bad name", &Resource{Kind: KindAccount, Name: "A b", Account: &AccountSpec{KeyDigests: []string{validDigest}}}, []string{"name"}},
		{"no versions", model(), []string{"spec.versions"}},
		{"bad digest, name twice", model(Version{"v1", "zz"}, Version{"v1", validDigest}), []string{"spec.versions[0].manifest", "spec.versions[1].name"}},
		{"no replicas", service(func(s *ServiceSpec) { s.Replicas = 0 }), []string{"spec.replicas"}},
		{"hall twice", service(func(s *ServiceSpec) { s.Halls = []string{"a", "a"} }), []string{"spec.halls[1]"}},
		{"bad share", service(func(s *ServiceSpec) { s.Limits.RetryShare = 2 }), []string{"spec.limits.retryShare"}},
		{"negative pause", service(func(s *ServiceSpec) { s.Rollout.Pause = Duration(-time.Second) }), []string{"spec.rollout.pause"}},
		{"plain with model", service(func(s *ServiceSpec) { s.Plain = true }), []string{"spec.model", "spec.replicas"}},
		{"account without key", &Resource{Kind: KindAccount, Name: "a", Account: &AccountSpec{}}, []string{"spec.keyDigests"}},
		{"spec of another kind", &Resource{Kind: KindAccount, Name: "a", Model: &ModelSpec{}}, []string{"spec"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var paths []string
			for _, invalid := range Validate(test.resource) {
				paths = append(paths, invalid.Path)
				assert.NotEmpty(t, invalid.Hint, "every error has a hint")
			}
			assert.Equal(t, test.paths, paths)
		})
	}
}

func TestServiceMustReferToDeclaredVersion(t *testing.T) {
	models := map[string]*ModelSpec{"m": {
		Versions: []Version{{"v1", validDigest}},
		Adapters: []Adapter{{Name: "legal", Versions: []Version{{"v7", validDigest}}}},
	}}
	find := func(name string) *ModelSpec { return models[name] }
	tests := []struct {
		name string
		spec ServiceSpec
		path string
	}{
		{"base version", ServiceSpec{Model: "m", Version: "v1"}, ""},
		{"adapter version", ServiceSpec{Model: "m", Adapter: "legal", Version: "v7"}, ""},
		{"base has no such version", ServiceSpec{Model: "m", Version: "v7"}, "spec.version"},
		{"no such model", ServiceSpec{Model: "n", Version: "v1"}, "spec.model"},
		{"plain", ServiceSpec{Plain: true}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			errs := ValidateReferences(&Resource{Kind: KindService, Name: "s", Service: &test.spec}, find)
			if test.path == "" {
				assert.Empty(t, errs)
				return
			}
			require.Len(t, errs, 1)
			assert.Equal(t, test.path, errs[0].Path)
		})
	}
}

// FuzzResource checks that every resource that can be decoded survives a round trip.
func FuzzResource(f *testing.F) {
	f.Add([]byte(`{"kind":"Model","name":"m","spec":{"versions":[{"name":"v1","manifest":"x"}]}}`))
	f.Add([]byte(`{"kind":"Service","name":"s","spec":{"rollout":{"pause":"250ms"}}}`))
	f.Add([]byte(`{"kind":"Account","name":"a","spec":{"keyDigests":["aa"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Resource
		if json.Unmarshal(data, &r) != nil {
			return
		}
		Validate(&r)
		encoded, err := json.Marshal(r)
		require.NoError(t, err)
		var decoded Resource
		require.NoError(t, json.Unmarshal(encoded, &decoded), "a decoded resource survives a round trip")
		require.True(t, SameSpec(&r, &decoded))
	})
}
