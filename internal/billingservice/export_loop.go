package billingservice

import (
	"context"
	"sync/atomic"
	"time"

	"fawnplank/internal/logging"
)

// exportHalt holds why nothing is exported. The export loop alone records it; it may be read at any time.
type exportHalt struct {
	reason atomic.Pointer[string] // nil before the first round
}

// record makes the error of a round the reason, or clears the reason if err is nil, and reports whether this
// is a change.
func (h *exportHalt) record(err error) (changed bool) {
	last := h.text()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	h.reason.Store(&reason)
	return reason != last
}

// text returns the reason. It is empty if nothing is wrong.
func (h *exportHalt) text() string {
	if reason := h.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// runExport sends records to the sink, in order, until Close. Whenever the reason for failure changes, it
// logs the change once.
func (s *Service) runExport() {
	ctx, cancel := s.contextUntilStop()
	defer cancel()
	delay := time.Duration(0)
	for {
		mayHaveMore, err := s.exportBatch(ctx)
		if err != nil {
			s.counts.Failures.Add(1)
		}
		if s.halt.record(err) && ctx.Err() == nil {
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
		return exportBackoff(last, s.options.RetryDelay)
	case mayHaveMore:
		return 0
	default:
		return s.options.ReportInterval
	}
}

// logExport logs that nothing is exported or, if err is nil, that the export works again.
func logExport(err error) {
	if err != nil {
		logging.For(logComponent).WithError(err).Error("export failed; retrying")
		return
	}
	logging.For(logComponent).Info("export resumed")
}
