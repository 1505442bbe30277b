package frontend

import (
	"bytes"
	"fmt"
	"unicode"
)

// handleCommand starts a command. valid is false if the command was answered with an error because it is invalid.
func (c *connection) handleCommand(raw []byte, words [][]byte) (valid bool) {
	if bytes.ContainsFunc(words[0], unicode.IsLower) { // rare, and ToUpper allocates
		words[0] = bytes.ToUpper(words[0])
	}
	switch string(words[0]) {
	case "SVC.QUERY", "SVC.SUBMIT":
		return c.handleRequest(raw, words)
	case "PING":
		c.answerPing()
	case "CLIENT", "SELECT":
		c.respondLine("+OK")
	default:
		c.respondInvalid(fmt.Sprintf("unknown command %.40q", words[0]))
		return false
	}
	return true
}
