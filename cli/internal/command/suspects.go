package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// suspectsPath is where routers hand out the contents under which upstreams ended.
const suspectsPath = "/suspects"

// suspectsTimeout bounds a call to a router.
const suspectsTimeout = 5 * time.Second

// errRouter says that a router answered with another status than the one hoped for.
var errRouter = errors.New("the router refused")

// suspect is a content under which upstreams ended.
type suspect struct {
	Content string       `json:"content"`
	Ends    []suspectEnd `json:"ends"`
}

// suspectEnd is an upstream's end; three deep hold a content back.
type suspectEnd struct {
	Upstream string    `json:"upstream"`
	Started  time.Time `json:"started,omitzero"`
	Depth    int       `json:"depth"`
}

// depth is that of the deepest end.
func (s suspect) depth() int {
	deepest := 0
	for _, end := range s.Ends {
		deepest = max(deepest, end.Depth)
	}
	return deepest
}

func suspectsCommand() *cli.Command {
	return &cli.Command{
		Name:  "suspects",
		Usage: "list the requests under which upstreams ended, by their content, as a router knows them; `lift` clears one at all routers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "peers' `ADDRESS` of any router", Sources: cli.EnvVars("WHEELCLEAT_ROUTER"), Value: "127.0.0.1:7002"},
			outputFlag(),
		},
		Action:   listSuspects,
		Commands: []*cli.Command{{Name: "lift", Usage: "let requests with a content go to upstreams again", ArgsUsage: "CONTENT", Action: liftSuspect}},
	}
}

func listSuspects(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() > 0 {
		return fmt.Errorf("%w: unknown command %q; known: lift", errUsage, command.Args().First())
	}
	body, err := callRouter(ctx, command, http.MethodGet, suspectsPath, http.StatusOK)
	if err != nil {
		return err
	}
	var answer struct {
		Notes []suspect `json:"notes"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("decode the answer of router %s: %w", command.String("router"), err)
	}
	slices.SortFunc(answer.Notes, func(a, b suspect) int { return b.depth() - a.depth() })
	if wantsJSON(command) {
		return writeJSON(command.Root().Writer, answer.Notes)
	}
	return table(command.Root().Writer, func(t *tabwriter.Writer) {
		_, _ = fmt.Fprintln(t, "CONTENT\tDEPTH\tUPSTREAMS THAT ENDED")
		for _, s := range answer.Notes {
			names := make([]string, 0, len(s.Ends))
			for _, end := range s.Ends {
				names = append(names, end.Upstream)
			}
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\n", s.Content, s.depth(), strings.Join(names, ", "))
		}
	})
}

func liftSuspect(ctx context.Context, command *cli.Command) error {
	content, err := oneArgument(command, "content")
	if err != nil {
		return err
	}
	_, err = callRouter(ctx, command, http.MethodDelete, suspectsPath+"/"+url.PathEscape(content), http.StatusNoContent)
	return err
}

// callRouter makes a call to the router that the command line names.
func callRouter(ctx context.Context, command *cli.Command, method, path string, want int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	router := command.String("router")
	if _, err := netip.ParseAddrPort(router); err != nil {
		return nil, fmt.Errorf("%w: --router %q: give an address such as 10.1.0.40:7002", errUsage, router)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("call router %s: %w", router, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call router %s: %w", router, err)
	}
	defer func() { _ = response.Body.Close() }()
	const most = 8 << 20
	body, err := io.ReadAll(io.LimitReader(response.Body, most))
	if err != nil {
		return nil, fmt.Errorf("read the answer of router %s: %w", router, err)
	}
	if response.StatusCode != want {
		return nil, fmt.Errorf("router %s: status %d: %s: %w", router, response.StatusCode, strings.TrimSpace(string(body)), errRouter)
	}
	return body, nil
}
