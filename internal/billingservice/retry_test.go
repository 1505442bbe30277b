package billingservice

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestExportBackoff_DoublesUpToMaximum(t *testing.T) {
	delay := time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		delay = exportBackoff(delay, time.Second)
		if delay != want*time.Second {
			t.Errorf("%v, want %v", delay, want*time.Second)
		}
	}
}

func TestRetry_ReturnsLastErrorAfterTimeout(t *testing.T) {
	errAttempt := errors.New("no leader")
	synctest.Test(t, func(t *testing.T) {
		startTime := time.Now()
		attempts := 0
		err := retry(func() error {
			attempts++
			return errAttempt
		}, func() (stopped bool) {
			time.Sleep(time.Second)
			return false
		})
		// An attempt that fails exactly at operationTimeout is followed by another one.
		wantAttempts := int(operationTimeout/time.Second) + 2
		if !errors.Is(err, errAttempt) || attempts != wantAttempts {
			t.Errorf("%v after %d attempts in %v, want %d", err, attempts, time.Since(startTime), wantAttempts)
		}
	})
}

func TestRetry_EndsAfterSuccessOrServiceStop(t *testing.T) {
	errAttempt := errors.New("no leader")
	attempts := 0
	attempt := func() error {
		attempts++
		if attempts < 3 {
			return errAttempt
		}
		return nil
	}
	if err := retry(attempt, func() bool { return false }); err != nil || attempts != 3 {
		t.Errorf("%v after %d attempts, want a success at the third", err, attempts)
	}
	attempts = 0
	if err := retry(attempt, func() bool { return true }); !errors.Is(err, errAttempt) || attempts != 1 {
		t.Errorf("%v after %d attempts, want the error of the first", err, attempts)
	}
}
