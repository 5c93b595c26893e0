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

// suspectsPath is the path at which routers list the contents that upstreams crashed on.
const suspectsPath = "/suspects"

// suspectsTimeout bounds a request to a router.
const suspectsTimeout = 5 * time.Second

// errRouter is returned if a router answers with an unexpected status.
var errRouter = errors.New("unexpected status from router")

// suspect is a content, or a part of prompts, that upstreams crashed on.
type suspect struct {
	Content string         `json:"content"`
	Part    bool           `json:"part,omitempty"`
	Crashes []suspectCrash `json:"ends"`
}

// suspectCrash is the crash of an upstream. Its depth is one more than that of the deepest earlier
// crash of the content that the router knew. A content is quarantined at depth 3.
type suspectCrash struct {
	Upstream string    `json:"upstream"`
	Started  time.Time `json:"started,omitzero"`
	Depth    int       `json:"depth"`
}

// depth returns the highest depth of the crashes.
func (s suspect) depth() int {
	highest := 0
	for _, crash := range s.Crashes {
		highest = max(highest, crash.Depth)
	}
	return highest
}

// kind returns what the digest identifies.
func (s suspect) kind() string {
	if s.Part {
		return "part"
	}
	return "request"
}

func suspectsCommand() *cli.Command {
	return &cli.Command{
		Name:  "suspects",
		Usage: "list the contents of requests and the parts of prompts that upstreams crashed on, as held by a router; `lift` clears one at all routers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "peer `ADDRESS` of any router", Sources: cli.EnvVars("WHEELCLEAT_ROUTER"), Value: "127.0.0.1:7002"},
			outputFlag(),
		},
		Action:   listSuspects,
		Commands: []*cli.Command{{Name: "lift", Usage: "clear a content at all routers, which lifts its quarantine", ArgsUsage: "CONTENT", Action: liftSuspect}},
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
	var listing struct {
		Reports []suspect `json:"notes"`
	}
	if err := json.Unmarshal(body, &listing); err != nil {
		return fmt.Errorf("decode response of router %s: %w", command.String("router"), err)
	}
	slices.SortFunc(listing.Reports, func(a, b suspect) int { return b.depth() - a.depth() })
	if wantsJSON(command) {
		return writeJSON(command.Root().Writer, listing.Reports)
	}
	return table(command.Root().Writer, func(t *tabwriter.Writer) {
		_, _ = fmt.Fprintln(t, "CONTENT\tKIND\tDEPTH\tCRASHED UPSTREAMS")
		for _, s := range listing.Reports {
			names := make([]string, 0, len(s.Crashes))
			for _, crash := range s.Crashes {
				names = append(names, crash.Upstream)
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", s.Content, s.kind(), s.depth(), strings.Join(names, ", "))
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

// callRouter sends a request to the router given on the command line and returns the body of the
// response.
func callRouter(ctx context.Context, command *cli.Command, method, path string, want int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	router := command.String("router")
	if _, err := netip.ParseAddrPort(router); err != nil {
		return nil, fmt.Errorf("%w: --router %q: use an address such as 10.1.0.40:7002", errUsage, router)
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
	const maxBodyBytes = 8 << 20
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read response of router %s: %w", router, err)
	}
	if response.StatusCode != want {
		return nil, fmt.Errorf("router %s: status %d: %s: %w", router, response.StatusCode, strings.TrimSpace(string(body)), errRouter)
	}
	return body, nil
}
