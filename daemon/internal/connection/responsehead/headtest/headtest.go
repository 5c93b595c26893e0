// Package headtest has malformed parts of response heads for the tests of all clients.
package headtest

// StatusLines are status lines that HTTP/1.1 does not have, or that answer another request.
var StatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
	"HTTP/1.1 +20 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 \x01",
}

// FieldLines are lines that are no header fields.
var FieldLines = []string{
	"Content-Length : 5", "Content Length: 5", "Content-Length\t: 5", "Transfer-Encoding : chunked", "Bad Name: x", "Bad\x01Name: x", "Bad\x00Name: x",
	"Bad\x7fName: x", "Bad\xfcName: x", "Name(: x", ": x", "No colon", " folded: x", "\tfolded", "Name: \x01",
}
