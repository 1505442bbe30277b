// Package kv is what the replicated store holds, as a pure state machine: commands go in, in the order of the
// log, and results come out. The same commands give the same state on every replica. It does no I/O and reads
// no clock.
//
// A State belongs to one owner (package store keeps it under a lock): it is not safe for concurrent use. What
// Get and Snapshot return may be retained, but not written to.
package kv
