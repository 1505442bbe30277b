// Package kv is the content of the replicated store, as a pure state machine: commands go in, in the order of
// the log, and results come out. The same commands give the same state on every replica. The package does no
// I/O and reads no clock.
//
// A State belongs to one owner (package store guards it with a lock) and is not safe for concurrent use.
// Callers may retain what Get and Snapshot return, but must not modify it.
package kv
