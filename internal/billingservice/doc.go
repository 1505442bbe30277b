// Package billingservice stores tenants' accounts in the replicated store: plan changes, reservations, the
// use that gateway instances report, and its export, once.
//
// A Service is one instance's. It owns the keys under KeyPrefix, three loops (report, commit, compaction),
// the export loop where there is a Sink, and the state that they share; Close ends the loops and waits for
// them. What an operation does to an account is package billing's to say. Each operation is written with the
// index of the account that it read, so that of two at once one follows the other, at whatever instance they
// are asked. All exported methods may be called concurrently.
package billingservice
