package billingservice

import (
	"encoding/json"
	"sync"

	"fawnplank/internal/store/kv"
)

// maintenanceLease is the stored lease. Its holder is the instance that adds reports to accounts and compacts
// accounts. Exporting records does not require the lease: every instance with a Sink does it.
type maintenanceLease struct {
	Holder       string `json:"who"`   // the name of an incarnation
	ExpiresNanos int64  `json:"until"` // unix ns; 0 after the holder has released the lease
}

// isHeldByOther reports whether another incarnation holds the lease and, given the clock skew, may still consider it
// unexpired.
func (l maintenanceLease) isHeldByOther(self string, nowNanos, clockSkewNanos int64) bool {
	return l.Holder != self && nowNanos < l.ExpiresNanos+clockSkewNanos
}

// acquire returns the lease with the given holder and expiry. A holder renews its own lease with it.
func (l maintenanceLease) acquire(holder string, expiresNanos int64) maintenanceLease {
	l.Holder = holder
	l.ExpiresNanos = expiresNanos
	return l
}

// release returns the lease in a state in which any incarnation may acquire it immediately.
func (l maintenanceLease) release() maintenanceLease {
	l.ExpiresNanos = 0
	return l
}

// localLease is this instance's record of the maintenance lease that it last acquired. The loops that need the lease
// share it. The caller of its methods must hold mu.
type localLease struct {
	mu           sync.Mutex // held while the lease is acquired, renewed or released
	expiresNanos int64      // expiry of the lease last acquired, unix ns; 0 if none was
}

// isRenewalDue reports whether at most half of the lease's duration remains.
func (l *localLease) isRenewalDue(nowNanos, durationNanos int64) bool {
	return nowNanos >= l.expiresNanos-durationNanos/2
}

// isValid reports whether the lease has not expired.
func (l *localLease) isValid(nowNanos int64) bool { return nowNanos < l.expiresNanos }

// wasAcquired reports whether this instance has ever held the lease.
func (l *localLease) wasAcquired() bool { return l.expiresNanos != 0 }

// ensureLease acquires or renews the maintenance lease if that is due and possible, and reports whether this
// instance holds the lease. Only the holder adds reports to accounts and searches all accounts for expired
// reservations and ended windows, so that not every instance reads all accounts each second. Two simultaneous
// holders are harmless, because each write names the index of the entry that it was computed from. The holder is not
// simply the store's leader, because the leader may be a replica without a gateway.
func (s *Service) ensureLease() bool {
	s.lease.mu.Lock()
	defer s.lease.mu.Unlock()
	nowNanos := s.options.Now().UnixNano()
	durationNanos := int64(s.options.MaintenanceLeaseDuration)
	if !s.lease.isRenewalDue(nowNanos, durationNanos) {
		return true
	}
	self := s.incarnationName()
	stored, index, ok := s.readLease()
	if ok && stored.isHeldByOther(self, nowNanos, s.options.Settings().ClockSkewNanos) {
		return false
	}
	acquired := stored.acquire(self, nowNanos+durationNanos)
	if err := s.writeLease(acquired, index); err != nil {
		return s.lease.isValid(nowNanos)
	}
	s.lease.expiresNanos = acquired.ExpiresNanos
	return true
}

// releaseLease releases the maintenance lease, so that another instance can acquire it immediately.
func (s *Service) releaseLease() {
	s.lease.mu.Lock()
	defer s.lease.mu.Unlock()
	if !s.lease.wasAcquired() {
		return
	}
	stored, index, ok := s.readLease()
	if !ok || stored.Holder != s.incarnationName() {
		return
	}
	_ = s.writeLease(stored.release(), index) // if the write fails, the lease expires
}

// readLease reads the lease from this replica. ok is false if there is no lease or it cannot be decoded. The index
// is that of the lease's entry in either case.
func (s *Service) readLease() (lease maintenanceLease, index kv.Index, ok bool) {
	entry, found := s.options.Replica.ReadLocal(leaseKey)
	ok = found && json.Unmarshal(entry.Value, &lease) == nil
	return lease, entry.Index, ok
}

// writeLease writes the lease if its entry still has the given index.
func (s *Service) writeLease(lease maintenanceLease, index kv.Index) error {
	value, err := json.Marshal(lease)
	if err != nil {
		return err
	}
	edit := kv.Edit{Key: leaseKey, Value: value, Conditional: true, ExpectedIndex: index}
	return s.options.Replica.Edit([]kv.Edit{edit})
}
