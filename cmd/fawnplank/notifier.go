package main

import "sync"

// notifier passes changes from a sender that must not block to a handler that may. All changes that arrive
// while the handler runs are covered by one further call.
type notifier struct {
	pending chan struct{}
	stop    chan struct{}
	running sync.WaitGroup
}

func newNotifier() *notifier {
	return &notifier{pending: make(chan struct{}, 1), stop: make(chan struct{})}
}

// Notify schedules a call of the handler. It does not block. A call scheduled before Start waits for Start.
func (n *notifier) Notify() {
	select {
	case n.pending <- struct{}{}:
	default: // a call is already scheduled
	}
}

// Start calls handle after each Notify until Close is called.
func (n *notifier) Start(handle func()) {
	n.running.Go(func() {
		for {
			select {
			case <-n.pending:
				handle()
			case <-n.stop:
				return
			}
		}
	})
}

// Close waits for a running handler and then stops the notifier. It must be called at most once.
func (n *notifier) Close() {
	close(n.stop)
	n.running.Wait()
}
