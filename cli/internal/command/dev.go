package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/cli/examples"
	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

const (
	// devSeed is the seed of the weights of the sample model. The digest of the manifest in
	// cli/examples depends on it.
	devSeed = 1
	// devTimeout bounds the start of the fleet and the rollout of the sample model.
	devTimeout = 2 * time.Minute
	// devDrain bounds the drain of all processes.
	devDrain = 30 * time.Second
	// onceRequests is the number of requests that dev --once sends.
	onceRequests = 64
	devTokens    = 16
	devPrefill   = 20 * time.Millisecond
	devPerToken  = 5 * time.Millisecond
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet in this process, with stand-ins of the platform services",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "number `N` of engine hosts in all data halls together"},
			&cli.IntFlag{Name: "data-halls", Value: 2, Usage: "number `N` of data halls"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "number `N` of entries per data hall"},
			&cli.StringFlag{Name: "model-bytes", Value: "16MiB", Usage: "`SIZE` of the weights of the sample model"},
			&cli.BoolFlag{Name: "once", Usage: "roll out the sample model, send requests, print a JSON summary and exit"},
			&cli.StringFlag{Name: "log", Usage: "write the logs of all processes to `FILE`"},
		},
		Action: dev,
	}
}

// devRun is one run of the dev command.
type devRun struct {
	hosts, halls int
	modelBytes   int64
	out          io.Writer
	fleet        *fleet.Fleet
	model        manifest.Digest
	service      string
	key          string
	summary      DevSummary
}

// DevSummary is the JSON summary that dev --once prints as its last line.
type DevSummary struct {
	Hosts         int     `json:"hosts"`
	Ready         int     `json:"ready"`
	TimeToReadyMS int64   `json:"time_to_ready_ms"`
	OriginBytes   int64   `json:"origin_bytes"`
	OriginCopies  float64 `json:"origin_copies"`
	Requests      int     `json:"requests"`
	AnswersOK     int     `json:"answers_ok"`
}

func dev(ctx context.Context, command *cli.Command) error {
	size, err := ParseSize(command.String("model-bytes"))
	if err != nil {
		return fmt.Errorf("%w: --model-bytes: %w", errUsage, err)
	}
	run := &devRun{hosts: command.Int("hosts"), halls: command.Int("data-halls"), modelBytes: size, out: command.Root().Writer}
	if run.hosts < 1 || run.halls < 1 || run.hosts < run.halls || command.Int("entries") < 1 {
		return fmt.Errorf("%w: --hosts, --data-halls and --entries must be at least 1, and --hosts at least --data-halls", errUsage)
	}
	logOutput, closeLog, err := createLog(command.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run.start(command.Int("entries"), logOutput); err != nil {
		return err
	}
	err = run.exercise(ctx, command.Bool("once"))
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), devDrain)
	defer cancel()
	if stopErr := run.fleet.Stop(drainCtx); err == nil {
		err = stopErr
	}
	if err == nil && command.Bool("once") {
		return json.NewEncoder(run.out).Encode(run.summary)
	}
	return err
}

// createLog creates the file that receives the logs, or returns nil if the path is empty.
func createLog(path string) (io.Writer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, nil, fmt.Errorf("create log: %w", err)
	}
	return file, func() { _ = file.Close() }, nil
}

func (d *devRun) start(entries int, logOutput io.Writer) error {
	config := fleet.Config{
		Halls: fleet.HallNames(d.halls), EntriesPerHall: entries, EngineHosts: d.hosts, LogOutput: logOutput,
		SetUpEngine: func(e *engine.Server) { e.Prefill, e.PerToken = devPrefill, devPerToken },
	}
	var err error
	d.fleet, err = fleet.Start(config)
	return err
}

// exercise rolls out the samples and sends a sample request. With once, it then sends onceRequests
// requests, otherwise it waits until the context is canceled.
func (d *devRun) exercise(ctx context.Context, once bool) error {
	readyCtx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	if err := d.fleet.AwaitReady(readyCtx); err != nil {
		return err
	}
	if err := d.rollOut(readyCtx); err != nil {
		return err
	}
	if err := d.sendSampleRequest(ctx); err != nil {
		return err
	}
	if once {
		return d.sendRequests(ctx)
	}
	d.printInstructions()
	<-ctx.Done()
	_, _ = fmt.Fprintln(d.out, "\nstopping: draining every process")
	return nil
}

// rollOut declares the samples and waits until every host serves the model.
func (d *devRun) rollOut(ctx context.Context) error {
	var err error
	d.model, err = d.fleet.AddVersion(weights.Generate(devSeed, d.modelBytes), 0)
	if err != nil {
		return err
	}
	samples, err := examples.Load()
	if err != nil {
		return err
	}
	d.adaptSamples(samples)
	started := time.Now()
	if err := d.fleet.Declare(ctx, samples...); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.out, "declared %d resources; rolling %s out to %d hosts in %d data halls\n", len(samples), d.service, d.hosts, d.halls)
	err = fleet.Await(ctx, fmt.Sprintf("the version on all %d hosts", d.hosts), func() bool { return d.readyHosts(ctx) >= d.hosts })
	if err != nil {
		return err
	}
	sent := d.fleet.Origin.SentBytes()
	d.summary = DevSummary{
		Hosts: d.hosts, Ready: d.readyHosts(ctx), TimeToReadyMS: time.Since(started).Milliseconds(),
		OriginBytes: sent, OriginCopies: float64(sent) / float64(d.modelBytes),
	}
	_, _ = fmt.Fprintf(d.out, "%d of %d hosts serve it after %d ms; the origin sent %.2f copies\n",
		d.summary.Ready, d.hosts, d.summary.TimeToReadyMS, d.summary.OriginCopies)
	return nil
}

// readyHosts returns the lowest number of ready hosts in the view of any entry, so that a request to
// any entry can be routed to that many hosts.
func (d *devRun) readyHosts(ctx context.Context) int {
	lowest := d.hosts
	for _, e := range d.fleet.Entries() {
		status, err := e.ResourceClient().Rollout(ctx, d.service)
		if err != nil {
			return 0
		}
		ready := 0
		for _, hall := range status.Halls {
			ready += hall.Ready
		}
		lowest = min(lowest, ready)
	}
	return lowest
}

// adaptSamples sets the manifest and the number of replicas of the samples to those of the fleet, and
// takes the names of the service and the key from them.
func (d *devRun) adaptSamples(samples []*api.Resource) {
	for _, r := range samples {
		switch r.Kind {
		case api.KindModel:
			r.Model.Versions[0].Manifest = d.model.String()
		case api.KindService:
			d.service = r.Name
			r.Service.Replicas = (d.hosts + d.halls - 1) / d.halls
		case api.KindAccount:
			d.key = examples.Key
		}
	}
}

// completionBody returns the body of a sample request.
func completionBody(text string) []byte {
	body, _ := json.Marshal(engine.Completion{Prompt: text, MaxTokens: devTokens, Stream: true})
	return body
}

func (d *devRun) call(ctx context.Context, e *fleet.Entry, text string) (fleet.Response, error) {
	return fleet.Call(ctx, e, fleet.CallOptions{Service: d.service, Path: "/v1/completions", Key: d.key, Body: completionBody(text)})
}

func (d *devRun) sendSampleRequest(ctx context.Context) error {
	response, err := d.call(ctx, d.fleet.Entries()[0], "a summary of the book")
	if err != nil {
		return fmt.Errorf("sample request: %w", err)
	}
	_, _ = fmt.Fprintf(d.out, "one streaming answer, from host %s (outcome %s):\n", response.Header.Get(api.HeaderHost), response.Header.Get(api.HeaderOutcome))
	lines := strings.Split(strings.TrimSpace(string(response.Body)), "\n\n")
	for i, line := range lines {
		if i < 2 || i == len(lines)-1 {
			_, _ = fmt.Fprintln(d.out, "  "+line)
		} else if i == 2 {
			_, _ = fmt.Fprintf(d.out, "  ... %d more tokens\n", len(lines)-3)
		}
	}
	return nil
}

// sendRequests sends onceRequests requests concurrently to all entries and checks every token of the
// answers.
func (d *devRun) sendRequests(ctx context.Context) error {
	entries := d.fleet.Entries()
	var group sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	for i := range onceRequests {
		group.Go(func() {
			text := fmt.Sprintf("question %d", i)
			response, err := d.call(ctx, entries[i%len(entries)], text)
			if err == nil {
				err = CheckAnswer(response.Body, d.model.String(), text, devTokens)
			}
			mu.Lock()
			defer mu.Unlock()
			d.summary.Requests++
			if err == nil {
				d.summary.AnswersOK++
			} else if firstErr == nil {
				firstErr = err
			}
		})
	}
	group.Wait()
	if d.summary.AnswersOK < d.summary.Requests {
		return fmt.Errorf("%d of %d answers failed the check: %w", d.summary.Requests-d.summary.AnswersOK, d.summary.Requests, firstErr)
	}
	return nil
}

// CheckAnswer compares a streaming answer with the tokens that the version generates for the prompt.
func CheckAnswer(body []byte, version, text string, tokens int) error {
	events := strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n")
	if len(events) != tokens+1 || events[tokens] != "data: [DONE]" {
		return fmt.Errorf("answer to %q has %d events, want %d tokens and the end marker", text, len(events), tokens)
	}
	for index, event := range events[:tokens] {
		var token engine.TokenEvent
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &token); err != nil {
			return fmt.Errorf("answer to %q, token %d: %w", text, index, err)
		}
		if token.Index != index || token.Manifest != version || token.Text != engine.TokenText(version, text, index) {
			return fmt.Errorf("answer to %q, token %d differs from the expected one: %s", text, index, event)
		}
	}
	return nil
}

// printInstructions prints the addresses of the entries and example commands.
func (d *devRun) printInstructions() {
	_, _ = fmt.Fprintln(d.out, "\nentries:")
	for _, e := range d.fleet.Entries() {
		a := e.Process.Addresses()
		_, _ = fmt.Fprintf(d.out, "  %-18s callers http://%s  operators http://%s\n", e.Name, a.Callers, a.Operators)
	}
	a := d.fleet.Entries()[0].Process.Addresses()
	_, _ = fmt.Fprintf(d.out, `
try:
  curl -N -H 'Authorization: Bearer %s' -d '%s' http://%s/v1/services/%s/v1/completions
  wheelcleat --entry http://%s rollout status %s
  wheelcleat --entry http://%s get services
  wheelcleat --entry http://%s watch
  curl http://%s/metrics

Press Ctrl-C to drain and stop all processes.
`, d.key, completionBody("hello"), a.Callers, d.service, a.Operators, d.service, a.Operators, a.Operators, a.Operators)
}
