package main

import "sync"

// notifier hands changes from a sender that must not block to a handler that may. Changes that arrive while
// the handler runs are handled by one further call.
type notifier struct {
	pending chan struct{}
	stop    chan struct{}
	running sync.WaitGroup
}

func newNotifier() *notifier {
	return &notifier{pending: make(chan struct{}, 1), stop: make(chan struct{})}
}

// Notify has the handler called. It does not block. Before Start the call waits for Start.
func (n *notifier) Notify() {
	select {
	case n.pending <- struct{}{}:
	default: // a call waits already
	}
}

// Start calls handle after each change until Close.
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

// Close waits for a handler that runs, and ends. It may be called once.
func (n *notifier) Close() {
	close(n.stop)
	n.running.Wait()
}
