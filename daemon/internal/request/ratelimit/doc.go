// Package ratelimit is about upstreams that name a limit in their answers: the requests a
// second that they take from all routers together.
package ratelimit
