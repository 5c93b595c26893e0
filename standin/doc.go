// Package standin groups simulations of the external systems that wheelcleat
// depends on: the key-value service, the weight store and origin, the host
// list, a model engine and a plain service.
//
// Tests, benchmarks and the dev command run the real daemons against them when
// no platform is available. Each is an http.Handler whose faults are function
// fields; a nil field injects no fault. A simulation implements only what the
// daemons use and the ways in which that can fail. Servers that do not keep to
// HTTP are started by serve.Raw.
package standin
