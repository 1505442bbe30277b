// Package quotawindow lays fixed windows over time. All functions are pure and safe for concurrent use.
package quotawindow

// Window is one of the windows that follow each other without a gap.
type Window struct {
	Start int64
	Index uint64 // the number of the window; those of one length and offset differ
}

// At returns the window of the given length, above 0, that holds an instant. Windows of different offsets
// start at different times, so that not all of them roll over at once.
func At(now, length int64, offset uint64) Window {
	shifted := now + int64(offset%uint64(length))
	return Window{Start: now - shifted%length, Index: uint64(shifted / length)}
}
