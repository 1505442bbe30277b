package main

import (
	"testing"
	"testing/synctest"
)

// TestNotifier checks that Start handles earlier notifications with one call, that all notifications during a call of
// the handler cause one further call, and that notifications after Close cause none.
func TestNotifier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNotifier()
		calls := 0
		release := make(chan struct{})
		n.Notify()
		n.Notify()
		n.Start(func() {
			calls++
			<-release
		})
		synctest.Wait()
		if calls != 1 {
			t.Errorf("%d calls for the notifications before Start, want 1", calls)
		}
		for range 3 {
			n.Notify()
		}
		release <- struct{}{}
		synctest.Wait()
		if calls != 2 {
			t.Errorf("%d calls after notifications during a call, want 2", calls)
		}
		close(release)
		n.Close()
		n.Notify()
		synctest.Wait()
		if calls != 2 {
			t.Errorf("%d calls after Close, want 2", calls)
		}
	})
}
