package router

import (
	"context"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
)

// mostLooks bounds the broken connections that are looked at together. An engine has some
// ten requests, and few engines end at once.
const mostLooks = 64

// broke looks at a send whose connection broke, beside the request.
func (p *Process) broke(b dispatch.Break) {
	select {
	case p.looking <- struct{}{}:
	default:
		p.recorder.notLookedAt()
		return
	}
	go func() {
		defer func() { <-p.looking }()
		p.lookAt(b)
	}()
}

// lookAt finds out whether the upstream ended.
func (p *Process) lookAt(b dispatch.Break) {
	ended := p.witness.Ended(context.Background(), b.Upstream.Address)
	p.recorder.broke(b, ended)
}
