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

// arguments holds the arguments of a command on accounts. The first argument that cannot be parsed sets err.
// A command parses all the arguments it needs and then checks err before it does anything.
type arguments struct {
	tenant string
	words  [][]byte
	err    error
}

// parseArguments checks the tenant, which is the first argument of every command. Its digits must be lower
// case, because accounts are stored under them. The word "gestoria" in the error is the term used on the
// wire.
func parseArguments(words [][]byte) (*arguments, error) {
	tenant := string(words[0])
	number, err := strconv.ParseUint(tenant, 16, 64)
	isCanonical := len(tenant) == tenantDigits && tenant == strings.ToLower(tenant)
	if err != nil || !isCanonical || number >= tenantLimit {
		return nil, fmt.Errorf("gestoria '%.20s' is no number of 16 small hexadecimal digits below 2^33",
			tenant)
	}
	return &arguments{tenant: tenant, words: words}, nil
}

// fail sets err, unless an earlier argument has set it already.
func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// text returns argument n as received.
func (a *arguments) text(n int) string { return string(a.words[n]) }

// integer returns argument n as an integer.
func (a *arguments) integer(n int) int64 { return a.parseInteger(a.text(n)) }

func (a *arguments) parseInteger(text string) int64 {
	x, err := strconv.ParseInt(text, 10, 64)
	if err != nil || x < 0 || x > maxInteger {
		a.fail("'%.20s' is no whole number", text)
	}
	return x
}

// epoch returns argument n as the epoch of a reservation.
func (a *arguments) epoch(n int) uint64 { return uint64(a.integer(n)) }

// units returns argument n as units.
func (a *arguments) units(n int) billing.Units {
	x, err := strconv.ParseFloat(a.text(n), 64)
	if err != nil {
		a.fail("units '%.20s' are no number", a.text(n))
	}
	if a.err != nil {
		return 0
	}
	units, err := billing.UnitsFromFloat(x)
	a.err = err
	return units
}

// lease returns argument n, a number of milliseconds, as a duration.
func (a *arguments) lease(n int) time.Duration {
	return time.Duration(min(a.integer(n), maxLeaseMillis)) * time.Millisecond
}

// momentNanos returns argument n as a Unix time in nanoseconds. The argument is in milliseconds since 1970
// or, with a plus sign, from now.
func (a *arguments) momentNanos(n int) int64 {
	text, fromNow := strings.CutPrefix(a.text(n), "+")
	nanos := a.parseInteger(text) * nanosPerMilli
	if fromNow {
		return nanos + time.Now().UnixMilli()*nanosPerMilli
	}
	if nanos/nanosPerMilli > maxMomentMillis {
		a.fail("moment %s is out of range", text)
	}
	return nanos
}
