package frontend

import "sync/atomic"

// readerActivity is the current activity of the reader of a connection. It is used only for the log.
type readerActivity uint32

const (
	readerReads                 readerActivity = iota // reads or waits for bytes
	readerHandles                                     // handles commands that were read
	readerPauses                                      // pauses after an invalid command
	readerAwaitsPendingCapacity                       // waits for capacity among the pending commands
	readerAwaitsMemory                                // waits for memory for a large command
	readerAwaitsResponses                             // waits until all pending commands are answered
	readerDiscards                                    // discards input after an error that ends the connection
	readerLingers                                     // gives the client time to receive its last response
)

func (a readerActivity) String() string {
	names := []string{
		readerReads:                 "reads",
		readerHandles:               "handles commands",
		readerPauses:                "pauses after an invalid command",
		readerAwaitsPendingCapacity: "awaits capacity",
		readerAwaitsMemory:          "awaits memory",
		readerAwaitsResponses:       "awaits responses",
		readerDiscards:              "discards after an error",
		readerLingers:               "lingers",
	}
	return enumName(names, "readerActivity", a)
}

// activityTracker holds a readerActivity that one goroutine sets and others read.
type activityTracker struct{ current atomic.Uint32 }

func (t *activityTracker) load() readerActivity { return readerActivity(t.current.Load()) }

// enter sets the activity and returns a function that restores the previous activity.
func (t *activityTracker) enter(activity readerActivity) (restore func()) {
	previous := t.current.Swap(uint32(activity))
	return func() { t.current.Store(previous) }
}
