package limitserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/billing"
)

const (
	// maxInteger bounds the integers of commands: what a client's float64 holds exactly.
	maxInteger = 1 << 53
	// maxLeaseMillis bounds a lease before it becomes nanoseconds; the accounts allow far less.
	maxLeaseMillis = 1 << 40
	// maxMomentMillis bounds the moment of a change, in the year 2248: its nanoseconds fit an int64.
	maxMomentMillis = 1 << 43
	// gestoriaLimit is the first number that names no gestoría, 2^33, as its 16 digits are written.
	gestoriaLimit = "0000000200000000"
)

// arguments are the words of a command on accounts. The first one that cannot be read sets err; a command
// reads all that it needs, then looks at err, before it does anything.
type arguments struct {
	gestoria string
	words    [][]byte
	err      error
}

// parseArguments checks the gestoría, which every command names first.
func parseArguments(words [][]byte) (*arguments, error) {
	name := string(words[0])
	_, err := strconv.ParseUint(name, 16, 64)
	if err != nil || len(name) != 16 || name != strings.ToLower(name) || name >= gestoriaLimit {
		return nil, fmt.Errorf("gestoria '%.20s' is no number of 16 small hexadecimal digits below 2^33",
			name)
	}
	return &arguments{gestoria: name, words: words}, nil
}

// fail sets err, unless an argument before could not be read either.
func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// text is argument n as it came.
func (a *arguments) text(n int) string { return string(a.words[n]) }

// integer is argument n as an integer.
func (a *arguments) integer(n int) int64 { return a.parseInteger(a.text(n)) }

func (a *arguments) parseInteger(text string) int64 {
	x, err := strconv.ParseInt(text, 10, 64)
	if err != nil || x < 0 || x > maxInteger {
		a.fail("'%.20s' is no whole number", text)
	}
	return x
}

// epoch is argument n as the epoch of a reservation.
func (a *arguments) epoch(n int) uint64 { return uint64(a.integer(n)) }

// units is argument n as units.
func (a *arguments) units(n int) billing.Units {
	x, err := strconv.ParseFloat(a.text(n), 64)
	if err != nil {
		a.fail("units '%.20s' are no number", a.text(n))
	}
	if a.err != nil {
		return 0
	}
	units, err := billing.ParseUnits(x)
	a.err = err
	return units
}

// lease is argument n as a time in milliseconds.
func (a *arguments) lease(n int) time.Duration {
	return time.Duration(min(a.integer(n), maxLeaseMillis)) * time.Millisecond
}

// moment is argument n as a Unix time in nanoseconds: milliseconds since 1970, or, with a plus, from now on.
func (a *arguments) moment(n int) int64 {
	text, fromNow := strings.CutPrefix(a.text(n), "+")
	moment := a.parseInteger(text) * 1e6
	if fromNow {
		return moment + time.Now().UnixMilli()*1e6
	}
	if moment/1e6 > maxMomentMillis {
		a.fail("moment %s is out of range", text)
	}
	return moment
}
