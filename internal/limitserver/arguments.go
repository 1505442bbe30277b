package limitserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/billing"
)

const (
	// maxInteger bounds the integers in commands: a float64 of a client represents every integer up to it exactly.
	maxInteger = 1 << 53
	// maxLeaseMillis bounds a lease so that its conversion to nanoseconds does not overflow. The maximum lease that
	// the accounts allow is far shorter.
	maxLeaseMillis = 1 << 40
	// maxTimestampMillis bounds the time of a plan change. It is in the year 2248, so its nanoseconds fit into an
	// int64.
	maxTimestampMillis = 1 << 43
	// tenantIDDigits is the length of a tenant ID in hexadecimal digits.
	tenantIDDigits = 16
	// tenantIDLimit is larger than every valid tenant ID.
	tenantIDLimit = 1 << 33

	nanosPerMilli = 1e6
)

// arguments holds the arguments of a command on accounts. The methods text, integer, epoch, units, lease and
// timestampNanos each parse and consume the next argument; the first argument that cannot be parsed sets err. A
// command parses all its arguments and then checks err before it has any effect.
type arguments struct {
	tenant    string
	remaining [][]byte // arguments that are not consumed yet
	err       error
}

// newArguments parses the tenant, which is the first argument of every command on accounts. The tenant's digits must
// be lower case, because accounts are stored under them. The errors of these commands call the tenant "gestoria";
// clients depend on that text.
func newArguments(args [][]byte) (*arguments, error) {
	tenant := string(args[0])
	number, err := strconv.ParseUint(tenant, 16, 64)
	isCanonical := len(tenant) == tenantIDDigits && tenant == strings.ToLower(tenant)
	if err != nil || !isCanonical || number >= tenantIDLimit {
		return nil, fmt.Errorf("gestoria '%.20s' is no number of 16 small hexadecimal digits below 2^33",
			tenant)
	}
	return &arguments{tenant: tenant, remaining: args[1:]}, nil
}

// setError sets err unless an earlier argument has set it.
func (a *arguments) setError(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// text consumes an argument and returns it as received.
func (a *arguments) text() string {
	text := string(a.remaining[0])
	a.remaining = a.remaining[1:]
	return text
}

// integer consumes an integer from 0 to maxInteger.
func (a *arguments) integer() int64 { return a.parseInteger(a.text()) }

func (a *arguments) parseInteger(text string) int64 {
	integer, err := strconv.ParseInt(text, 10, 64)
	if err != nil || integer < 0 || integer > maxInteger {
		a.setError("'%.20s' is no whole number", text)
	}
	return integer
}

// epoch consumes the epoch of a reservation.
func (a *arguments) epoch() uint64 { return uint64(a.integer()) }

// units consumes a number of units. The wording of its error ("are no number", for a single argument) is sent to
// clients and therefore stays.
func (a *arguments) units() billing.MicroUnits {
	text := a.text()
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		a.setError("units '%.20s' are no number", text)
	}
	if a.err != nil {
		return 0
	}
	units, err := billing.MicroUnitsFromFloat(number)
	a.err = err
	return units
}

// lease consumes the duration of a lease, which is a number of milliseconds.
func (a *arguments) lease() time.Duration {
	return time.Duration(min(a.integer(), maxLeaseMillis)) * time.Millisecond
}

// timestampNanos consumes a time and returns it as Unix time in nanoseconds. The argument is in milliseconds since
// 1970 or, with a plus sign in front, in milliseconds from now.
func (a *arguments) timestampNanos() int64 {
	text, fromNow := strings.CutPrefix(a.text(), "+")
	millis := a.parseInteger(text) // at most maxInteger if valid, so the sum below does not overflow
	if fromNow {
		millis += time.Now().UnixMilli()
	}
	if millis > maxTimestampMillis {
		a.setError("moment %s is out of range", text)
		return 0
	}
	return millis * nanosPerMilli
}
