package main

import "sync"

// notifier calls a handler, which may block, after notifications from senders that must not block. All notifications
// that arrive while the handler runs cause a single further call.
type notifier struct {
	pending chan struct{}
	stop    chan struct{}
	running sync.WaitGroup
}

func newNotifier() *notifier {
	return &notifier{pending: make(chan struct{}, 1), stop: make(chan struct{})}
}

// Notify schedules a call of the handler. It does not block. A call that is scheduled before Start is made after Start.
func (n *notifier) Notify() {
	select {
	case n.pending <- struct{}{}:
	default: // a call is already scheduled
	}
}

// Start starts a goroutine that calls handle after notifications until Close is called.
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

// Close stops the notifier and waits for a running handler. It must be called at most once.
func (n *notifier) Close() {
	close(n.stop)
	n.running.Wait()
}
