// Package sock reads and writes TCP connections of the net package by raw system calls. It owns nothing but
// the way a call is made, and never blocks in one: the sockets are non-blocking, and waiting is left to net.
//
// Why: an ordinary call tells Go's scheduler that it may block. With one processor the runtime's monitor then
// takes the processor from any call over 20 microseconds, as writes over loopback often are, starts another
// thread for it, and itself wakes 50 times in the millisecond after. Those were most system calls of a
// gateway. A raw call keeps the processor for as long as the kernel copies some bytes.
//
// One goroutine may read from a Conn while another writes to it; each method says what else may run beside
// it.
package sock
