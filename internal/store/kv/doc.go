// Package kv implements the state machine of the replicated store: a set of keys and values to which commands are
// applied in the order of the log. The same commands give the same state on every replica. The package does no I/O and
// reads no clock.
//
// A State is not safe for concurrent use; package store guards it with a lock. Callers may retain the results of Get
// and Snapshot, but must not modify them.
package kv
