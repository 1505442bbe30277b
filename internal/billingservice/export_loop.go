package billingservice

import (
	"context"
	"sync/atomic"
	"time"

	"fawnplank/internal/logging"
)

// exportError holds the error of the last round of the export. The export loop alone records it; it may be read
// at any time.
type exportError struct {
	message atomic.Pointer[string] // nil before the first round
}

// record replaces the error by that of a round, which is nil if the round succeeded, and reports whether its
// text has changed.
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

// runExport sends records to the sink, in order, until Close. It repeats a failed round whatever the error was,
// and logs an error only if its text differs from that of the round before.
func (s *Service) runExport() {
	ctx, cancel := s.contextUntilStop()
	defer cancel()
	delay := time.Duration(0)
	for {
		mayHaveMore, err := s.exportBatch(ctx)
		if err != nil {
			s.counts.Failures.Add(1)
		}
		if s.lastExportError.record(err) && ctx.Err() == nil {
			logExport(err)
		}
		delay = s.nextExportDelay(delay, mayHaveMore, err)
		if s.waitOrStop(delay) {
			return
		}
	}
}

// contextUntilStop returns a context that is canceled when the service stops. The caller cancels it, which
// also ends the goroutine that waits for the stop.
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

// nextExportDelay returns how long the export waits after a round. It does not wait if more records may be
// waiting, and backs off after failures.
func (s *Service) nextExportDelay(last time.Duration, mayHaveMore bool, err error) time.Duration {
	switch {
	case err != nil:
		return exportBackoff(last, s.options.ExportRetryDelay)
	case mayHaveMore:
		return 0
	default:
		return s.options.ReportInterval
	}
}

// logExport logs that a round has failed or, if err is nil, that the export works again.
func logExport(err error) {
	if err != nil {
		logging.For(logComponent).WithError(err).Error("export failed; retrying")
		return
	}
	logging.For(logComponent).Info("export resumed")
}
