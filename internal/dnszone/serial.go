package dnszone

// SerialNewer reports whether serial a comes after b in serial number arithmetic (RFC 1982, 3.2). If they are
// half the circle apart, neither comes after the other.
func SerialNewer(a, b uint32) bool { return a != b && a-b < 1<<31 }

// nextSerial returns the serial that follows. It skips 0, which secondaries take to mean that the zone is not
// loaded yet.
func nextSerial(serial uint32) uint32 { return max(serial+1, 1) }
