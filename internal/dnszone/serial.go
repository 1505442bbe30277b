package dnszone

// SerialNewer reports whether serial a comes after b in serial number arithmetic (RFC 1982, 3.2). Of two that
// are half the circle apart neither does.
func SerialNewer(a, b uint32) bool { return a != b && a-b < 1<<31 }

// nextSerial returns the serial that follows. It leaves out 0, which secondaries take for a zone not loaded
// yet.
func nextSerial(serial uint32) uint32 { return max(serial+1, 1) }
