package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// encodeCommand returns a command in RESP.
func encodeCommand(words ...string) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(out.String())
}

// readCommand reads a command in RESP.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for n := range words {
		if words[n], err = readBulk(reader); err != nil {
			return nil, err
		}
	}
	return words, nil
}

func readLength(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(line[1:])
}

func readBulk(reader *bufio.Reader) (string, error) {
	length, err := readLength(reader, '$')
	if err != nil || length < 0 {
		return "", err
	}
	text := make([]byte, length+2)
	if _, err := io.ReadFull(reader, text); err != nil {
		return "", err
	}
	return string(text[:length]), nil
}

// readReply reads one reply in RESP. The values of an array stand in brackets.
func readReply(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", fmt.Errorf("empty reply")
	}
	length, _ := strconv.Atoi(line[1:])
	switch line[0] {
	case '$':
		if length < 0 {
			return "null", nil
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return "", err
		}
		return string(text[:length]), nil
	case '*':
		var values []string
		for range length {
			value, err := readReply(reader)
			if err != nil {
				return "", err
			}
			values = append(values, value)
		}
		return "[" + strings.Join(values, " ") + "]", nil
	case ':':
		return line[1:], nil
	}
	return line, nil
}

// client is a connection that speaks RESP.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// call sends a command and returns its reply; an error line is a reply.
func (c *client) call(limit time.Duration, words ...string) (string, error) {
	c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write(encodeCommand(words...)); err != nil {
		return "", err
	}
	return readReply(c.reader)
}
