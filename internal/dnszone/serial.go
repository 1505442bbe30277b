package dnszone

// halfSerialSpace is half the number of serials.
const halfSerialSpace = 1 << 31

// SerialNewer reports whether serial a is newer than b in serial number arithmetic (RFC 1982, 3.2). If they are
// half the serial space apart, neither is newer.
func SerialNewer(a, b uint32) bool { return a != b && a-b < halfSerialSpace }

// nextSerial returns the serial that follows. It skips 0, which secondaries interpret as a zone that is not
// loaded yet.
func nextSerial(serial uint32) uint32 { return max(serial+1, 1) }
