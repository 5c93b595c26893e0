package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// Symptom: a router that was told to stop ended a connection without an answer, on which
// a request had come 85 ms before; it went on to an upstream 2 ms later. Five more
// requests ended with it, each "the caller left".
//
// Sequence: the process gets no processor for 90 ms. Meanwhile the time ends in which it
// serves on, and requests come. When it goes on, it ends the connections that were silent
// for 0.1 s, among them those whose requests it is just reading.
//
// Cause: how long a connection was silent was told by the clock, which runs on while the
// process stands still.
//
// What settled it: all six connections ended within 2 ms of the end of that time, and the
// requests on them had begun 0.6 to 1.3 ms before.
func TestTimeInWhichTheProcessStoodStillIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet = 100 * time.Millisecond
		c := &connections{}
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		c.note(here, http.StateNew)
		helpers.Pause(time.Hour, nil) // the process stands still
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.endQuiet(t.Context(), quiet)
		}()
		synctest.Wait()
		c.note(here, http.StateActive) // what came meanwhile is read now
		helpers.Pause(time.Minute, nil)
		synctest.Wait()
		select {
		case <-ended:
			assert.Fail(t, "a connection with a request was ended")
		default:
		}
		c.note(here, http.StateIdle)
		helpers.Pause(quiet/2, nil)
		synctest.Wait()
		c.mu.Lock()
		assert.Len(t, c.known, 1, "its caller may just be sending another one")
		c.mu.Unlock()
		helpers.Pause(quiet, nil)
		<-ended
	})
}

// TestTheEndOfAStopEndsTheWait: a request that goes on does not hold it.
func TestTheEndOfAStopEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &connections{}
		here, there := net.Pipe()
		defer func() { _, _ = here.Close(), there.Close() }()
		c.note(here, http.StateActive)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.endQuiet(ctx, time.Millisecond)
		assert.Error(t, ctx.Err())
	})
}

// A router that stopped closed a connection 56 ms after its request had been sent: it had
// stood still, and looked at its connections before it read what had come. The request went
// on to its upstream all the same, where it ran for nobody.

// TestWhatHasComeIsNoSilence: a connection with something unread is not ended, however often
// it is looked at, and is once that was read.
func TestWhatHasComeIsNoSilence(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	here, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = here.Close() }()
	const request = "GET"
	_, err = io.WriteString(caller, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnread(here) }, 10*time.Second, time.Millisecond)

	c := &connections{}
	c.note(here, http.StateIdle)
	look := func() {
		for range 3 * quietLooks {
			c.closeQuiet()
		}
	}
	look()
	assert.Len(t, c.known, 1)
	assert.False(t, c.hasEnded(here))
	_, err = io.ReadFull(here, make([]byte, len(request)))
	require.NoError(t, err)
	look()
	assert.Empty(t, c.known)
	assert.True(t, c.hasEnded(here))
	c.note(here, http.StateClosed)
	assert.False(t, c.hasEnded(here), "its server has noticed")
}

// TestARequestOfAnEndedConnectionGoesNoFurther: it was read as the connection was closed.
func TestARequestOfAnEndedConnectionGoesNoFurther(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	s := &Server{}
	passed := 0
	handler := s.ending(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed++ }))
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(context.WithValue(request.Context(), connectionKey{}, here))
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Equal(t, 1, passed)

	s.open.mu.Lock()
	s.open.end(here)
	s.open.mu.Unlock()
	s.open.note(here, http.StateActive)
	assert.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { handler.ServeHTTP(httptest.NewRecorder(), request) })
	assert.Equal(t, 1, passed)
}
