package store

import (
	"strings"

	"github.com/hashicorp/go-hclog"

	"fawnplank/internal/logging"
)

// newRaftLogger returns a logger that writes Raft's warnings and errors to the program's log, at debug level. A
// failed snapshot is therefore seen only at that level.
func newRaftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Warn,
		Output:      logWriter{},
		DisableTime: true,
	})
}

// logWriter writes each line as a log message. The lines are Raft's own words, which an operator seldom
// needs.
type logWriter struct{}

// Write logs one line.
func (logWriter) Write(line []byte) (int, error) {
	logging.For(logComponent).WithField("raft", strings.TrimSpace(string(line))).Debug("raft")
	return len(line), nil
}
