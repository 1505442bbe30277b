// Package dialer opens a connection to a host that listens at several IPv4 and IPv6 addresses.
//
// Order decides which address to try first, solely by the rules of RFC 6724 and RFC 8305; Dial connects. The
// package keeps no state between calls, and all its functions are safe for concurrent use.
package dialer
