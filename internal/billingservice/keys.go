package billingservice

import "fmt"

// KeyPrefix is the prefix of all account keys in the store.
const KeyPrefix = "billing/"

// The keys below KeyPrefix. They are stored, so their names stay those of the first version.
const (
	accountPrefix = KeyPrefix + "account/" // followed by the tenant: a billing.Account
	reportPrefix  = KeyPrefix + "use/"     // followed by incarnation and number: a report, until its units are added to accounts
	recordPrefix  = KeyPrefix + "record/"  // followed by the sequence: a billing.Record, until it is exported
	exportKey     = KeyPrefix + "export"   // the exportState
	leaseKey      = KeyPrefix + "clerk"    // the exportLease
	// lastReportPrefix is followed by an incarnation: the key of the report that it wrote last.
	lastReportPrefix = KeyPrefix + "door/"
)

// incarnationName returns the part of a key that is unique to this process, because during an upgrade two
// processes of one instance run.
func (s *Service) incarnationName() string {
	return fmt.Sprintf("%s-%016x", s.options.Instance, s.incarnation)
}

// recordKeyAt returns the key of the record with a sequence. Keys sort in the order of sequences.
func recordKeyAt(sequence uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, sequence) }
