// Package billing implements tenants' accounts (plan changes, reservations and usage to be exported) as a pure
// state machine: an operation takes an account and the current time, and returns a new account or an error. The
// package reads no clock and does no I/O. Names that end in Nanos hold times, as nanoseconds since 1970 (unix ns),
// or durations in nanoseconds.
//
// No operation modifies its Account: each returns a new one, so accounts may be read concurrently. The caller
// stores each result and applies the next operation to it; package billingservice does so in the replicated
// store. The operators' documentation is docs/billing.md.
package billing
