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

// SettingError is a fault of one key of the platform's configuration or settings. The problem says what the
// key may hold, and therefore also what to do.
type SettingError struct {
	Key     string // with its path, as in settings.lanes[0].deadline-ms
	Problem string // completes a sentence that begins with the key: "is not above 0"
}

// Error returns the message that operators get. It begins with "settings: " for every key, also for those outside
// the settings, such as limits.sockets: operators know the text, and a golden file of the command "check" holds it.
func (e *SettingError) Error() string { return "settings: " + e.Key + " " + e.Problem }

// errNull is the fault of a document that is just null.
var errNull = errors.New("it is null; write the keys between braces")

// object gives typed access to a JSON object. Reading a faulty key returns the zero value and records the
// fault. The first fault recorded in any object of a document is the document's error. Callers read
// everything they need and then check err once.
type object struct {
	path   string // prefix of keys in messages: empty, or ending in a point
	fields map[string]any
	fault  *error // the first fault of the document, shared by its objects
}

// decodeObject decodes a JSON object that is the top of a document. The error concerns only the text itself.
func decodeObject(text []byte) (object, error) {
	o := object{fault: new(error)}
	err := json.Unmarshal(text, &o.fields)
	if err == nil && o.fields == nil { // what null leaves
		err = errNull
	}
	return o, err
}

// err returns the first fault of the document.
func (o object) err() error { return *o.fault }

func (o object) has(key string) bool {
	_, ok := o.fields[key]
	return ok
}

// failf records a fault of a key, unless the document already has a fault.
func (o object) failf(key, format string, args ...any) {
	if *o.fault == nil {
		*o.fault = &SettingError{Key: o.path + key, Problem: fmt.Sprintf(format, args...)}
	}
}

// required returns the value of a key that must be present.
func required[T any](o object, key string) T {
	value, present := o.fields[key]
	typed, ok := value.(T)
	switch {
	case ok:
	case present:
		o.failf(key, "is of the wrong type")
	default:
		o.failf(key, "is missing")
	}
	return typed
}

// optional returns the value of a key, or the zero value if the key is absent or null.
func optional[T any](o object, key string) T {
	value := o.fields[key]
	typed, ok := value.(T)
	if !ok && value != nil {
		o.failf(key, "is of the wrong type")
	}
	return typed
}

func (o object) requiredNumber(key string) float64 { return required[float64](o, key) }
func (o object) optionalNumber(key string) float64 { return optional[float64](o, key) }
func (o object) optionalBool(key string) bool      { return optional[bool](o, key) }
func (o object) optionalString(key string) string  { return optional[string](o, key) }

func (o object) requiredObject(key string) object {
	return object{path: o.path + key + ".", fields: required[map[string]any](o, key), fault: o.fault}
}

func (o object) optionalObject(key string) object {
	return object{path: o.path + key + ".", fields: optional[map[string]any](o, key), fault: o.fault}
}

// requiredRows returns the objects of a list that must be present.
func (o object) requiredRows(key string) []object {
	var rows []object
	for n, value := range required[[]any](o, key) {
		place := fmt.Sprintf("%s[%d]", key, n)
		fields, ok := value.(map[string]any)
		if !ok {
			o.failf(place, "is no object")
		}
		rows = append(rows, object{path: o.path + place + ".", fields: fields, fault: o.fault})
	}
	return rows
}

func (o object) optionalStrings(key string) []string {
	var all []string
	for n, value := range optional[[]any](o, key) {
		text, ok := value.(string)
		if !ok {
			o.failf(fmt.Sprintf("%s[%d]", key, n), "is no text")
		}
		all = append(all, text)
	}
	return all
}

// positiveOr returns a number, or fallback if the key is absent. A number that is present must be above 0.
func (o object) positiveOr(key string, fallback float64) float64 {
	if !o.has(key) {
		return fallback
	}
	number := o.requiredNumber(key)
	if number <= 0 {
		o.failf(key, "is not above 0")
	}
	return number
}

// requiredMilliseconds returns the time of a key that must be present, which it reads as milliseconds.
func (o object) requiredMilliseconds(key string) time.Duration {
	return DurationFromMilliseconds(o.requiredNumber(key))
}

// optionalMilliseconds returns the time of a key, which is in milliseconds, or 0 if the key is absent.
func (o object) optionalMilliseconds(key string) time.Duration {
	return DurationFromMilliseconds(o.optionalNumber(key))
}

// positiveMillisecondsOr returns a time in milliseconds, or fallback if the key is absent. A time that is present
// must be above 0.
func (o object) positiveMillisecondsOr(key string, fallback time.Duration) time.Duration {
	if !o.has(key) {
		return fallback
	}
	return DurationFromMilliseconds(o.positiveOr(key, 0))
}

// hexadecimal returns a 64-bit number, which must be present as hexadecimal digits.
func (o object) hexadecimal(key string) uint64 {
	number, err := strconv.ParseUint(required[string](o, key), 16, 64)
	if err != nil {
		o.failf(key, "is no hexadecimal number of 64 bits")
		return 0
	}
	return number
}

func (o object) requiredAddress(key string) string {
	return o.checkedAddress(key, required[string](o, key))
}

func (o object) optionalAddress(key string) string {
	return o.checkedAddress(key, optional[string](o, key))
}

// checkedAddress checks that an address, unless it is empty, is a host and port to listen on or to connect
// to.
func (o object) checkedAddress(key, address string) string {
	if address != "" && !isHostPort(address) {
		o.failf(key, "is %q, which is no host and port", address)
	}
	return address
}

// isHostPort reports whether an address has a port; the host may be left out.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// oneOf translates a word from a set of words. An absent key counts as the empty word.
func oneOf[T any](o object, key string, words map[string]T) T {
	word := o.optionalString(key)
	value, ok := words[word]
	if !ok {
		o.failf(key, "is %q, which has no meaning", word)
	}
	return value
}

// maxMilliseconds is a thousand hours. Only absurd figures exceed it, and they must not overflow.
const maxMilliseconds = float64(1000 * time.Hour / time.Millisecond)

// DurationFromMilliseconds converts milliseconds, in which the platform writes times, into a duration. It saturates at a
// thousand hours in either direction.
func DurationFromMilliseconds(ms float64) time.Duration {
	bounded := min(max(ms, -maxMilliseconds), maxMilliseconds)
	return time.Duration(math.Round(bounded * float64(time.Millisecond)))
}

// maxCount bounds counts, so that sums and products of a few of them do not overflow.
const maxCount = 1e9

// clampToCount rounds a number to a whole number from 0 to maxCount. A negative count so becomes 0 without an error;
// a key for which 0 is no value is checked by its reader (send-cap, limits.sockets).
func clampToCount(number float64) int { return int(math.Round(min(max(number, 0), maxCount))) }
