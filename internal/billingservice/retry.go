package billingservice

import (
	"time"

	"fawnplank/internal/logging"
)

// The delays and limits of all retries in this package. The intervals between rounds of the loops are in service.go.
const (
	// operationTimeout is how long an operation, a report or Close starts new attempts. It is longer than a leader
	// election, which takes about a second. It does not limit an attempt that has started: each call of such an
	// attempt to the leader may take another six seconds, the forwardTimeout of package store.
	operationTimeout = 5 * time.Second
	// reportRetryInterval is the delay between two attempts to write a report.
	reportRetryInterval = 50 * time.Millisecond
	// closeRetryInterval is the delay between two attempts of Close to report the remaining usage.
	closeRetryInterval = 100 * time.Millisecond
	// replicaLagInterval is the delay between two checks whether this replica has applied the last write. A commit
	// takes milliseconds.
	replicaLagInterval = 5 * time.Millisecond
	// defaultRetryDelay is used if Options.ExportRetryDelay is 0.
	defaultRetryDelay = time.Second
	// maxExportBackoffFactor is the longest backoff of the export, as a multiple of Options.ExportRetryDelay. It is
	// thirty seconds with the default delay.
	maxExportBackoffFactor = 30
)

// retry calls attempt until it succeeds, operationTimeout has passed since the call of retry, or wait reports that the
// service was stopped. In the latter two cases it returns the error of the last attempt. It always makes at least one
// attempt, and calls wait between attempts.
func retry(attempt func() error, wait func() (stopped bool)) error {
	deadline := time.Now().Add(operationTimeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(deadline) || wait() {
			return err
		}
	}
}

// waitOrStop waits until the delay has passed or the service is stopped, and reports whether the service was stopped.
func (s *Service) waitOrStop(delay time.Duration) (stopped bool) {
	select {
	case <-s.stop:
		return true
	case <-time.After(delay):
		return false
	}
}

// startLoop starts a goroutine that calls round after each interval until Close. A failed round is retried after the
// next interval. Consecutive failed rounds are logged once.
func (s *Service) startLoop(interval time.Duration, round func() error) {
	s.loops.Go(func() {
		failing := false
		for !s.waitOrStop(interval) {
			err := round()
			if (err != nil) != failing {
				failing = err != nil
				logRoundTransition(err)
			}
			if err != nil {
				s.stats.Failures.Add(1)
			}
		}
	})
}

// logRoundTransition logs that rounds of a loop fail or, if err is nil, that they succeed again. A round may fail
// because the store is unavailable, or because a report or an account cannot be decoded. While rounds fail for the
// latter reason, startLoop does not log a later outage of the store.
func logRoundTransition(err error) {
	if err != nil {
		logging.For(logComponent).WithError(err).Warn("store not writable; retrying")
		return
	}
	logging.For(logComponent).Info("store writable again")
}

// exportBackoff returns the delay after a failed round of the export: twice the delay after the previous round, but at
// least retryDelay and at most maxExportBackoffFactor times retryDelay. lastDelay is the delay after the previous
// round.
func exportBackoff(lastDelay, retryDelay time.Duration) time.Duration {
	return min(max(2*lastDelay, retryDelay), maxExportBackoffFactor*retryDelay)
}
