package frontend

import (
	"bytes"
	"fmt"
	"unicode"
)

// handleCommand starts a command. valid is false if the command was answered with an error because it is invalid.
func (c *connection) handleCommand(raw []byte, args [][]byte) (valid bool) {
	if bytes.ContainsFunc(args[0], unicode.IsLower) { // rare, and ToUpper allocates
		args[0] = bytes.ToUpper(args[0])
	}
	if isRequestName(args[0]) {
		return c.handleRequest(raw, args)
	}
	switch string(args[0]) {
	case "PING":
		c.answerPing()
	case "CLIENT", "SELECT":
		c.respondLine("+OK")
	default:
		c.respondInvalid(fmt.Sprintf("unknown command %.40q", args[0]))
		return false
	}
	return true
}

// isRequestName reports whether a command with the given name, in upper case, is a request.
func isRequestName(name []byte) bool {
	return string(name) == "SVC.QUERY" || string(name) == "SVC.SUBMIT"
}
