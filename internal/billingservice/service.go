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
	// Instance is this instance's name, which must be unique among all instances.
	Instance string
	// Settings returns the current settings. It is called for each request.
	Settings func() billing.Settings
	// ReportInterval is the time between two reports of this instance's usage.
	ReportInterval time.Duration
	// ExportRetryDelay is the shortest delay after a failed round of the export. The delay doubles with each further
	// failure, up to thirty times this value. 0 means one second.
	ExportRetryDelay time.Duration
	// MaintenanceLeaseDuration is how long the maintenance lease lasts if it is not renewed. 0 means three seconds.
	MaintenanceLeaseDuration time.Duration
	// Sink receives the exported records. If it is nil, this instance exports nothing.
	Sink Sink
	// Now returns the current time. If it is nil, time.Now is used.
	Now func() time.Time
}

// logComponent is the name of this package in log entries.
const logComponent = "billing"

const (
	// CompactionInterval is the interval at which the service ends expired reservations and closes ended windows.
	CompactionInterval = time.Second
	// addReportsInterval is the interval at which reports are added to accounts.
	addReportsInterval = 250 * time.Millisecond
	// defaultLeaseDuration is used if Options.MaintenanceLeaseDuration is 0. The loops that run at the two intervals
	// above renew the lease, so it must last for several of these intervals.
	defaultLeaseDuration = 3 * time.Second
)

// Service provides the operations on accounts at one instance. Its methods may be called concurrently, except that
// calls of KeysChanged must not overlap.
type Service struct {
	options               Options
	incarnationStartNanos int64 // start of this process of the instance, unix ns

	usage           unreportedUsage
	droppedRequests atomic.Uint64 // number of requests whose units were out of range
	reports         reportState
	// planChanges maps the tenants that have plan changes to these changes. The map is replaced and never modified.
	planChanges     atomic.Pointer[map[string][]billing.PlanChange]
	lease           localLease
	lastExportError exportError
	stats           Stats

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

// Start starts the service of an instance. The caller must call Close to stop it.
func Start(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MaintenanceLeaseDuration == 0 {
		options.MaintenanceLeaseDuration = defaultLeaseDuration
	}
	if options.ExportRetryDelay == 0 {
		options.ExportRetryDelay = defaultRetryDelay
	}
	s := &Service{
		options:               options,
		incarnationStartNanos: options.Now().UnixNano(),
		stop:                  make(chan struct{}),
	}
	s.planChanges.Store(&map[string][]billing.PlanChange{})
	var keys []string
	for tenant := range options.Replica.ReadLocalPrefix(accountPrefix) {
		keys = append(keys, accountPrefix+tenant)
	}
	s.KeysChanged(keys)
	s.startLoop(options.ReportInterval, s.reportUsage)
	s.startLoop(addReportsInterval, s.addReports)
	s.startLoop(CompactionInterval, s.compact)
	if options.Sink != nil {
		s.loops.Go(s.runExport)
	}
	return s
}

// Close ends the loops, releases the maintenance lease and reports the remaining usage. If the usage cannot be reported
// within operationTimeout, it is lost and an error is logged. Close may be called on a nil Service, and more than once.
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
		if err := retry(s.reportUsage, pause); err != nil {
			logging.For(logComponent).WithError(err).Error("usage report lost")
		}
	})
}

// Stats returns the counts since Start. They continue to change after the call.
func (s *Service) Stats() *Stats { return &s.stats }

// PendingRecords returns the number of records that are not exported yet.
func (s *Service) PendingRecords() int {
	return len(s.options.Replica.ReadLocalPrefix(recordPrefix))
}

// LastExportError returns the error text of the last round of the export, or "" if that round succeeded.
func (s *Service) LastExportError() string { return s.lastExportError.text() }
