package residency_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/residency"
)

func TestBothListsBind(t *testing.T) {
	for _, test := range []struct {
		name           string
		route, account []string
		allowed        []string
	}{
		{"nothing is named", nil, nil, []string{"north", "south", ""}},
		{"empty lists name nothing", []string{}, []string{}, []string{"north", "south", ""}},
		{"the route's", []string{"north"}, nil, []string{"north"}},
		{"the account's", nil, []string{"south", "west"}, []string{"south"}},
		{"both, with one in common", []string{"north", "south"}, []string{"south"}, []string{"south"}},
		{"both, with none in common", []string{"north"}, []string{"south"}, nil},
		{"a region that there is not", []string{"moon"}, nil, nil},
		{"a name that is empty", []string{""}, nil, nil},
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
