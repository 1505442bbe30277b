// Package logs sets up the program's one log: logrus, an entry a line on standard error, as text or as JSON, with
// fields in place of sentences. Every entry names its component; what it is about stands in fields of fixed names
// (docs/oncall.md lists them). Nothing is logged at info or above for each transaction.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// The names of fields, the same everywhere.
const (
	Component = "component"
	Instance  = "door"
	Backend   = "backend"
	Request   = "transaction"
	Outcome   = "outcome"
	Address   = "address"
	Error     = "error" // logrus' own name for WithError
	Stack     = "stack"
)

// Setup sets the least level (error, warning, info, debug) and the format (text, json) of the log, where it goes,
// and the door's name, which every entry carries once it is known.
func Setup(out io.Writer, level, format, door string) error {
	least, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	var form logrus.Formatter
	switch format {
	case "json":
		form = &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano,
			FieldMap: logrus.FieldMap{logrus.FieldKeyTime: "time", logrus.FieldKeyMsg: "event"}}
	case "text":
		form = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano}
	default:
		return fmt.Errorf("log format %q is not text or json", format)
	}
	logrus.SetOutput(out)
	logrus.SetLevel(least)
	logrus.SetFormatter(named{form, door})
	return nil
}

// named adds the door's name to every entry.
type named struct {
	logrus.Formatter
	door string
}

func (n named) Format(e *logrus.Entry) ([]byte, error) {
	if n.door != "" {
		data := make(logrus.Fields, len(e.Data)+1)
		for k, v := range e.Data {
			data[k] = v
		}
		data[Instance] = n.door
		c := *e
		c.Data = data
		e = &c
	}
	return n.Formatter.Format(e)
}

// For is the log of a component.
func For(component string) *logrus.Entry { return logrus.WithField(Component, component) }

// Panicked logs a panic that was stopped, with where it came from.
func Panicked(component string, what any, stack []byte) {
	For(component).WithFields(logrus.Fields{Error: fmt.Sprint(what), Stack: string(stack)}).Error("panic")
}
