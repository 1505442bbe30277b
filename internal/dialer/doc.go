// Package dialer opens a connection to a host that listens at several IPv4 and IPv6 addresses.
//
// OrderAddresses orders the addresses, solely by the rules of RFC 6724 and RFC 8305, and Dial connects to one of them.
// The package keeps no state between calls, and all its functions are safe for concurrent use.
package dialer
