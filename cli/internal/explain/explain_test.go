package explain_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/explain"
)

// TestPrintMatchesGoldenFiles compares the output for each request with testdata/ID.txt. The
// requests were refused under overload, denied a place, interrupted at two upstreams, sent to an
// upstream that had left the store, and refused by an agent; no line mentions the last one.
func TestPrintMatchesGoldenFiles(t *testing.T) {
	for _, id := range []string{"refused-1", "denied-1", "moved-1", "late-1", "entry-way", "nobody"} {
		t.Run(id, func(t *testing.T) {
			var sources []io.Reader
			for _, name := range []string{"loader.log", "router.log"} {
				file, err := os.Open(filepath.Join("testdata", name))
				require.NoError(t, err)
				t.Cleanup(func() { _ = file.Close() })
				sources = append(sources, file)
			}
			trace, err := explain.Collect(id, sources...)
			if id == "nobody" {
				require.ErrorIs(t, err, explain.ErrNotFound)
			} else {
				require.NoError(t, err)
			}
			var got bytes.Buffer
			require.NoError(t, trace.Print(&got))
			want, err := os.ReadFile(filepath.Join("testdata", id+".txt"))
			require.NoError(t, err)
			assert.Equal(t, string(want), got.String())
		})
	}
}

// TestPrintNamesInterruptOfEachAttempt guards against an attempt that does not say what
// interrupted it: here an unresponsive upstream, then a reset by an upstream that was loading.
func TestPrintNamesInterruptOfEachAttempt(t *testing.T) {
	const line = `{"fields":{"name":"router-1","role":"router","request":"cut-1","outcome":"cut","took":"2.1s","tries":[` +
		`{"upstream":"u1","fate":"unknown","cause":"no head","brokenBy":"silence"},` +
		`{"upstream":"u2","fate":"answered","cause":"connection reset by peer","brokenBy":"upstream","loading":true}]},` +
		`"level":"info","timestamp":"2026-12-02T22:02:17Z","message":"request ended"}`
	trace, err := explain.Collect("cut-1", strings.NewReader(line))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "cause: no head\n    interrupted by: silence\n")
	assert.Contains(t, got.String(), "interrupted by: upstream, while the upstream was known to be loading a version\n")
}

// TestPrintNamesStateAfterClose guards against a crash that reads like the end of a response.
func TestPrintNamesStateAfterClose(t *testing.T) {
	const line = `{"fields":{"name":"router-1","role":"router","request":"closed-1","outcome":"served","took":"2.1s","tries":[` +
		`{"upstream":"u1","fate":"answered","afterClose":"crashed"}]},"level":"info","timestamp":"2026-12-02T22:02:17Z","message":"request ended"}`
	trace, err := explain.Collect("closed-1", strings.NewReader(line))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "ended with the connection; upstream after that: crashed\n")
}

// TestPrintNamesRuleOfRetryAfter guards against a refusal whose time cannot be explained, and against
// lines of earlier builds that name no rule.
func TestPrintNamesRuleOfRetryAfter(t *testing.T) {
	for rule, want := range map[string]string{
		`"retryRule":"readiness","readiness":{"serving":1,"expected":38,"unknown":2,"from":2000000000,"to":4000000000}`: "the caller was told to retry after 2.5s, by when the upstreams are expected to be able to run the request\n" +
			"    1 upstreams could run it, 38 were expected to later and 2 at no known time; callers were told 2s to 4s\n",
		`"retryRule":"full"`:      "retry after 2.5s, since the upstreams were full\n",
		`"retryRule":"not-ready"`: "retry after 2.5s, since no upstream could run the request; it was unknown when one would\n",
		`"retryRule":"pause"`:     "retry after 2.5s, since the upstreams asked for a pause\n",
		`"retryRule":"too-late"`:  "retry after 2.5s, since the caller's remaining time was too short for any upstream\n",
		`"retryRule":"later"`:     "retry after 2.5s, by rule later\n",
		`"stale":false`:           "retry after 2.5s\n",
	} {
		line := `{"fields":{"name":"router-1","role":"router","request":"a","outcome":"refused","took":"1ms","retryAfter":"2.5s",` + rule +
			`},"level":"info","timestamp":"2026-12-02T22:02:17Z","message":"request ended"}`
		trace, err := explain.Collect("a", strings.NewReader(line))
		require.NoError(t, err)
		var got bytes.Buffer
		require.NoError(t, trace.Print(&got))
		assert.Contains(t, got.String(), want)
	}
}

// TestPrintListsCrashesOfSameContent checks that crashes under other requests with the same
// content are listed, and crashes under another content are not.
func TestPrintListsCrashesOfSameContent(t *testing.T) {
	const lines = `{"fields":{"name":"router-2","role":"router","decision":"witness","request":"earlier","content":"c1","upstream":"u1","ended":true,"after":"98ms"},"timestamp":"2026-12-02T22:02:16Z","message":"connection to upstream broke"}
{"fields":{"name":"router-2","role":"router","decision":"witness","request":"beside","content":"c2","upstream":"u7","ended":true,"after":"400ms"},"timestamp":"2026-12-02T22:02:16Z","message":"connection to upstream broke"}
{"fields":{"name":"router-1","role":"router","decision":"witness","request":"now","content":"c1","upstream":"u2","ended":true,"after":"101ms"},"timestamp":"2026-12-02T22:02:17Z","message":"connection to upstream broke"}
{"fields":{"name":"router-1","role":"router","request":"now","content":"c1","outcome":"unknown","status":502,"took":"120ms","tries":[{"upstream":"u2","fate":"unknown","cause":"EOF","brokenBy":"upstream"}]},"timestamp":"2026-12-02T22:02:18Z","message":"request ended"}`
	trace, err := explain.Collect("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "the connection to u2 broke 101ms after the request was sent; the upstream crashed\n")
	assert.Contains(t, got.String(), "upstreams that crashed while running the same content c1: u1, u2\n")
}

// TestPrintListsCrashesOfSamePart guards against requests that have only a part of their prompt in
// common and whose crashes seem unrelated.
func TestPrintListsCrashesOfSamePart(t *testing.T) {
	const lines = `{"fields":{"name":"router-2","role":"router","decision":"witness","request":"earlier","content":"c1","parts":["p1","p2"],"upstream":"u1","ended":true,"after":"98ms"},"timestamp":"2026-12-02T22:02:16Z","message":"connection to upstream broke"}
{"fields":{"name":"router-1","role":"router","decision":"quarantine","content":"p2","verdict":"once","from":"router","ends":[{"upstream":"u1","depth":2}]},"timestamp":"2026-12-02T22:02:17Z","message":"verdict on a content changed"}
{"fields":{"name":"router-1","role":"router","request":"now","content":"c2","parts":["p2","p3"],"outcome":"unknown","status":502,"took":"120ms"},"timestamp":"2026-12-02T22:02:18Z","message":"request ended"}`
	trace, err := explain.Collect("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "upstreams that crashed while running the prompt part p2: u1\n")
	assert.Contains(t, got.String(), "verdict on prompt part p2: once, set 1s earlier, source: router; upstreams that crashed while running it: u1 (depth 2)\n")
	assert.NotContains(t, got.String(), "part p1")
	assert.NotContains(t, got.String(), "part p3")
}

// TestPrintNamesCrashesBehindQuarantine checks that a quarantined request names the crashes and
// the source of the verdict in force when it ended.
func TestPrintNamesCrashesBehindQuarantine(t *testing.T) {
	const lines = `{"fields":{"name":"router-1","role":"router","decision":"quarantine","content":"c1","verdict":"once","from":"router","ends":[{"upstream":"u1","depth":1},{"upstream":"u2","depth":2}]},"timestamp":"2026-12-02T22:02:16Z","message":"verdict on a content changed"}
{"fields":{"name":"router-1","role":"router","decision":"quarantine","content":"c1","verdict":"held","from":"answer","ends":[{"upstream":"u1","depth":1},{"upstream":"u2","depth":2},{"upstream":"u3","depth":3}]},"timestamp":"2026-12-02T22:02:17Z","message":"verdict on a content changed"}
{"fields":{"name":"router-1","role":"router","request":"now","content":"c1","outcome":"held","status":503,"took":"1ms","reason":"too many upstreams ended under the same content"},"timestamp":"2026-12-02T22:02:19Z","message":"request ended"}`
	trace, err := explain.Collect("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "outcome held, status 503")
	assert.Contains(t, got.String(), "verdict on content c1: held, set 2s earlier, source: answer; upstreams that crashed while running it: u1 (depth 1), u2 (depth 2), u3 (depth 3)\n")
}

// TestPrintNamesDeadlineAndRetryAfterOfRefusal checks the remaining time that the caller stated
// and the Retry-After delay that it received.
func TestPrintNamesDeadlineAndRetryAfterOfRefusal(t *testing.T) {
	const line = `{"fields":{"name":"router-1","role":"router","request":"late-2","outcome":"refused","status":503,"took":"9ms",` +
		`"left":"4.485s","retryAfter":"1.311s","returned":true},"level":"info","timestamp":"2026-05-04T09:18:47Z","message":"request ended"}`
	trace, err := explain.Collect("late-2", strings.NewReader(line))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "time remaining until the caller's deadline: 4.485s")
	assert.Contains(t, got.String(), "the caller was told to retry after 1.311s")
	assert.Contains(t, got.String(), "likely a retry of a refused request")
}

// TestPrintNamesRateLimitBehindChoice checks that the output names the upstream that was skipped
// because of its rate limit, the limit that the router held, and the one stated in the answer.
func TestPrintNamesRateLimitBehindChoice(t *testing.T) {
	const lines = `{"fields":{"name":"router-1","role":"router","decision":"limit","upstream":"u1","limit":"2.5","before":"none","from":"loader"},"timestamp":"2026-12-02T22:02:16Z","message":"limit of an upstream changed"}
{"fields":{"name":"router-2","role":"router","decision":"limit","upstream":"u1","limit":"none","before":"2.5","from":"own"},"timestamp":"2026-12-02T22:02:16Z","message":"limit of an upstream changed"}
{"fields":{"name":"router-1","role":"router","request":"now","outcome":"served","status":200,"took":"1ms","asked":[{"upstream":"u1","wait":400000000},{"upstream":"u2","given":true}],"tries":[{"upstream":"u2","fate":"answered","door":"loader","limit":"4"}]},"timestamp":"2026-12-02T22:02:19Z","message":"request ended"}`
	trace, err := explain.Collect("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "requested a place at u1: denied after 0s, rate limit of the upstream reached; not requested again for 400ms\n")
	assert.Contains(t, got.String(), "rate limit of u1, in requests a second over all routers: 2.5 (set 3s earlier, source: loader)\n")
	assert.Contains(t, got.String(), "rate limit stated in its answer, in requests a second over all routers: 4; admitted by: loader\n")
}

// TestExplainNamesUpstreamsThatWantNoRequests guards against a request whose log does not tell why it
// was kept from an upstream.
func TestExplainNamesUpstreamsThatWantNoRequests(t *testing.T) {
	const lines = `{"fields":{"name":"router-1","role":"router","decision":"availability","upstream":"u1","leaving":true,"from":"own","request":"a"},"timestamp":"2026-12-02T22:02:16Z","message":"availability of an upstream changed"}
{"fields":{"name":"router-1","role":"router","decision":"availability","upstream":"u2","pausedFor":"3.1s","from":"own","request":"b"},"timestamp":"2026-12-02T22:02:18Z","message":"availability of an upstream changed"}
{"fields":{"name":"router-1","role":"router","decision":"availability","upstream":"u3","pausedFor":"0s","from":"own","request":"c"},"timestamp":"2026-12-02T22:02:18Z","message":"availability of an upstream changed"}
{"fields":{"name":"router-1","role":"router","request":"now","outcome":"refused","status":503,"took":"1ms","tries":[{"upstream":"u4","fate":"refused","retryAfter":2000000000,"leaving":true}]},"timestamp":"2026-12-02T22:02:19Z","message":"request ended"}`
	trace, err := explain.Collect("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got strings.Builder
	require.NoError(t, trace.Print(&got))
	assert.Contains(t, got.String(), "upstream u1 got no requests: its answer to a stated 3s earlier that it leaves\n")
	assert.Contains(t, got.String(), "upstream u2 got no requests: its answer to b asked 1s earlier for a pause of 3.1s\n")
	assert.NotContains(t, got.String(), "u3")
	assert.Contains(t, got.String(), "its answer asks for no further requests of this router for 2s\n")
	assert.Contains(t, got.String(), "its answer states that the upstream is leaving\n")
}
