// Package tlsconfig provides listeners and clients with TLS certificates from files. It reads the files again
// when they change, without a restart: a new pair is used if it is valid; otherwise the old one stays in use.
// It also reports when the certificate expires. If an authority for the other side is configured, both sides
// must present a certificate of that authority.
//
// A Source owns what it last read. Its methods, and the configurations that it returns, are safe for
// concurrent use.
package tlsconfig
