package store

import (
	"strings"

	"github.com/hashicorp/go-hclog"

	"fawnplank/internal/logging"
)

// newRaftLogger returns a logger that writes Raft's warnings and errors to the program's log, at debug level. A
// failed snapshot is therefore logged only at debug level.
func newRaftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Warn,
		Output:      raftLogWriter{},
		DisableTime: true,
	})
}

// raftLogWriter writes each line of Raft's log as a debug message, because operators seldom need Raft's messages.
type raftLogWriter struct{}

// Write logs one line.
func (raftLogWriter) Write(line []byte) (int, error) {
	logging.For(logComponent).WithField("raft", strings.TrimSpace(string(line))).Debug("raft")
	return len(line), nil
}
