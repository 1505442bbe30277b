// Package billingservice keeps tenants' accounts in the replicated store: plan changes, reservations, and the usage
// that gateway instances report. It exports each record of usage once.
//
// A Service belongs to one gateway instance. It owns the store's keys under KeyPrefix. It runs three loops (reporting
// usage, adding reports to accounts, compaction) and, if it has a Sink, the export loop. Close ends the loops and
// waits for them. The state that the loops use is defined together with its transitions: the maintenance lease in
// lease.go, usage that is not in the store yet in usage.go and report.go, the progress of the export in
// export_state.go, and its last error in export_loop.go. retry.go defines all waits and retry limits.
//
// Package billing defines the effect of an operation on an account. Each write of an account names the index at which
// the account was read, so that concurrent operations are serialized across instances. Exported methods may be called
// concurrently, except that calls of KeysChanged must not overlap.
package billingservice
