// Package limitserver answers limit commands in RESP2, for tools that ask the gateway whether a tenant has
// quota left. It owns the listener and the clients' connections. It decides nothing: a check is a request of
// a class that only counts, admitted by the same decisions, on the same counts, as those that are sent on.
//
//	LIMIT.CHECK tenant plan [units [spread first]]   counts, and says whether there was quota
//	LIMIT.PEEK tenant plan [spread]                  says what is known, and counts nothing
//	CL.THROTTLE tenant plan [units]                  as LIMIT.CHECK, with times in seconds
//	AUTH name secret                                 the rights of a key, in place of those before
//	PING, QUIT, COMMAND
//
// tenant is 16 hexadecimal digits below 2^33, as in the platform's protocol. The answer is an array of five
// integers in the form that redis-cell made common: 0 where there was quota and 1 where not; the units that
// the quota holds; the units left; how long until there is quota again (-1: there is), and how long until the
// quota is full, both in milliseconds. The commands on accounts stand at Accounts.
//
// A Server's methods may be called concurrently. Each connection has a goroutine, which redcon owns and Close
// ends; all that is kept for one connection is its rights.
package limitserver
