// Package standin groups small stand-ins for the outside systems that
// wheelcleat meets: the key-value service, the weight store and origin, the
// host list, a model engine and a plain service.
//
// Each stand-in is an http.Handler whose faults are function fields: a nil
// field means no fault. They exist so that tests, benches and the dev command
// can run the real processes without the platform. They keep just enough
// behaviour to be wrong in the ways the platform can be wrong.
package standin
