package billingservice

import (
	"time"

	"fawnplank/internal/logging"
)

// Every wait and every limit of a retry in this package is one of these. The intervals between rounds of the
// loops stand in service.go.
const (
	// operationTimeout is how long an operation, a report or Close begins new attempts. It outlasts an election,
	// which takes a second or so. It does not cut short an attempt that has begun: each of the attempt's calls to
	// the leader may take forwardTimeout of package store, six seconds, beyond it.
	operationTimeout = 5 * time.Second
	// reportRetryInterval is the wait between two attempts to write a report.
	reportRetryInterval = 50 * time.Millisecond
	// closeRetryInterval is the wait between two attempts of Close to report the remaining usage.
	closeRetryInterval = 100 * time.Millisecond
	// replicaLagInterval is the wait between two checks whether this replica has the last write. Commits take
	// milliseconds.
	replicaLagInterval = 5 * time.Millisecond
	// defaultRetryDelay is the wait after a first failed export, unless Options.ExportRetryDelay sets another.
	defaultRetryDelay = time.Second
	// maxExportBackoffFactor bounds the doubling of Options.ExportRetryDelay: thirty seconds at the default.
	maxExportBackoffFactor = 30
)

// retry calls attempt until it succeeds. It begins no further attempt once operationTimeout has passed since the
// call, or wait reports that the service was stopped, and then returns the last attempt's error. There is always
// a first attempt.
func retry(attempt func() error, wait func() (stopped bool)) error {
	deadline := time.Now().Add(operationTimeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(deadline) || wait() {
			return err
		}
	}
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

// startLoop calls round after each interval until Close. A failed round is repeated at the next interval, and
// an outage of several rounds is logged once.
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

// logOutage logs that rounds fail or, if err is nil, that they succeed again. Its phrase stands for any error of
// a round: also for a report or an account that cannot be read while the store is well. While such a round
// fails, startLoop does not log a later outage of the store.
func logOutage(err error) {
	if err != nil {
		logging.For(logComponent).WithError(err).Warn("store not writable; retrying")
		return
	}
	logging.For(logComponent).Info("store writable again")
}

// exportBackoff returns the wait after a failed export: first retryDelay, then twice the last wait, up to a
// bound. last is 0 after a success.
func exportBackoff(last, retryDelay time.Duration) time.Duration {
	return min(max(2*last, retryDelay), maxExportBackoffFactor*retryDelay)
}
