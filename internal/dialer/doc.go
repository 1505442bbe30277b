// Package dialer opens a connection to a host that listens at several addresses, IPv4 and IPv6.
//
// Order decides which address is tried first, by what RFC 6724 and RFC 8305 say and by nothing else; Dial
// connects. The package owns nothing between calls, and all of it is safe for concurrent use.
package dialer
