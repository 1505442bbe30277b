// Package billing defines what plan changes, reservations and exported usage amount to, as a pure state
// machine: an account and a moment go in, and a new account or an error comes out. It reads no clock and does
// no I/O. Moments and durations are nanoseconds, as their names say; a moment counts from 1970.
//
// An Account is a value that no operation changes: each operation returns a new one, so accounts may be read
// concurrently. The caller stores accounts so that each operation builds on the result of the last (package
// billingservice does so in the replicated store). docs/billing.md is the operators' page.
package billing
