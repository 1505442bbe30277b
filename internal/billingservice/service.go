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

// Replica is the part of a store replica that is used to store accounts.
type Replica interface {
	// ReadLocal reads a key as this replica has it.
	ReadLocal(key string) (kv.Entry, bool)
	// ReadFromLeader reads a key as the leader has it, including everything that is committed.
	ReadFromLeader(key string) (kv.Entry, bool, error)
	// ReadPrefix reads the keys with a prefix as this replica has them. The result is indexed by the part of the
	// key that follows the prefix.
	ReadPrefix(prefix string) map[string]json.RawMessage
	// Edit commits all edits or none. It returns a kv.ConflictError if a key is not as expected. After any other
	// error the edits may still be committed.
	Edit(edits []kv.Edit) error
}

// Options configures a Service.
type Options struct {
	// Replica is this instance's replica of the store.
	Replica Replica
	// Instance is this instance's name, which is unique in the installation.
	Instance string
	// Settings returns the settings now in force. It is called for each request.
	Settings func() billing.Settings
	// ReportInterval is the time between two reports of this instance's usage.
	ReportInterval time.Duration
	// RetryDelay is the delay after a failed export. It is doubled up to thirty times its value; 0 means one
	// second.
	RetryDelay time.Duration
	// LeaseDuration is how long an export lease lasts without being renewed; 0 means three seconds.
	LeaseDuration time.Duration
	// Sink receives the records. If it is nil, this instance exports nothing.
	Sink Sink
	// Now is the clock. If it is nil, time.Now is used.
	Now func() time.Time
}

const (
	defaultRetryDelay    = time.Second
	defaultLeaseDuration = 3 * time.Second
	// operationTimeout bounds an operation. An election takes a second or so.
	operationTimeout = 5 * time.Second
	// closeRetryInterval is the time between two attempts of Close to report the remaining usage.
	closeRetryInterval = 100 * time.Millisecond
	// CompactionInterval is how often the service looks for expired reservations and windows that have ended.
	CompactionInterval = time.Second
	// addReportsInterval is how often reports are added to accounts.
	addReportsInterval = 250 * time.Millisecond
	// maxEdits bounds the edits of one write. It leaves a tenth of a command of the store for the edits that end
	// a write.
	maxEdits = kv.MaxEdits * 9 / 10
)

// Service serves the accounts at one instance.
type Service struct {
	options     Options
	incarnation int64 // when this process of the instance began, unix ns

	mu    sync.Mutex
	usage map[usageKey]billing.Units // not reported yet

	// pendingReport and reportNumber belong to the report loop and, after that loop has ended, to Close.
	pendingReport []usageItem // the report that is being written, with its content fixed
	reportNumber  uint64      // its number

	plans atomic.Pointer[map[string]billing.Account] // plan changes by tenant; replaced, never modified

	leaseMu           sync.Mutex
	leaseExpiresNanos int64 // until when this instance holds the export lease, unix ns

	haltReason atomic.Pointer[string] // why nothing is exported; nil before the first attempt
	counts     Stats

	stop      chan struct{}
	loops     sync.WaitGroup
	closeOnce sync.Once
}

// Stats holds counts since Start.
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
	s.startLoop(addReportsInterval, s.addReports)
	s.startLoop(CompactionInterval, s.compact)
	if options.Sink != nil {
		s.loops.Go(s.runExport)
	}
	return s
}

// startLoop calls round after each interval until Close. It logs once per outage.
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

// logOutage logs that rounds fail or, if err is nil, that they succeed again.
func logOutage(err error) {
	if err != nil {
		logging.For("billing").WithError(err).Warn("store not writable; retrying")
		return
	}
	logging.For("billing").Info("store writable again")
}

// waitOrStop waits for delay and reports whether the service was stopped in the meantime.
func (s *Service) waitOrStop(delay time.Duration) (stopped bool) {
	select {
	case <-s.stop:
		return true
	case <-time.After(delay):
		return false
	}
}

// Close ends the loops, releases the export lease, and reports the remaining usage. It may be called on a nil
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

// Stats returns the counts since Start, which continue to change.
func (s *Service) Stats() *Stats { return &s.counts }

// PendingRecords returns how many records are not exported yet.
func (s *Service) PendingRecords() int {
	return len(s.options.Replica.ReadPrefix(recordPrefix))
}

// HaltReason returns why nothing is exported. It is empty if nothing is wrong.
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
