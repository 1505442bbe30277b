package billingservice

import "fmt"

// KeyPrefix is that of all keys of accounts in the store.
const KeyPrefix = "billing/"

// The keys below KeyPrefix. They are stored: their names stay those of the first version.
const (
	accountPrefix = KeyPrefix + "account/" // and the tenant: a billing.Account
	reportPrefix  = KeyPrefix + "use/"     // and incarnation and number: a report, until it is committed
	recordPrefix  = KeyPrefix + "record/"  // and the sequence: a billing.Record, until it is exported
	exportKey     = KeyPrefix + "export"   // the exportState
	leaseKey      = KeyPrefix + "clerk"    // the exportLease
	// markPrefix and an incarnation: which report of that one was written last.
	markPrefix = KeyPrefix + "door/"
)

// incarnationName is the part of keys that is this process's own: during an upgrade two of one instance run.
func (s *Service) incarnationName() string {
	return fmt.Sprintf("%s-%016x", s.options.Instance, s.incarnation)
}

// recordKeyAt is the key of the record of a sequence; keys sort as sequences do.
func recordKeyAt(sequence uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, sequence) }
