package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// Limits on the head of a request, which consists of all its arguments except the body.
const (
	minRequestArgs = 4  // command name, tenant, id, fields
	maxRequestArgs = 5  // the minimum and an optional body
	tenantDigits   = 16 // hexadecimal digits
	tenantBits     = 33 // the protocol limits tenants to values below 2^33
	maxIDBytes     = 64
	maxNumberBytes = 20 // the number of decimal digits of a 64-bit integer
)

// Indexes of the arguments of a request.
const (
	_ = iota // the name of the command
	tenantArg
	idArg
	fieldsArg
)

// Arguments of package strconv.
const (
	hexadecimalBase = 16
	float64Bits     = 64
)

// Errors in the head of a request. Their texts are sent to the client.
var (
	errArgumentCount   = errors.New("wrong number of arguments")
	errTenant          = errors.New("customer is no number of 16 hexadecimal digits below 2^33")
	errRequestID       = errors.New("id is missing or cannot be read")
	errClassMissing    = errors.New("class is missing")
	errPlanMissing     = errors.New("plan is missing")
	errDeadlineMissing = errors.New("d is missing")
)

// requestHead is the parsed head of a request. Its slices point into the command that it was parsed from.
type requestHead struct {
	config     *config.Config // the configuration used to parse the head
	tenantText []byte
	tenant     policy.TenantID
	id         []byte
	fields     []byte // the list of names and values
	class      policy.ClassID
	hasClass   bool
	plan       policy.PlanID
	planName   []byte // nil if the request names no plan
	remaining  time.Duration
	// remainingText is the text of remaining within fields; nil if the request states none.
	remainingText []byte
	units         float64
	entryPoints   int // number of consecutive instances that receive the tenant's requests
	firstInstance int // index of the first of these instances
}

// parse parses the arguments of a request. If it fails, the class is nevertheless set if it was parsed before the
// failure.
func (h *requestHead) parse(args [][]byte) error {
	if len(args) < minRequestArgs || len(args) > maxRequestArgs {
		return errArgumentCount
	}
	if err := h.parseTenant(args[tenantArg]); err != nil {
		return err
	}
	h.id = args[idArg]
	if len(h.id) == 0 || len(h.id) > maxIDBytes || bytes.ContainsFunc(h.id, isUnprintable) {
		return errRequestID
	}
	h.fields = args[fieldsArg]
	if err := h.parseFields(); err != nil {
		return err
	}
	switch {
	case !h.hasClass:
		return errClassMissing
	case h.planName == nil:
		return errPlanMissing
	case h.remainingText == nil:
		return errDeadlineMissing
	}
	return nil
}

// isUnprintable reports whether a rune is not allowed in an id, which consists of printable ASCII without spaces.
func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

// parseTenant sets the tenant from its hexadecimal digits.
func (h *requestHead) parseTenant(text []byte) error {
	tenant, err := strconv.ParseUint(string(text), hexadecimalBase, tenantBits)
	if err != nil || len(text) != tenantDigits {
		return errTenant
	}
	h.tenantText = text
	h.tenant = policy.TenantID(tenant)
	return nil
}

// fieldResult is the result of parsing one field.
type fieldResult uint8

const (
	fieldSet     fieldResult = iota
	fieldInvalid             // the value is not valid
	fieldUnknown             // the name is unknown; the field is forwarded to the backend with the others
)

func (f fieldResult) String() string {
	names := []string{
		fieldSet:     "set",
		fieldInvalid: "invalid",
		fieldUnknown: "unknown",
	}
	return enumName(names, "fieldResult", f)
}

// parseFields parses the names and values of the fields. A known name may occur only once.
func (h *requestHead) parseFields() error {
	h.units = 1
	h.entryPoints = 1
	seen := "," // the known names so far, each between commas
	rest := h.fields
	for hasMore := true; hasMore; {
		var field []byte
		field, rest, hasMore = bytes.Cut(rest, []byte(","))
		name, value, hasValue := bytes.Cut(field, []byte("="))
		if !hasValue {
			return fmt.Errorf("%.40q has no value", field)
		}
		result := h.setField(name, value)
		if result == fieldUnknown {
			continue
		}
		if result == fieldInvalid || strings.Contains(seen, ","+string(name)+",") {
			return fmt.Errorf("%s has no meaning as %.40q", name, value)
		}
		seen += string(name) + ","
	}
	return nil
}

// setField sets the part of the head that the field with the given name describes.
func (h *requestHead) setField(name, value []byte) fieldResult {
	valid := false
	switch string(name) {
	case "c":
		valid = h.setClass(value)
	case "t":
		valid = h.setPlan(value)
	case "d":
		valid = h.setRemaining(value)
	case "units":
		h.units, valid = parseNumber(value)
		valid = valid && h.units > 0 && h.units <= h.config.MaxUnits
	case "spread":
		h.entryPoints, valid = parseInteger(value, 1, h.instanceCount())
	case "first":
		h.firstInstance, valid = parseInteger(value, 0, h.instanceCount()-1)
	default:
		return fieldUnknown
	}
	if !valid {
		return fieldInvalid
	}
	return fieldSet
}

// instanceCount returns how many instances the fleet has.
func (h *requestHead) instanceCount() int { return max(h.config.Settings.Instances, 1) }

// setClass sets the class. If the name is unknown or names a check-only class, it returns false and leaves the class
// unchanged: check-only classes are for the limit commands, and their requests would never be sent to a backend.
func (h *requestHead) setClass(name []byte) bool {
	class, known := h.config.Classes[string(name)]
	if !known || h.config.Settings.Classes[class].CheckOnly {
		return false
	}
	h.class = class
	h.hasClass = true
	return true
}

// setPlan sets the plan. It returns false if the name is unknown.
func (h *requestHead) setPlan(name []byte) bool {
	plan, known := h.config.Plans[string(name)]
	h.plan = plan
	h.planName = name
	return known
}

// setRemaining sets the time until the deadline from a number of milliseconds.
func (h *requestHead) setRemaining(milliseconds []byte) bool {
	number, valid := parseNumber(milliseconds)
	h.remaining = config.DurationFromMilliseconds(number)
	h.remainingText = milliseconds
	return valid
}

// parseInteger parses an integer from minimum to maximum.
func parseInteger(text []byte, minimum, maximum int) (int, bool) {
	number, valid := parseNumber(text)
	inRange := number >= float64(minimum) && number <= float64(maximum)
	if !valid || !inRange || number != math.Trunc(number) {
		return 0, false
	}
	return int(number), true
}

// parseNumber parses decimal digits with an optional decimal point. It accepts no sign, no exponent, and no special
// value such as NaN.
func parseNumber(text []byte) (float64, bool) {
	if len(text) == 0 || len(text) > maxNumberBytes || len(bytes.Trim(text, "0123456789.")) > 0 {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(text), float64Bits)
	return number, err == nil
}
