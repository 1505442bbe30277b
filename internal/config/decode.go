package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// SettingError is an error in the value of one key of the platform's configuration or settings. The problem also
// states which values are valid, so that an operator can correct the key.
type SettingError struct {
	Key     string // the full path of the key, such as settings.lanes[0].deadline-ms
	Problem string // predicate of a sentence whose subject is the key, such as "is not above 0"
}

// Error returns the message for operators. It begins with "settings: " for every key, even for a key outside the
// settings, such as limits.sockets. The prefix stays because operators match the text, and a golden file of the
// command "check" contains it.
func (e *SettingError) Error() string { return "settings: " + e.Key + " " + e.Problem }

// errNull is the error for a document that consists only of null.
var errNull = errors.New("it is null; write the keys between braces")

// jsonObject provides typed access to a JSON object. Reading an invalid key returns the zero value and records an
// error. The first error recorded in any object of a document is the document's error. Callers read all keys and
// then check err once.
type jsonObject struct {
	pathPrefix string // prefix of keys in error messages: empty, or ending in a dot
	fields     map[string]any
	firstError *error // first error of the document, shared by all its objects
}

// decodeObject decodes the top-level JSON object of a document. It returns an error only for malformed JSON or a text
// that is not an object; errors in the values of keys are recorded later, when the keys are read.
func decodeObject(text []byte) (jsonObject, error) {
	o := jsonObject{firstError: new(error)}
	err := json.Unmarshal(text, &o.fields)
	if err == nil && o.fields == nil { // json.Unmarshal decodes null to a nil map
		err = errNull
	}
	return o, err
}

// err returns the first error recorded in the document.
func (o jsonObject) err() error { return *o.firstError }

func (o jsonObject) has(key string) bool {
	_, ok := o.fields[key]
	return ok
}

// recordErrorf records an error for a key, unless the document already has an error.
func (o jsonObject) recordErrorf(key, format string, args ...any) {
	if *o.firstError == nil {
		*o.firstError = &SettingError{Key: o.pathPrefix + key, Problem: fmt.Sprintf(format, args...)}
	}
}

// required returns the value of a key that must be present.
func required[T any](o jsonObject, key string) T {
	value, present := o.fields[key]
	typed, ok := value.(T)
	switch {
	case ok:
	case present:
		o.recordErrorf(key, "is of the wrong type")
	default:
		o.recordErrorf(key, "is missing")
	}
	return typed
}

// optional returns the value of a key, or the zero value if the key is absent or null.
func optional[T any](o jsonObject, key string) T {
	value := o.fields[key]
	typed, ok := value.(T)
	if !ok && value != nil {
		o.recordErrorf(key, "is of the wrong type")
	}
	return typed
}

func (o jsonObject) requiredNumber(key string) float64 { return required[float64](o, key) }
func (o jsonObject) optionalNumber(key string) float64 { return optional[float64](o, key) }
func (o jsonObject) optionalBool(key string) bool      { return optional[bool](o, key) }
func (o jsonObject) optionalString(key string) string  { return optional[string](o, key) }

func (o jsonObject) requiredObject(key string) jsonObject {
	return jsonObject{
		pathPrefix: o.pathPrefix + key + ".",
		fields:     required[map[string]any](o, key),
		firstError: o.firstError,
	}
}

func (o jsonObject) optionalObject(key string) jsonObject {
	return jsonObject{
		pathPrefix: o.pathPrefix + key + ".",
		fields:     optional[map[string]any](o, key),
		firstError: o.firstError,
	}
}

// requiredRows returns the objects of a list. The list must be present.
func (o jsonObject) requiredRows(key string) []jsonObject {
	var rows []jsonObject
	for n, value := range required[[]any](o, key) {
		rowKey := fmt.Sprintf("%s[%d]", key, n)
		fields, ok := value.(map[string]any)
		if !ok {
			o.recordErrorf(rowKey, "is no object")
		}
		rows = append(rows, jsonObject{pathPrefix: o.pathPrefix + rowKey + ".", fields: fields, firstError: o.firstError})
	}
	return rows
}

func (o jsonObject) optionalStrings(key string) []string {
	var values []string
	for n, value := range optional[[]any](o, key) {
		text, ok := value.(string)
		if !ok {
			o.recordErrorf(fmt.Sprintf("%s[%d]", key, n), "is no text")
		}
		values = append(values, text)
	}
	return values
}

// positiveNumberOr returns a number, or defaultValue if the key is absent. A number that is present must be above 0.
func (o jsonObject) positiveNumberOr(key string, defaultValue float64) float64 {
	if !o.has(key) {
		return defaultValue
	}
	number := o.requiredNumber(key)
	if number <= 0 {
		o.recordErrorf(key, "is not above 0")
	}
	return number
}

// requiredMilliseconds returns the duration of a key that must be present and holds a number of milliseconds.
func (o jsonObject) requiredMilliseconds(key string) time.Duration {
	return DurationFromMilliseconds(o.requiredNumber(key))
}

// optionalMilliseconds returns the duration of a key that holds a number of milliseconds, or 0 if the key is absent.
func (o jsonObject) optionalMilliseconds(key string) time.Duration {
	return DurationFromMilliseconds(o.optionalNumber(key))
}

// positiveMillisecondsOr returns the duration of a key that holds a number of milliseconds, or defaultValue if the
// key is absent. A number that is present must be above 0.
func (o jsonObject) positiveMillisecondsOr(key string, defaultValue time.Duration) time.Duration {
	if !o.has(key) {
		return defaultValue
	}
	return DurationFromMilliseconds(o.positiveNumberOr(key, 0))
}

// requiredHexadecimal returns a 64-bit number that is written as a string of hexadecimal digits. The key must be
// present.
func (o jsonObject) requiredHexadecimal(key string) uint64 {
	number, err := strconv.ParseUint(required[string](o, key), 16, 64)
	if err != nil {
		o.recordErrorf(key, "is no hexadecimal number of 64 bits")
		return 0
	}
	return number
}

func (o jsonObject) requiredAddress(key string) string {
	return o.checkedAddress(key, required[string](o, key))
}

func (o jsonObject) optionalAddress(key string) string {
	return o.checkedAddress(key, optional[string](o, key))
}

// checkedAddress returns the address and records an error if it is neither empty nor a host and port.
func (o jsonObject) checkedAddress(key, address string) string {
	if address != "" && !isHostPort(address) {
		o.recordErrorf(key, "is %q, which is no host and port", address)
	}
	return address
}

// isHostPort reports whether an address has the form host:port. The host may be empty.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// enumValue converts the string value of a key by a table of the valid strings. An absent key counts as the empty
// string.
func enumValue[T any](o jsonObject, key string, valuesByName map[string]T) T {
	name := o.optionalString(key)
	value, ok := valuesByName[name]
	if !ok {
		o.recordErrorf(key, "is %q, which has no meaning", name)
	}
	return value
}

// maxMilliseconds is 1000 hours. No plausible setting exceeds it; larger values are reduced to it, so that the
// conversion to time.Duration does not overflow.
const maxMilliseconds = float64(1000 * time.Hour / time.Millisecond)

// DurationFromMilliseconds converts a number of milliseconds, the platform's unit of time, to a duration. The result
// is limited to the range from -1000 to 1000 hours.
func DurationFromMilliseconds(ms float64) time.Duration {
	bounded := min(max(ms, -maxMilliseconds), maxMilliseconds)
	return time.Duration(math.Round(bounded * float64(time.Millisecond)))
}

// maxCount limits counts, so that sums and products of a few counts do not overflow.
const maxCount = 1e9

// clampToCount rounds a number to a whole number and limits it to the range from 0 to maxCount. A negative count
// becomes 0 without an error. Code that reads a key for which 0 is invalid (send-cap, limits.sockets) has to check
// for 0 itself.
func clampToCount(number float64) int { return int(math.Round(min(max(number, 0), maxCount))) }
