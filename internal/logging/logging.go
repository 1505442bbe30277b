// Package logging sets up the program's only log. It uses logrus and writes one line per entry to standard
// error, as text or as JSON. A message is a short constant phrase. What it is about is in fields with fixed
// names, which docs/runbook.md lists. Every entry names its component. Nothing is logged at info or above for
// each request, but for a request of a class or plan that the settings lack.
//
// Setup changes the process-wide log and is called before the goroutines that log are started. Everything
// else is safe for concurrent use.
package logging

import (
	"fmt"
	"io"
	"maps"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Keys of fields that several packages use. Operators filter by them and find them in
// docs/runbook.md, so a change here is a change there.
const (
	Component = "component" // the part of the program that writes the entry
	Instance  = "instance"  // the name of the instance
	Backend   = "backend"   // the name of a backend
	Address   = "address"   // host and port
	Error     = "error"     // logrus' own key for WithError
	Stack     = "stack"     // of the goroutine that panicked
)

// Keys of an entry's time and message in the JSON form.
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
	Output   io.Writer // if nil, standard error
	Level    string    // the lowest level that is written, as logrus names it (error, warning, info, ...); required
	Format   string    // text or json; required
	Instance string    // the name that every entry carries; if empty, none
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

// instanceFormatter adds the name of the instance to every entry.
type instanceFormatter struct {
	logrus.Formatter
	instance string
}

// Format formats a copy of the entry, because the entry itself may be shared between goroutines.
func (f instanceFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if f.instance == "" {
		return f.Formatter.Format(entry)
	}
	named := *entry
	named.Data = make(logrus.Fields, len(entry.Data)+1)
	maps.Copy(named.Data, entry.Data)
	named.Data[Instance] = f.instance
	return f.Formatter.Format(&named)
}

// For returns the log of a component.
func For(component string) *logrus.Entry { return logrus.WithField(Component, component) }

// LogPanic logs a recovered panic with the stack of its goroutine.
func LogPanic(component string, reason any, stack []byte) {
	For(component).WithFields(logrus.Fields{Error: fmt.Sprint(reason), Stack: string(stack)}).Error("panic")
}
