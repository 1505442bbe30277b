package billingservice

import "fmt"

// KeyPrefix is the prefix of all account keys in the store.
const KeyPrefix = "billing/"

// The keys below KeyPrefix. They are stored, so their names stay those of the first version.
const (
	// accountPrefix is followed by the tenant: a billing.Account.
	accountPrefix = KeyPrefix + "account/"
	// reportPrefix is followed by incarnation and number: a report, until its units are added to accounts.
	reportPrefix = KeyPrefix + "use/"
	// recordPrefix is followed by the sequence: a billing.Record, until it is exported.
	recordPrefix = KeyPrefix + "record/"
	// lastReportPrefix is followed by an incarnation: the key of the report that it wrote last.
	lastReportPrefix = KeyPrefix + "door/"
	// exportKey holds the exportState.
	exportKey = KeyPrefix + "export"
	// leaseKey holds the maintenanceLease.
	leaseKey = KeyPrefix + "clerk"
)

// incarnationName returns the part of a key that is unique to this process, because during an upgrade two
// processes of one instance run.
func (s *Service) incarnationName() string {
	return fmt.Sprintf("%s-%016x", s.options.Instance, s.incarnationNanos)
}

// recordKeyAt returns the key of the record with a sequence. Keys sort in the order of sequences.
func recordKeyAt(sequence uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, sequence) }
