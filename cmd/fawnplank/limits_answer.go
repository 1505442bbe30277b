package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxBulkBytes and maxArrayLength bound the lengths that an answer may announce. They are checked before memory is
// allocated.
const (
	maxBulkBytes   = 1 << 20
	maxArrayLength = 1 << 16
)

// The first byte of an answer in RESP determines its type.
const (
	respError      = '-'
	respBulkString = '$'
	respArray      = '*'
)

// readAnswer reads one answer in RESP and returns it as text. Simple values are returned unchanged. The values of an
// array are separated by spaces or, if one of the values contains a space, by line breaks; a nested array of several
// values contains spaces. An error answer is returned as an error. A null is an error too, because no limit command
// answers with null.
func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("answer is incomplete: %w", err)
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", errors.New("no answer in RESP: empty line")
	}
	switch line[0] {
	case respError:
		return "", errors.New(line[1:])
	case respBulkString:
		return readBulk(reader, line)
	case respArray:
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
		return "", fmt.Errorf("answer is incomplete: %w", err)
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

// parseLength parses the length of a bulk string or an array in a line that begins with the type byte.
func parseLength(line string, maxLength int) (int, error) {
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > maxLength {
		return 0, fmt.Errorf("no answer in RESP: %.40q", line)
	}
	return length, nil
}
