// Package sock reads and writes TCP connections of package net with raw system calls. It changes only how the
// calls are made, and never blocks in one: the sockets are non-blocking, and waiting is left to package net.
//
// The reason: an ordinary system call tells Go's scheduler that it may block. With one processor, the
// runtime's monitor then takes the processor away from any call that lasts over 20 microseconds, as writes
// over loopback often do, starts another thread for the processor, and itself wakes 50 times in the following
// millisecond. These made up most system calls of a gateway. A raw call keeps the processor while the kernel
// copies some bytes.
//
// One goroutine may read from a Conn while another writes to it. The documentation of each method says which
// other calls may run concurrently.
package sock
