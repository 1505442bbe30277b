package emulator

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

const smallScenario = `name = "small"
[backends]
count = 2
cores = 1
queue = 1
work = "5ms"
work_sigma = 0.0
[discovery]
delay = "1ms"
[[class]]
name = "calc"
idempotency = "idempotent"
latency_objective = "750ms"
[[plan]]
name = "despacho"
`

// startEmulator starts the emulated services of the small scenario and begins the log of its run.
func startEmulator(t *testing.T) *Emulator {
	t.Helper()
	s, err := scenario.Parse("small", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := s.EngineSettings(0)
	if err != nil {
		t.Fatal(err)
	}
	log := results.NewEventLog(results.New(s, settings, 0))
	e, err := Start(s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	log.Begin()
	return e
}

// client is a connection to an emulated service.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to an emulated service. It returns a failed connect as an error, because some tests expect one.
func dial(t *testing.T, address string) (*client, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() }) // fails if the service has closed the connection
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// roundTrip writes a text and returns the bytes of a single read, or an error if none arrive within 150 ms.
func (c *client) roundTrip(text string) (string, error) {
	if err := c.SetDeadline(time.Now().Add(150 * time.Millisecond)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	answer := make([]byte, 400)
	n, err := c.reader.Read(answer)
	return string(answer[:n]), err
}
