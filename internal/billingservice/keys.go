package billingservice

import "fmt"

// KeyPrefix is the prefix of all keys of this package in the store.
const KeyPrefix = "billing/"

// The keys under KeyPrefix. Their texts are part of the stored format and must not change.
const (
	// accountPrefix is followed by the tenant. The value is a billing.Account.
	accountPrefix = KeyPrefix + "account/"
	// reportPrefix is followed by the name of an incarnation and the number of its report. The value is the report's
	// usageItems. The key exists until they are added to accounts.
	reportPrefix = KeyPrefix + "use/"
	// recordPrefix is followed by a sequence number. The value is a billing.UsageRecord. The key exists until the record
	// is exported.
	recordPrefix = KeyPrefix + "record/"
	// lastReportPrefix is followed by the name of an incarnation. The value is the key of its last report.
	lastReportPrefix = KeyPrefix + "door/"
	// exportKey is the key of the exportState.
	exportKey = KeyPrefix + "export"
	// leaseKey is the key of the maintenanceLease.
	leaseKey = KeyPrefix + "clerk"
)

// incarnationName returns the name of this process of the instance, which is used in keys. The instance's name alone
// would not be unique, because during an upgrade two processes of one instance run.
func (s *Service) incarnationName() string {
	return fmt.Sprintf("%s-%016x", s.options.Instance, s.incarnationStartNanos)
}

// recordKey returns the key of the record with a sequence number. Keys sort in the order of sequence numbers.
func recordKey(sequence uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, sequence) }
