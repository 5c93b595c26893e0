// Package api defines the resources that operators declare, their validation,
// and the messages and headers of the HTTP APIs.
//
// Operators' own programs may import it. It depends only on the standard
// library, so that a program that writes declarations does not depend on the
// daemons. The typed client is in api/client, and the format of a weights
// manifest in api/manifest.
package api
