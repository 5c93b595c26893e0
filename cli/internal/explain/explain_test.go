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

// TestStories compares what is told of each request with testdata/ID.txt: one
// refused in overload, one that got no place, one cut when its upstreams were, one sent by an old
// belief, one on the way over an agent, and one that no line is about.
func TestStories(t *testing.T) {
	for _, id := range []string{"refused-1", "denied-1", "moved-1", "late-1", "entry-way", "nobody"} {
		t.Run(id, func(t *testing.T) {
			var sources []io.Reader
			for _, name := range []string{"loader.log", "router.log"} {
				file, err := os.Open(filepath.Join("testdata", name))
				require.NoError(t, err)
				t.Cleanup(func() { _ = file.Close() })
				sources = append(sources, file)
			}
			story, err := explain.Tell(id, sources...)
			if id == "nobody" {
				require.ErrorIs(t, err, explain.ErrNotFound)
			} else {
				require.NoError(t, err)
			}
			var got bytes.Buffer
			require.NoError(t, story.Print(&got))
			want, err := os.ReadFile(filepath.Join("testdata", id+".txt"))
			require.NoError(t, err)
			assert.Equal(t, string(want), got.String())
		})
	}
}

// TestACutNamesWhoEndedEachSend: the two tries of a stream that was given up before its
// second upstream broke off.
func TestACutNamesWhoEndedEachSend(t *testing.T) {
	const line = `{"fields":{"name":"router-1","role":"router","request":"cut-1","outcome":"cut","took":"2.1s","tries":[` +
		`{"upstream":"u1","fate":"unknown","cause":"no head","brokenBy":"silence"},` +
		`{"upstream":"u2","fate":"answered","cause":"connection reset by peer","brokenBy":"upstream","loading":true}]},` +
		`"level":"info","timestamp":"2026-12-02T22:02:17Z","message":"request ended"}`
	story, err := explain.Tell("cut-1", strings.NewReader(line))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, story.Print(&got))
	assert.Contains(t, got.String(), "cause: no head\n    ended by: silence\n")
	assert.Contains(t, got.String(), "ended by: upstream, while the upstream was known to take a version\n")
}

// TestEndsUnderAContentAreTold: of a request that ended an upstream, and of an earlier one
// with the same content that ended another.
func TestEndsUnderAContentAreTold(t *testing.T) {
	const lines = `{"fields":{"name":"router-2","role":"router","decision":"witness","request":"earlier","content":"c1","upstream":"u1","ended":true,"after":"98ms"},"timestamp":"2026-12-02T22:02:16Z","message":"connection to upstream broke"}
{"fields":{"name":"router-2","role":"router","decision":"witness","request":"beside","content":"c2","upstream":"u7","ended":true,"after":"400ms"},"timestamp":"2026-12-02T22:02:16Z","message":"connection to upstream broke"}
{"fields":{"name":"router-1","role":"router","decision":"witness","request":"now","content":"c1","upstream":"u2","ended":true,"after":"101ms"},"timestamp":"2026-12-02T22:02:17Z","message":"connection to upstream broke"}
{"fields":{"name":"router-1","role":"router","request":"now","content":"c1","outcome":"unknown","status":502,"took":"120ms","tries":[{"upstream":"u2","fate":"unknown","cause":"EOF","brokenBy":"upstream"}]},"timestamp":"2026-12-02T22:02:18Z","message":"request ended"}`
	story, err := explain.Tell("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, story.Print(&got))
	assert.Contains(t, got.String(), "the connection to u2 broke 101ms after it was sent there; the upstream itself ended\n")
	assert.Contains(t, got.String(), "upstreams that ended while the same content c1 ran there: u1, u2\n")
}

// TestAHeldRequestNamesTheEvidence: whose ends a refusal rests on, and whence they are known.
func TestAHeldRequestNamesTheEvidence(t *testing.T) {
	const lines = `{"fields":{"name":"router-1","role":"router","decision":"quarantine","content":"c1","verdict":"once","from":"router","ends":[{"upstream":"u1","depth":1},{"upstream":"u2","depth":2}]},"timestamp":"2026-12-02T22:02:16Z","message":"verdict on a content changed"}
{"fields":{"name":"router-1","role":"router","decision":"quarantine","content":"c1","verdict":"held","from":"answer","ends":[{"upstream":"u1","depth":1},{"upstream":"u2","depth":2},{"upstream":"u3","depth":3}]},"timestamp":"2026-12-02T22:02:17Z","message":"verdict on a content changed"}
{"fields":{"name":"router-1","role":"router","request":"now","content":"c1","outcome":"held","status":503,"took":"1ms","reason":"too many upstreams ended under the same content"},"timestamp":"2026-12-02T22:02:19Z","message":"request ended"}`
	story, err := explain.Tell("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, story.Print(&got))
	assert.Contains(t, got.String(), "ended held, status 503")
	assert.Contains(t, got.String(), "content c1 is held, since 2s before, by news from: answer; upstreams that ended under it: u1 (1 deep), u2 (2 deep), u3 (3 deep)\n")
}

// TestARefusalNamesTheTimes that its caller had and was told.
func TestARefusalNamesTheTimes(t *testing.T) {
	const line = `{"fields":{"name":"router-1","role":"router","request":"late-2","outcome":"refused","status":503,"took":"9ms",` +
		`"left":"4.485s","retryAfter":"1.311s","returned":true},"level":"info","timestamp":"2026-05-04T09:18:47Z","message":"request ended"}`
	story, err := explain.Tell("late-2", strings.NewReader(line))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, story.Print(&got))
	assert.Contains(t, got.String(), "the caller said that it had 4.485s left")
	assert.Contains(t, got.String(), "it was told to come back after 1.311s")
	assert.Contains(t, got.String(), "likely refused before")
}

// TestALimitIsTheReasonOfAChoice: which upstream was passed over because its limit is used up,
// what the router knew of that, and what an answer named.
func TestALimitIsTheReasonOfAChoice(t *testing.T) {
	const lines = `{"fields":{"name":"router-1","role":"router","decision":"limit","upstream":"u1","limit":"2.5","before":"none","from":"loader"},"timestamp":"2026-12-02T22:02:16Z","message":"limit of an upstream changed"}
{"fields":{"name":"router-2","role":"router","decision":"limit","upstream":"u1","limit":"none","before":"2.5","from":"own"},"timestamp":"2026-12-02T22:02:16Z","message":"limit of an upstream changed"}
{"fields":{"name":"router-1","role":"router","request":"now","outcome":"served","status":200,"took":"1ms","asked":[{"upstream":"u1","wait":400000000},{"upstream":"u2","given":true}],"tries":[{"upstream":"u2","fate":"answered","door":"loader","limit":"4"}]},"timestamp":"2026-12-02T22:02:19Z","message":"request ended"}`
	story, err := explain.Tell("now", strings.NewReader(lines))
	require.NoError(t, err)
	var got bytes.Buffer
	require.NoError(t, story.Print(&got))
	assert.Contains(t, got.String(), "asked for a place at u1: none after 0s, the limit that it named is used up; not asked again for 400ms\n")
	assert.Contains(t, got.String(), "u1 takes at most, in requests a second of all routers: 2.5 (since 3s before, by news from: loader)\n")
	assert.Contains(t, got.String(), "its answer named a limit, in requests a second of all routers: 4; let through by: loader\n")
}
