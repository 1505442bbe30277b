// Package billing is what plan changes, reservations and exported use come to, as a pure state machine: an
// account and a moment go in, a new account or an error come out. It reads no clock and does no I/O.
//
// An Account is a value that no operation changes: each gives a new one, so accounts may be read
// concurrently. Whoever calls it stores accounts so that each operation follows from the last (package
// billingservice does, in the replicated store). docs/billing.md is the operators' page.
package billing
