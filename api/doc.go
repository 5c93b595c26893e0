// Package api defines the resources that operators declare, the rules they
// must meet, and the messages of the resource API.
//
// The package is importable by operators' own programs. It depends on nothing
// but the standard library, so that a program which only writes declarations
// does not pull in the system itself. The typed client is in api/client and
// the format of a weights manifest in api/manifest.
package api
