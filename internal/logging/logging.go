// Package logging sets up the process-wide log. It uses logrus and writes one line per entry, by default to standard
// error, as text or as JSON. The message of an entry is a short constant phrase, and the variable parts are in fields
// whose keys docs/runbook.md lists. Every entry has the field component. Nothing is logged per request at level info or
// above, except for a request of a class or plan that is not in the settings.
//
// Setup must be called before the goroutines that log are started. Everything else is safe for concurrent use.
package logging

import (
	"fmt"
	"io"
	"maps"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Keys of fields that several packages use. Operators filter log entries by them. docs/runbook.md lists the keys and
// must be updated with them.
const (
	Component = "component" // the part of the program that writes the entry
	Instance  = "instance"  // the name of the instance
	Backend   = "backend"   // the name of a backend
	Address   = "address"   // host and port
	Error     = "error"     // the key that logrus' WithError uses
	Stack     = "stack"     // the stack of the goroutine that panicked
)

// Keys of an entry's time and message in the JSON format.
const (
	timeKey    = "time"
	messageKey = "event"
)

// The formats of an entry.
const (
	formatText = "text"
	formatJSON = "json"
)

// Options configures how the log is written.
type Options struct {
	Output   io.Writer // nil means standard error
	Level    string    // the least severe level that is written, by its logrus name (error, warning, info, ...); required
	Format   string    // text or json; required
	Instance string    // the value of the field instance in every entry; no such field if empty
}

// Setup configures the process-wide log. It returns an error, and leaves the log unchanged, if the level or the
// format is unknown.
func Setup(o Options) error {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	formatter, err := newFormatter(o.Format)
	if err != nil {
		return err
	}
	if o.Output == nil {
		o.Output = os.Stderr
	}
	logrus.SetOutput(o.Output)
	logrus.SetLevel(level)
	logrus.SetFormatter(instanceFormatter{Formatter: formatter, instance: o.Instance})
	return nil
}

func newFormatter(format string) (logrus.Formatter, error) {
	switch format {
	case formatJSON:
		return &logrus.JSONFormatter{
			TimestampFormat: time.RFC3339Nano,
			FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: timeKey, logrus.FieldKeyMsg: messageKey},
		}, nil
	case formatText:
		return &logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: time.RFC3339Nano,
		}, nil
	default:
		return nil, fmt.Errorf("log format %q is not text or json", format)
	}
}

// instanceFormatter adds the field instance to every entry, unless the name of the instance is empty.
type instanceFormatter struct {
	logrus.Formatter
	instance string
}

// Format formats a copy of the entry, because the entry itself may be shared between goroutines.
func (f instanceFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if f.instance == "" {
		return f.Formatter.Format(entry)
	}
	entryCopy := *entry
	entryCopy.Data = make(logrus.Fields, len(entry.Data)+1)
	maps.Copy(entryCopy.Data, entry.Data)
	entryCopy.Data[Instance] = f.instance
	return f.Formatter.Format(&entryCopy)
}

// For returns a log entry with the field component, through which the component logs.
func For(component string) *logrus.Entry { return logrus.WithField(Component, component) }

// LogPanic logs a recovered panic with the stack of its goroutine.
func LogPanic(component string, reason any, stack []byte) {
	For(component).WithFields(logrus.Fields{Error: fmt.Sprint(reason), Stack: string(stack)}).Error("panic")
}
