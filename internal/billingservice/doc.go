// Package billingservice stores tenants' accounts in the replicated store: plan changes, reservations, the
// usage that gateway instances report, and its export, which happens once.
//
// A Service belongs to one instance. It owns the keys under KeyPrefix, three loops (report, adding
// reports, compaction), the export loop if there is a Sink, and the state that they share. Close ends the loops and
// waits for them. Package billing defines what an operation does to an account. Each operation is written
// with the index of the account that it read, so that of two concurrent operations one follows the other, at
// whichever instances they arrive. All exported methods may be called concurrently.
package billingservice
