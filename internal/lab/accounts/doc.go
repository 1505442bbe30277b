// Package accounts measures what plan changes and reservations cost: three replicas of the store, each with
// an instance of the billing service, run in this process on loopback, and clients send the limit server's
// commands to one of them, with TLS between all of them or without.
//
// Measure owns all that it starts and frees it before it returns. It is meant to run alone: concurrent calls
// measure each other.
package accounts
