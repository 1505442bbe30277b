package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/tlsconfig"
)

const (
	limitsConnectTimeout = 5 * time.Second
	// limitsCallTimeout bounds authentication and command together. A command that writes to the store also
	// waits for the store.
	limitsCallTimeout = 15 * time.Second
	// maxBulkBytes and maxArrayLength bound the lengths that an answer may claim, before memory is allocated for
	// them.
	maxBulkBytes   = 1 << 20
	maxArrayLength = 1 << 16
)

// limitsClient sends commands to a limits address, each on its own connection.
type limitsClient struct {
	address    string
	keyName    string // if empty, the client does not authenticate
	secretFile string
	tls        tlsconfig.Files
}

// call authenticates if a key is named, sends one command, and returns its answer as text.
func (c limitsClient) call(ctx context.Context, words []string) (string, error) {
	secret, err := c.readSecret()
	if err != nil {
		return "", err
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = conn.Close() // the answer has been read, or the error is already reported
	}()
	if err := conn.SetDeadline(time.Now().Add(limitsCallTimeout)); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	if c.keyName != "" {
		if _, err := exchange(conn, reader, []string{"AUTH", c.keyName, secret}); err != nil {
			return "", err
		}
	}
	return exchange(conn, reader, words)
}

func (c limitsClient) readSecret() (string, error) {
	if c.keyName == "" {
		return "", nil
	}
	secret, err := os.ReadFile(c.secretFile)
	if err != nil {
		return "", fmt.Errorf("--secret-file, which --key needs: %w", err)
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

// exchange sends one command and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, words []string) (string, error) {
	command := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		command = redcon.AppendBulkString(command, word)
	}
	if _, err := conn.Write(command); err != nil {
		return "", err
	}
	return readAnswer(reader)
}

// readAnswer reads one answer in RESP and returns it as text. Simple values are returned unchanged, the
// values of an array are separated by spaces, and each array within an array gets its own line. An error
// answer is returned as an error.
func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("no whole answer: %w", err)
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", errors.New("no answer in RESP")
	}
	switch line[0] {
	case '-':
		return "", errors.New(line[1:])
	case '$':
		return readBulk(reader, line)
	case '*':
		return readArray(reader, line)
	}
	return line[1:], nil
}

func readBulk(reader *bufio.Reader, line string) (string, error) {
	length, err := parseLength(line, maxBulkBytes)
	if err != nil {
		return "", err
	}
	text := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(reader, text); err != nil {
		return "", fmt.Errorf("no whole answer: %w", err)
	}
	return string(text[:length]), nil
}

func readArray(reader *bufio.Reader, line string) (string, error) {
	length, err := parseLength(line, maxArrayLength)
	if err != nil {
		return "", err
	}
	var values []string
	separator := " "
	for range length {
		value, err := readAnswer(reader)
		if err != nil {
			return "", err
		}
		if strings.Contains(value, " ") {
			separator = "\n"
		}
		values = append(values, value)
	}
	return strings.Join(values, separator), nil
}

// parseLength parses the length of a bulk string or an array, which follows the type byte.
func parseLength(line string, maxLength int) (int, error) {
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > maxLength {
		return 0, fmt.Errorf("no answer in RESP: %.40q", line)
	}
	return length, nil
}
