package billingservice

import (
	"encoding/json"

	"fawnplank/internal/store/kv"
)

// exportLease states which instance adds reports to accounts and compacts accounts, and until when. Records are
// exported by every instance that has a Sink, with or without the lease.
type exportLease struct {
	Holder       string `json:"who"`   // an incarnation's name
	ExpiresNanos int64  `json:"until"` // unix ns
}

// acquireLease reports whether this instance holds the export lease. It acquires or renews the lease if it
// can. Only the holder adds reports to accounts and looks for reservations whose leases have expired and for
// windows that have ended, so that not every instance reads all accounts each second. Two holders at once
// would do no harm, because each write names the index of what it read. The holder is not simply the store's
// leader: the leader may be a replica without a gateway, and then nothing was added for as long as it led.
func (s *Service) acquireLease() bool {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	now := s.options.Now().UnixNano()
	duration := int64(s.options.LeaseDuration)
	if now < s.leaseExpiresNanos-duration/2 { // the lease is renewed in its second half
		return true
	}
	self := s.incarnationName()
	lease, index, ok := s.readLease()
	if ok && lease.Holder != self && now < lease.ExpiresNanos+s.options.Settings().ClockSkewNanos {
		return false
	}
	renewed := exportLease{Holder: self, ExpiresNanos: now + duration}
	if err := s.writeLease(renewed, index); err != nil {
		return now < s.leaseExpiresNanos
	}
	s.leaseExpiresNanos = renewed.ExpiresNanos
	return true
}

// releaseLease allows another instance to acquire the lease at once.
func (s *Service) releaseLease() {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if s.leaseExpiresNanos == 0 {
		return
	}
	lease, index, ok := s.readLease()
	if !ok || lease.Holder != s.incarnationName() {
		return
	}
	_ = s.writeLease(exportLease{Holder: lease.Holder}, index) // if the write fails, the lease expires by itself
}

// readLease reads the lease as this replica has it. ok is false if there is no lease or it cannot be read.
// The index is that of the key in any case.
func (s *Service) readLease() (lease exportLease, index kv.Index, ok bool) {
	entry, found := s.options.Replica.ReadLocal(leaseKey)
	ok = found && json.Unmarshal(entry.Value, &lease) == nil
	return lease, entry.Index, ok
}

// writeLease writes the lease, if the key still has the given index.
func (s *Service) writeLease(lease exportLease, index kv.Index) error {
	value, err := json.Marshal(lease)
	if err != nil {
		return err
	}
	edit := kv.Edit{Key: leaseKey, Value: value, Conditional: true, ExpectedIndex: index}
	return s.options.Replica.Edit([]kv.Edit{edit})
}
