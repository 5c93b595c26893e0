package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestAccountsPriorityGoesBeforeTheRoutes, and ranks are those of one service.
func TestAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	urgent := 0
	routes := []provider.Route{
		{Name: "a", Priority: 3, Shares: []provider.Share{{Service: "s", Weight: 1}}},
		{Name: "b", Priority: 1, Shares: []provider.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}},
		{Name: "c", Priority: 3, Shares: []provider.Share{{Service: "s", Weight: 1}}},
	}
	view := func(accounts ...provider.Account) *mirror.View {
		compiler := &mirror.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
			return provider.Record{Configuration: &provider.Configuration{Routes: routes, Accounts: accounts}}, nil
		}}
		compiler.Take([]provider.Entry{{Key: "configuration", Revision: 1}})
		return compiler.View()
	}
	plain, hasty := provider.Account{Name: "plain"}, provider.Account{Name: "hasty", Priority: &urgent}
	tests := []struct {
		name        string
		view        *mirror.View
		service     string
		route       *provider.Route
		account     *provider.Account
		rank, ranks int
	}{
		{"the less urgent route", view(plain), "s", &routes[0], &plain, 1, 2},
		{"the more urgent route", view(plain), "s", &routes[1], &plain, 0, 2},
		{"the only one of a service", view(plain), "t", &routes[1], &plain, 0, 1},
		{"no account", view(), "s", &routes[0], nil, 1, 2},
		{"an account with a priority", view(plain, hasty), "s", &routes[0], &hasty, 0, 3},
		{"beside one", view(plain, hasty), "s", &routes[1], &plain, 1, 3},
		{"an unknown service", view(), "u", &routes[0], nil, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rank, ranks := test.view.Rank(test.service, test.route, test.account)
			assert.Equal(t, []int{test.rank, test.ranks}, []int{rank, ranks})
		})
	}
}
