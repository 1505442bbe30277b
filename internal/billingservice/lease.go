package billingservice

import (
	"encoding/json"

	"fawnplank/internal/store/kv"
)

// exportLease says which instance commits reports and compacts accounts, and until when.
type exportLease struct {
	Holder       string `json:"who"`   // an incarnation's name
	ExpiresNanos int64  `json:"until"` // unix ns
}

// acquireLease reports whether this instance holds the export lease, and acquires or renews it where it can.
// The holder commits reports and looks for what is over, so that not every instance reads all accounts each
// second. Two at once would do no harm, since each write names what it read. The holder is not simply the
// store's leader, which may be a replica without a gateway: nothing was committed then, for as long as that
// one led.
func (s *Service) acquireLease() bool {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	now := s.options.Now().UnixNano()
	duration := int64(s.options.LeaseDuration)
	if now < s.leaseExpiresNanos-duration/2 { // it is renewed in its second half
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

// releaseLease lets another instance acquire the lease at once.
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
	_ = s.writeLease(exportLease{Holder: lease.Holder}, index) // it expires by itself otherwise
}

// readLease reads the lease as this replica has it. It is not ok where there is none or it cannot be read;
// the index is the key's in any case.
func (s *Service) readLease() (lease exportLease, index kv.Index, ok bool) {
	entry, found := s.options.Replica.ReadLocal(leaseKey)
	ok = found && json.Unmarshal(entry.Value, &lease) == nil
	return lease, entry.Index, ok
}

// writeLease writes the lease, if it is still of an index.
func (s *Service) writeLease(lease exportLease, index kv.Index) error {
	value, err := json.Marshal(lease)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit([]kv.Edit{{Key: leaseKey, Value: value, Check: true, If: index}})
}
