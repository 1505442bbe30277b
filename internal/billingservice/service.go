package billingservice

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
)

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
	// RetryDelay is the delay after a first failed export. It doubles with each further failure, up to thirty
	// times its value; 0 means one second.
	RetryDelay time.Duration
	// LeaseDuration is how long the maintenance lease lasts without being renewed; 0 means three seconds.
	LeaseDuration time.Duration
	// Sink receives the records. If it is nil, this instance exports nothing.
	Sink Sink
	// Now is the clock. If it is nil, time.Now is used.
	Now func() time.Time
}

// logComponent names this package in the log.
const logComponent = "billing"

const (
	// CompactionInterval is how often the service looks for expired reservations and windows that have ended.
	CompactionInterval = time.Second
	// addReportsInterval is how often reports are added to accounts.
	addReportsInterval = 250 * time.Millisecond
	// defaultLeaseDuration is how long the maintenance lease lasts, unless Options.LeaseDuration says otherwise.
	// It is renewed by the loops above, and so must last for several of their intervals.
	defaultLeaseDuration = 3 * time.Second
)

// Service serves the accounts at one instance. All its methods may be called concurrently, but for
// KeysChanged, whose calls must not overlap.
type Service struct {
	options          Options
	incarnationNanos int64 // when this process of the instance began, unix ns

	usage        unreportedUsage
	usageDropped atomic.Uint64 // requests whose units were out of range
	reports      reportState
	// planChanges holds the plan changes by tenant, of tenants that have any. The map is replaced, never modified.
	planChanges     atomic.Pointer[map[string][]billing.PlanChange]
	lease           leaseTerm
	lastExportError exportError
	counts          Stats

	stop      chan struct{} // closed by Close
	loops     sync.WaitGroup
	closeOnce sync.Once
}

// Stats holds counts since Start.
type Stats struct {
	Operations atomic.Uint64 // operations on accounts that were committed
	Rejected   atomic.Uint64 // operations that package billing rejected
	Reports    atomic.Uint64 // reports of this instance's usage that were committed
	Exported   atomic.Uint64 // records that the receiver acknowledged to this instance
	Failures   atomic.Uint64 // rounds of the loops that returned an error
}

// Start starts an instance's service. Close ends it.
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
		options:          options,
		incarnationNanos: options.Now().UnixNano(),
		stop:             make(chan struct{}),
	}
	s.planChanges.Store(&map[string][]billing.PlanChange{})
	var keys []string
	for tenant := range options.Replica.ReadLocalPrefix(accountPrefix) {
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

// Close ends the loops, releases the maintenance lease, and reports the remaining usage. Usage that cannot be
// reported within operationTimeout is lost, and logged as such. Close may be called on a nil Service, and more
// than once.
func (s *Service) Close() {
	if s == nil {
		return
	}
	s.closeOnce.Do(func() {
		close(s.stop)
		s.loops.Wait()
		s.releaseLease()
		pause := func() (stopped bool) {
			time.Sleep(closeRetryInterval)
			return false
		}
		if err := retry(s.report, pause); err != nil {
			logging.For(logComponent).WithError(err).Error("usage report lost")
		}
	})
}

// Stats returns the counts since Start, which continue to change.
func (s *Service) Stats() *Stats { return &s.counts }

// PendingRecords returns how many records are not exported yet.
func (s *Service) PendingRecords() int {
	return len(s.options.Replica.ReadLocalPrefix(recordPrefix))
}

// LastExportError returns the text of the error of the last round of the export, which is being retried. It is
// empty if that round succeeded.
func (s *Service) LastExportError() string { return s.lastExportError.text() }
