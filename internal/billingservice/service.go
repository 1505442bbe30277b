package billingservice

import (
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// Replica is the part of a replica of the store by which accounts are stored.
type Replica interface {
	// ReadLocal reads a key as this replica has it.
	ReadLocal(key string) (kv.Entry, bool)
	// ReadFromLeader reads a key as the leader has it, with all that is committed.
	ReadFromLeader(key string) (kv.Entry, bool, error)
	// ReadPrefix reads the keys with a prefix as this replica has them, by what follows the prefix.
	ReadPrefix(prefix string) map[string]json.RawMessage
	// Edit commits edits together or not at all. It returns a kv.ConflictError where a key is not as
	// expected; after any other error the edits may be committed yet.
	Edit(edits []kv.Edit) error
}

// Options configure a Service.
type Options struct {
	// Replica is this instance's replica of the store.
	Replica Replica
	// Instance is this instance's name, one of its own in the installation.
	Instance string
	// Settings gives the settings now in force. It is called for each request.
	Settings func() billing.Settings
	// ReportInterval lies between two reports of this instance's use.
	ReportInterval time.Duration
	// RetryDelay follows an export that failed, doubled up to thirty times that; 0: a second.
	RetryDelay time.Duration
	// LeaseDuration is how long an export lease lasts without being renewed; 0: three seconds.
	LeaseDuration time.Duration
	// Sink receives the records; nil: this instance exports nothing.
	Sink Sink
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

const (
	defaultRetryDelay    = time.Second
	defaultLeaseDuration = 3 * time.Second
	// operationTimeout bounds an operation: an election takes a second or so.
	operationTimeout = 5 * time.Second
	// closeRetryInterval lies between two attempts of Close to report what is left.
	closeRetryInterval = 100 * time.Millisecond
	// CompactionInterval is how often leases and windows that are over are looked for.
	CompactionInterval = time.Second
	// commitInterval is how often reports are committed to accounts.
	commitInterval = 250 * time.Millisecond
	// maxEdits bounds the edits of one write: a command of the store holds a thousand.
	maxEdits = 900
)

// Service serves the accounts at one instance.
type Service struct {
	options     Options
	incarnation int64 // when this process of the instance began, unix ns

	mu    sync.Mutex
	usage map[usageKey]billing.Units // not reported yet

	// pending and reportNumber belong to the report loop, and to Close after that has ended.
	pending      []usageItem // the report that is being written, as it was fixed
	reportNumber uint64      // its number

	plans atomic.Pointer[map[string]billing.Account] // plan changes by tenant; replaced, not written to

	leaseMu           sync.Mutex
	leaseExpiresNanos int64 // until when this instance holds the export lease, unix ns

	haltReason atomic.Pointer[string] // why nothing is exported; nil before the first attempt
	counts     Stats

	stop      chan struct{}
	loops     sync.WaitGroup
	closeOnce sync.Once
}

// Stats are counts since Start.
type Stats struct {
	Operations atomic.Uint64 // operations on accounts that were committed
	Rejected   atomic.Uint64 // operations that package billing refused
	Reports    atomic.Uint64 // reports of this instance's use that were committed
	Exported   atomic.Uint64 // records that the receiver acknowledged to this instance
	Failures   atomic.Uint64 // rounds that failed at the store or the receiver
}

// Start starts an instance's service.
func Start(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.LeaseDuration == 0 {
		options.LeaseDuration = defaultLeaseDuration
	}
	if options.RetryDelay == 0 {
		options.RetryDelay = defaultRetryDelay
	}
	s := &Service{
		options:     options,
		incarnation: options.Now().UnixNano(),
		usage:       map[usageKey]billing.Units{},
		stop:        make(chan struct{}),
	}
	s.plans.Store(&map[string]billing.Account{})
	var keys []string
	for tenant := range options.Replica.ReadPrefix(accountPrefix) {
		keys = append(keys, accountPrefix+tenant)
	}
	s.KeysChanged(keys)
	s.startLoop(options.ReportInterval, s.report)
	s.startLoop(commitInterval, s.commitReports)
	s.startLoop(CompactionInterval, s.compact)
	if options.Sink != nil {
		s.loops.Go(s.runExport)
	}
	return s
}

// startLoop calls round after each interval until Close. It logs once an outage.
func (s *Service) startLoop(interval time.Duration, round func() error) {
	s.loops.Go(func() {
		failing := false
		for !s.waitOrStop(interval) {
			err := round()
			if (err != nil) != failing {
				failing = err != nil
				logOutage(err)
			}
			if err != nil {
				s.counts.Failures.Add(1)
			}
		}
	})
}

// logOutage logs that rounds fail, or with no error that they succeed again.
func logOutage(err error) {
	if err != nil {
		logging.For("billing").WithError(err).Warn("store not writable; retrying")
		return
	}
	logging.For("billing").Info("store writable again")
}

// waitOrStop waits for a while and reports whether the service stops meanwhile.
func (s *Service) waitOrStop(delay time.Duration) (stopped bool) {
	select {
	case <-s.stop:
		return true
	case <-time.After(delay):
		return false
	}
}

// Close ends the loops, releases the export lease and reports what was used. It may be called of a nil
// Service, and more than once.
func (s *Service) Close() {
	if s == nil {
		return
	}
	s.closeOnce.Do(func() {
		close(s.stop)
		s.loops.Wait()
		s.releaseLease()
		for deadline := time.Now().Add(operationTimeout); ; time.Sleep(closeRetryInterval) {
			err := s.report()
			if err == nil {
				return
			}
			if time.Now().After(deadline) {
				logging.For("billing").WithError(err).Error("usage report lost")
				return
			}
		}
	})
}

// Stats gives the counts since Start, which go on changing.
func (s *Service) Stats() *Stats { return &s.counts }

// PendingRecords is how many records are not exported yet.
func (s *Service) PendingRecords() int {
	return len(s.options.Replica.ReadPrefix(recordPrefix))
}

// HaltReason is why nothing is exported; empty: nothing is wrong.
func (s *Service) HaltReason() string {
	if reason := s.haltReason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// isConflict reports whether a write failed because somebody else has changed what it was based on.
func isConflict(err error) bool {
	var conflict kv.ConflictError
	return errors.As(err, &conflict)
}
