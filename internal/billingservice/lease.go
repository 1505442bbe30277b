package billingservice

import (
	"encoding/json"
	"sync"

	"fawnplank/internal/store/kv"
)

// maintenanceLease is the stored lease. It states which instance adds reports to accounts and compacts
// accounts, and until when. Records are exported by every instance that has a Sink, with or without it.
type maintenanceLease struct {
	Holder       string `json:"who"`   // an incarnation's name
	ExpiresNanos int64  `json:"until"` // unix ns; 0 once its holder has released it
}

// isHeldByOther reports whether another incarnation may still act as the holder, by its own clock.
func (l maintenanceLease) isHeldByOther(self string, nowNanos, clockSkewNanos int64) bool {
	return l.Holder != self && nowNanos < l.ExpiresNanos+clockSkewNanos
}

// acquire returns the lease with a new holder, or with the same one and a later end.
func (l maintenanceLease) acquire(holder string, expiresNanos int64) maintenanceLease {
	l.Holder = holder
	l.ExpiresNanos = expiresNanos
	return l
}

// release returns the lease in a state in which every incarnation may acquire it at once.
func (l maintenanceLease) release() maintenanceLease {
	l.ExpiresNanos = 0
	return l
}

// leaseTerm is what this instance knows of its own lease. The loops that need the lease share it. The caller of
// its methods holds mu.
type leaseTerm struct {
	mu           sync.Mutex // held while the lease is acquired, renewed or released
	expiresNanos int64      // end of the lease that was last acquired, unix ns; 0 if none was
}

// isRenewalDue reports whether less than half of the lease's duration is left.
func (t *leaseTerm) isRenewalDue(nowNanos, durationNanos int64) bool {
	return nowNanos >= t.expiresNanos-durationNanos/2
}

// isRunning reports whether the lease has not expired.
func (t *leaseTerm) isRunning(nowNanos int64) bool { return nowNanos < t.expiresNanos }

// wasAcquired reports whether this instance has ever held the lease.
func (t *leaseTerm) wasAcquired() bool { return t.expiresNanos != 0 }

// ensureLease acquires or renews the maintenance lease if that is due and possible, and reports whether this
// instance holds the lease. Only the holder adds reports to accounts and looks for reservations whose leases
// have expired and for windows that have ended, so that not every instance reads all accounts each second.
// Two holders at once would do no harm, because each write names the index of what it read. The holder is not
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
		return s.lease.isRunning(nowNanos)
	}
	s.lease.expiresNanos = acquired.ExpiresNanos
	return true
}

// releaseLease allows another instance to acquire the lease at once.
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
	_ = s.writeLease(stored.release(), index) // if the write fails, the lease expires by itself
}

// readLease reads the lease as this replica has it. ok is false if there is no lease or it cannot be read.
// The index is that of the key in any case.
func (s *Service) readLease() (lease maintenanceLease, index kv.Index, ok bool) {
	entry, found := s.options.Replica.ReadLocal(leaseKey)
	ok = found && json.Unmarshal(entry.Value, &lease) == nil
	return lease, entry.Index, ok
}

// writeLease writes the lease, if the key still has the given index.
func (s *Service) writeLease(lease maintenanceLease, index kv.Index) error {
	value, err := json.Marshal(lease)
	if err != nil {
		return err
	}
	edit := kv.Edit{Key: leaseKey, Value: value, Conditional: true, ExpectedIndex: index}
	return s.options.Replica.Edit([]kv.Edit{edit})
}
