package main

import (
	"testing"
	"testing/synctest"
)

// Changes before Start are handled by it, changes while the handler runs by one further call, and none after
// Close.
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
			t.Errorf("%d calls for the changes before Start", calls)
		}
		for range 3 {
			n.Notify()
		}
		release <- struct{}{}
		synctest.Wait()
		if calls != 2 {
			t.Errorf("%d calls with the changes while the handler ran", calls)
		}
		close(release)
		n.Close()
		n.Notify()
		synctest.Wait()
		if calls != 2 {
			t.Errorf("%d calls after Close", calls)
		}
	})
}
