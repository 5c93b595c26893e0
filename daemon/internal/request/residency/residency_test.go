package residency_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/residency"
)

func TestRegionMustBeAllowedByRouteAndAccount(t *testing.T) {
	for _, test := range []struct {
		name           string
		route, account []string
		allowed        []string
	}{
		{"no restriction", nil, nil, []string{"north", "south", ""}},
		{"empty lists are no restriction", []string{}, []string{}, []string{"north", "south", ""}},
		{"route only", []string{"north"}, nil, []string{"north"}},
		{"account only", nil, []string{"south", "west"}, []string{"south"}},
		{"both, with a common region", []string{"north", "south"}, []string{"south"}, []string{"south"}},
		{"both, without a common region", []string{"north"}, []string{"south"}, nil},
		{"region without halls", []string{"moon"}, nil, nil},
		{"empty region name", []string{""}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			rule := residency.Rule{Route: test.route, Account: test.account}
			var allowed []string
			for _, region := range []string{"north", "south", ""} {
				if rule.Allows(region) {
					allowed = append(allowed, region)
				}
			}
			assert.Equal(t, test.allowed, allowed)
		})
	}
}
