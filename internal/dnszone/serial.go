package dnszone

// halfSerialSpace is half the number of serials, 2^(SERIAL_BITS - 1) in RFC 1982.
const halfSerialSpace = 1 << 31

// SerialNewer reports whether serial a is greater than serial b in serial number arithmetic (RFC 1982, 3.2). If the
// two are half the serial space apart, neither is greater.
func SerialNewer(a, b uint32) bool { return a != b && a-b < halfSerialSpace }

// nextSerial returns the serial that follows the given one. It skips 0, because secondaries take a zone with serial
// 0 for one that is not loaded yet.
func nextSerial(serial uint32) uint32 { return max(serial+1, 1) }
