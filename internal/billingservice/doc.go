// Package billingservice stores tenants' accounts in the replicated store: plan changes, reservations, the
// usage that gateway instances report, and its export, which happens once.
//
// A Service belongs to one instance. It owns the keys under KeyPrefix, three loops (report, adding reports,
// compaction), the export loop if there is a Sink, and the state that they share. Close ends the loops and
// waits for them. The state of each concern stands in one file with its transitions: lease.go (maintenance
// lease), usage.go and report.go (usage that is not in the store yet), export_state.go and export_loop.go
// (progress and last error of the export). retry.go has all waits and the limits of all retries.
//
// Package billing defines what an operation does to an account. Each operation is written with the index of
// the account that it read, so that of two concurrent operations one follows the other, at whichever instances
// they arrive. Exported methods may be called concurrently, but for calls of KeysChanged with each other.
package billingservice
