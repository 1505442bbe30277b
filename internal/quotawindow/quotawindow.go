// Package quotawindow divides time into fixed windows. All functions are pure and safe for concurrent use.
package quotawindow

// Window is one of a sequence of windows without gaps.
type Window struct {
	Start int64  // in nanoseconds
	Index uint64 // the window's number, unique among those of one length and offset
}

// At returns the window of the given length, above 0, that contains an instant. Windows of different offsets
// start at different times, so that they do not all roll over at once.
func At(now, length int64, offset uint64) Window {
	shifted := now + int64(offset%uint64(length))
	return Window{Start: now - shifted%length, Index: uint64(shifted / length)}
}
