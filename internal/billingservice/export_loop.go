package billingservice

import (
	"context"
	"sync/atomic"
	"time"

	"fawnplank/internal/logging"
)

// exportError holds the error text of the last round of the export. Only the export loop writes it. It may be read
// concurrently.
type exportError struct {
	message atomic.Pointer[string] // nil before the first round
}

// record stores the error of a round, which is nil if the round succeeded, and reports whether its text differs from
// that of the previous round.
func (e *exportError) record(err error) (changed bool) {
	last := e.text()
	message := ""
	if err != nil {
		message = err.Error()
	}
	e.message.Store(&message)
	return message != last
}

// text returns the error's text. It is empty if the last round succeeded.
func (e *exportError) text() string {
	if message := e.message.Load(); message != nil {
		return *message
	}
	return ""
}

// runExport sends records to the sink, in order, until Close. It retries a failed round after any error, and logs an
// error only if its text differs from that of the previous round.
func (s *Service) runExport() {
	ctx, cancel := s.contextUntilStop()
	defer cancel()
	delay := time.Duration(0)
	for {
		mayHaveMore, err := s.exportBatch(ctx)
		if err != nil {
			s.stats.Failures.Add(1)
		}
		if s.lastExportError.record(err) && ctx.Err() == nil {
			logExportTransition(err)
		}
		delay = s.nextExportDelay(delay, mayHaveMore, err)
		if s.waitOrStop(delay) {
			return
		}
	}
}

// contextUntilStop returns a context that is canceled when the service stops. The caller must call the returned
// function, which also ends the goroutine that waits for the stop.
func (s *Service) contextUntilStop() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.loops.Go(func() {
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, cancel
}

// nextExportDelay returns the delay after a round of the export: a backoff if the round failed, 0 if more records may
// be waiting, and otherwise the report interval. lastDelay is the previous delay.
func (s *Service) nextExportDelay(lastDelay time.Duration, mayHaveMore bool, err error) time.Duration {
	switch {
	case err != nil:
		return exportBackoff(lastDelay, s.options.ExportRetryDelay)
	case mayHaveMore:
		return 0
	default:
		return s.options.ReportInterval
	}
}

// logExportTransition logs that a round of the export has failed or, if err is nil, that the export succeeds again.
func logExportTransition(err error) {
	if err != nil {
		logging.For(logComponent).WithError(err).Error("export failed; retrying")
		return
	}
	logging.For(logComponent).Info("export resumed")
}
