package replica_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestAccountPriorityPrecedesTheRoutes guards against accounts of the same priority that hide the
// priorities of routes, and against ranks that services with routes of one priority get in addition.
func TestAccountPriorityPrecedesTheRoutes(t *testing.T) {
	urgent, normal := 0, 1
	routes := []provider.Route{
		{Name: "a", Priority: 3, Shares: []provider.Share{{Service: "s", Weight: 1}}},
		{Name: "b", Priority: 1, Shares: []provider.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}},
		{Name: "c", Priority: 3, Shares: []provider.Share{{Service: "s", Weight: 1}}},
	}
	view := func(accounts ...provider.Account) *replica.View {
		compiler := &replica.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
			return provider.Record{Configuration: &provider.Configuration{Routes: routes, Accounts: accounts}}, nil
		}}
		compiler.Apply([]provider.Entry{{Key: "configuration", Revision: 1}})
		return compiler.View()
	}
	plain, prioritized := provider.Account{Name: "plain"}, provider.Account{Name: "prioritized", Priority: &urgent}
	other := provider.Account{Name: "other", Priority: &normal}
	tests := []struct {
		name        string
		view        *replica.View
		service     string
		route       *provider.Route
		account     *provider.Account
		rank, ranks int
	}{
		{"less urgent route", view(plain), "s", &routes[0], &plain, 1, 2},
		{"more urgent route", view(plain), "s", &routes[1], &plain, 0, 2},
		{"only route of a service", view(plain), "t", &routes[1], &plain, 0, 1},
		{"no account", view(), "s", &routes[0], nil, 1, 2},
		{"account with a priority", view(plain, prioritized), "s", &routes[0], &prioritized, 1, 4},
		{"account without a priority beside one", view(plain, prioritized), "s", &routes[1], &plain, 2, 4},
		{"accounts of two priorities, urgent account", view(other, prioritized), "s", &routes[0], &prioritized, 1, 4},
		{"accounts of two priorities, urgent route", view(other, prioritized), "s", &routes[1], &other, 2, 4},
		{"accounts of one priority, urgent route", view(other, other), "s", &routes[1], &other, 0, 2},
		{"accounts of one priority, other route", view(other, other), "s", &routes[0], &other, 1, 2},
		{"routes of one priority, urgent account", view(other, prioritized), "t", &routes[1], &prioritized, 0, 2},
		{"routes of one priority, other account", view(other, prioritized), "t", &routes[1], &other, 1, 2},
		{"routes of one priority, no priority of the account", view(plain, prioritized), "t", &routes[1], &plain, 1, 2},
		{"unknown service", view(), "u", &routes[0], nil, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rank, ranks := test.view.Rank(test.service, test.route, test.account)
			assert.Equal(t, []int{test.rank, test.ranks}, []int{rank, ranks})
		})
	}
}
