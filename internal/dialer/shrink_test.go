package dialer

import "golang.org/x/sys/unix"

// shrink makes a listener's queue as short as it can be.
func shrink(fd uintptr) { unix.Listen(int(fd), 0) }
