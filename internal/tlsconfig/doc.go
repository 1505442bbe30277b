// Package tlsconfig gives listeners and clients their TLS certificates from files, which are read again when
// they change, without a restart: a new pair is used if it is sound, and the old one stays in use if it is
// not. It also reports when the certificate expires. Where an authority for the other side is named, both
// sides must show a certificate of that authority.
//
// A Source owns what it last read. Its methods, and the configurations that it hands out, may be used
// concurrently.
package tlsconfig
