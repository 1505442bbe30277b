package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/tlsconfig"
)

const (
	limitsConnectTimeout = 5 * time.Second
	// limitsCallTimeout bounds the authentication and the command together. It allows for commands that wait for a
	// write to the store.
	limitsCallTimeout = 15 * time.Second
)

// limitsClient sends commands to a limits address. Each command uses a new connection.
type limitsClient struct {
	address    string
	keyName    string // if empty, the client does not authenticate
	secretFile string
	tls        tlsconfig.Files
}

// call sends one command and returns its answer as text. It authenticates first if the client has a key.
func (c limitsClient) call(ctx context.Context, arguments []string) (string, error) {
	secret, err := c.readSecret()
	if err != nil {
		return "", err
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = conn.Close() // the answer has been read, or another error is returned
	}()
	if err := conn.SetDeadline(time.Now().Add(limitsCallTimeout)); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	if c.keyName != "" {
		if _, err := sendCommand(conn, reader, []string{"AUTH", c.keyName, secret}); err != nil {
			return "", err
		}
	}
	return sendCommand(conn, reader, arguments)
}

func (c limitsClient) readSecret() (string, error) {
	if c.keyName == "" {
		return "", nil
	}
	secret, err := os.ReadFile(c.secretFile)
	if err != nil {
		return "", fmt.Errorf("--secret-file, which --key requires: %w", err)
	}
	return strings.TrimSpace(string(secret)), nil
}

func (c limitsClient) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limitsConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("no gateway serves limit commands at %s; name the limits address of one that runs "+
			"(limits.listen of its operator file) with --at: %w", c.address, err)
	}
	if err != nil {
		return nil, fmt.Errorf("limits address (--at): %w", err)
	}
	if !c.tls.Enabled() {
		return conn, nil
	}
	source, err := tlsconfig.New(c.tls)
	if err != nil {
		_ = conn.Close() // nothing has been sent
		return nil, err
	}
	return tls.Client(conn, source.ClientConfig()), nil
}

// sendCommand sends one command and reads its answer.
func sendCommand(conn net.Conn, reader *bufio.Reader, arguments []string) (string, error) {
	command := redcon.AppendArray(nil, len(arguments))
	for _, argument := range arguments {
		command = redcon.AppendBulkString(command, argument)
	}
	if _, err := conn.Write(command); err != nil {
		return "", err
	}
	return readAnswer(reader)
}
