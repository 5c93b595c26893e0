package soak

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// startEcho listens for connections and sends back what comes.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			connection, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	address, err := serve.FreeAddress()
	require.NoError(t, err)
	p, err := StartProxy(address, target.Addr().(*net.TCPAddr).AddrPort())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", p.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// exchange sends a word and returns what comes back.
func exchange(connection net.Conn) (string, error) {
	const word = "word"
	if _, err := io.WriteString(connection, word); err != nil {
		return "", err
	}
	back := make([]byte, len(word))
	n, err := io.ReadFull(connection, back)
	return string(back[:n]), err
}

func TestProxyPassesOn(t *testing.T) {
	p := startEcho(t)
	connection := dial(t, p)
	back, err := exchange(connection)
	require.NoError(t, err)
	assert.Equal(t, "word", back)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	require.NoError(t, err, "an end on one side is an end on the other, no reset")
	assert.Empty(t, rest)
}

func TestProxyResets(t *testing.T) {
	p := startEcho(t)
	connection := dial(t, p)
	_, err := exchange(connection)
	require.NoError(t, err)
	p.Set(LinkFault{Reset: true})
	_, err = exchange(connection)
	require.Error(t, err)
	p.Set(LinkFault{})
	back, err := exchange(dial(t, p))
	require.NoError(t, err)
	assert.Equal(t, "word", back)
}

func TestProxyHoldsBackAndLetsGo(t *testing.T) {
	p := startEcho(t)
	connection := dial(t, p)
	_, err := exchange(connection)
	require.NoError(t, err)
	p.Set(LinkFault{StopBack: true})
	came := make(chan string, 1)
	go func() {
		back, _ := exchange(connection)
		came <- back
	}()
	// Another connection shows that nothing of the first is under way any more: what
	// goes there is not held back.
	p.Set(LinkFault{StopBack: true, StopThere: true})
	select {
	case back := <-came:
		t.Fatalf("%q came back over a link that holds all back", back)
	default:
	}
	p.Set(LinkFault{})
	assert.Equal(t, "word", <-came, "what was held back comes in the end")
}
