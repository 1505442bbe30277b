// Package limitserver answers limit commands in RESP2, for tools that ask the gateway whether a tenant has
// quota left. It owns the listener and the clients' connections. It makes no decisions: a check is a request
// of a class that only counts, and is admitted by the same decisions, on the same counts, as requests that
// are sent to backends.
//
//	LIMIT.CHECK tenant plan [units [spread first]]   counts, and says whether there was quota
//	LIMIT.PEEK tenant plan [spread]                  says what is known, and counts nothing
//	CL.THROTTLE tenant plan [units [spread first]]   as LIMIT.CHECK, with times in seconds
//	AUTH name secret                                 the rights of a key, in place of those before
//	PING, QUIT, COMMAND
//
// tenant is 16 hexadecimal digits below 2^33, as in the platform's protocol. The answer is an array of five
// integers in the form that redis-cell made common: 0 if there was quota and 1 if not; the units that the
// quota holds; the units left; the time until there is quota again (-1 if there is quota now); and the time
// until the quota is full. Both times are in milliseconds, and in seconds for CL.THROTTLE. The commands on accounts
// are documented at Accounts.
//
// The two groups of commands differ on the wire. Errors call the tenant "customer" in LIMIT.CHECK, LIMIT.PEEK and
// CL.THROTTLE, and "gestoria" in the commands on accounts. Its digits may be of either case in the former, and must
// be lower case in the latter.
//
// A Server's methods are safe for concurrent use. Each connection has a goroutine, which redcon owns and
// Close ends. The only state of a connection is its rights.
package limitserver
