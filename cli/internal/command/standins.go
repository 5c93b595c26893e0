package command

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

func standinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "run stand-ins of the platform services at the addresses of the example settings",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "model-bytes", Value: "16MiB", Usage: "`SIZE` of the weights of the sample model"},
		},
		Action: standins,
	}
}

// standins runs the services that the example settings refer to, until SIGINT or SIGTERM.
func standins(ctx context.Context, command *cli.Command) error {
	size, err := ParseSize(command.String("model-bytes"))
	if err != nil {
		return fmt.Errorf("%w: --model-bytes: %w", errUsage, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	origin := &weights.Server{}
	id, err := origin.Add(weights.Generate(devSeed, size), 0)
	if err != nil {
		return err
	}
	entry, agent := settings.ExampleEntry(), settings.ExampleAgent()
	hosts := &hostlist.Server{}
	hosts.Set(hostlist.Host{Name: entry.Name, Role: hostlist.RoleEntry, Hall: entry.Hall, State: hostlist.StateLive, Address: entry.Listen.Peers})
	hosts.Set(hostlist.Host{Name: agent.Name, Role: hostlist.RoleAgent, Hall: agent.Hall, State: hostlist.StateLive, Address: agent.Listen.Peers})
	for _, standin := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"key-value service", entry.Platform.KeyValue, &kv.Server{}},
		{"host list", entry.Platform.HostList, hosts},
		{"origin", agent.Weights.Origin, origin},
		{"engine", agent.Upstream.Address, &engine.Server{Prefill: devPrefill, PerToken: devPerToken}},
	} {
		server, err := serve.Listen(standin.address, standin.handler)
		if err != nil {
			return fmt.Errorf("start the %s: %w", standin.name, err)
		}
		defer server.Close()
		_, _ = fmt.Fprintf(command.Root().Writer, "%-18s http://%s\n", standin.name, server.Address)
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "sample model       manifest %s\nPress Ctrl-C to stop.\n", id)
	<-ctx.Done()
	return nil
}
