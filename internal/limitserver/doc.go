// Package limitserver answers limit commands in RESP2, for tools that query whether a tenant has quota left. It owns
// the listener and the clients' connections. It makes no quota decisions: a check is a request of a class that is
// counted but not sent to a backend. The dispatcher admits or rejects it by the same rules and counts as requests that
// are sent to backends.
//
//	LIMIT.CHECK tenant plan [units [spread first]]   counts the units (1 by default) and states whether there was quota
//	LIMIT.PEEK tenant plan [spread]                  states the known quota status, and counts nothing
//	CL.THROTTLE tenant plan [units [spread first]]   like LIMIT.CHECK, with times in seconds
//	AUTH name secret                                 replaces the connection's rights by those of a key
//	PING, QUIT, COMMAND
//
// tenant is 16 hexadecimal digits below 2^33, as in the platform's protocol. spread is the number of instances that
// receive the tenant's requests, and first is the index of the first of them. The answer to LIMIT.CHECK, LIMIT.PEEK
// and CL.THROTTLE is an array of five integers in the form that redis-cell made common: 0 if there was quota and 1 if
// not; the quota's limit in units; the units left; the time until there is quota again (-1 if there is quota now); and
// the time until the quota is full. Both times are in milliseconds, and in seconds for CL.THROTTLE. The commands on
// accounts are documented at Accounts.
//
// The two groups of commands differ on the wire. Errors call the tenant "customer" in LIMIT.CHECK, LIMIT.PEEK and
// CL.THROTTLE, and "gestoria" in the commands on accounts. The tenant's digits may be of either case in the former
// commands, and must be lower case in the latter.
//
// A Server's methods are safe for concurrent use. redcon runs a goroutine for each connection, which ends at the latest
// after Close. The only state that this package keeps from one command of a connection to the next is its rights.
package limitserver
