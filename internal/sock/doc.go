// Package sock reads and writes TCP connections of package net with raw system calls. It changes only how the
// system calls are made. No system call blocks: the sockets are non-blocking, and package net does the waiting.
//
// The Go scheduler treats an ordinary system call as one that may block. With one processor (P), the runtime's
// monitor thread takes the P away from any system call that lasts over 20 microseconds, as writes over loopback
// often do, starts another thread for the P, and wakes up 50 times in the following millisecond. These wake-ups and
// thread starts made up most of a gateway's system calls. A raw system call keeps the P while the kernel copies the
// bytes.
//
// One goroutine may read from a Conn while another writes to it. The documentation of each method states which
// other calls may run concurrently.
package sock
