package limitserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/billing"
)

const (
	// maxInteger bounds the integers in commands: a client's float64 holds every integer up to it exactly.
	maxInteger = 1 << 53
	// maxLeaseMillis bounds a lease before it is converted to nanoseconds; the accounts allow far less.
	maxLeaseMillis = 1 << 40
	// maxMomentMillis bounds the time of a change. It is in the year 2248, so its nanoseconds fit into an int64.
	maxMomentMillis = 1 << 43
	// tenantDigits is the length of a tenant's number, in hexadecimal digits.
	tenantDigits = 16
	// tenantLimit is the first number that names no tenant.
	tenantLimit = 1 << 33

	nanosPerMilli = 1e6
)

// arguments holds the arguments of a command on accounts. Each of its methods takes the next argument, and the
// first one that cannot be parsed sets err. A command takes all its arguments and then checks err before it does
// anything.
type arguments struct {
	tenant string
	rest   [][]byte // not taken yet
	err    error
}

// newArguments takes the tenant, which is the first argument of every command. Its digits must be lower case,
// because accounts are stored under them. The word "gestoria" in the error is the wire's term on these commands.
func newArguments(all [][]byte) (*arguments, error) {
	tenant := string(all[0])
	number, err := strconv.ParseUint(tenant, 16, 64)
	isCanonical := len(tenant) == tenantDigits && tenant == strings.ToLower(tenant)
	if err != nil || !isCanonical || number >= tenantLimit {
		return nil, fmt.Errorf("gestoria '%.20s' is no number of 16 small hexadecimal digits below 2^33",
			tenant)
	}
	return &arguments{tenant: tenant, rest: all[1:]}, nil
}

// fail sets err, unless an earlier argument has set it already.
func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// text takes an argument as received.
func (a *arguments) text() string {
	text := string(a.rest[0])
	a.rest = a.rest[1:]
	return text
}

// integer takes an integer.
func (a *arguments) integer() int64 { return a.parseInteger(a.text()) }

func (a *arguments) parseInteger(text string) int64 {
	x, err := strconv.ParseInt(text, 10, 64)
	if err != nil || x < 0 || x > maxInteger {
		a.fail("'%.20s' is no whole number", text)
	}
	return x
}

// epoch takes the epoch of a reservation.
func (a *arguments) epoch() uint64 { return uint64(a.integer()) }

// units takes a number of units. Its error says "are no number" of a single argument; the text is part of
// the wire format.
func (a *arguments) units() billing.MicroUnits {
	text := a.text()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		a.fail("units '%.20s' are no number", text)
	}
	if a.err != nil {
		return 0
	}
	units, err := billing.MicroUnitsFromFloat(x)
	a.err = err
	return units
}

// lease takes a number of milliseconds.
func (a *arguments) lease() time.Duration {
	return time.Duration(min(a.integer(), maxLeaseMillis)) * time.Millisecond
}

// momentNanos takes a time, in milliseconds since 1970 or, with a plus sign, from now. It returns it as Unix time
// in nanoseconds.
func (a *arguments) momentNanos() int64 {
	text, fromNow := strings.CutPrefix(a.text(), "+")
	millis := a.parseInteger(text) // below 2^53, so that the sum does not overflow
	if fromNow {
		millis += time.Now().UnixMilli()
	}
	if millis > maxMomentMillis {
		a.fail("moment %s is out of range", text)
		return 0
	}
	return millis * nanosPerMilli
}
