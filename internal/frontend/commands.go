package frontend

import (
	"bytes"
	"fmt"
	"unicode"
)

// handleCommand starts a command.
func (c *connection) handleCommand(raw []byte, words [][]byte) {
	if bytes.ContainsFunc(words[0], unicode.IsLower) { // rare, and ToUpper allocates
		words[0] = bytes.ToUpper(words[0])
	}
	switch string(words[0]) {
	case "SVC.QUERY", "SVC.SUBMIT":
		c.handleRequest(raw, words)
	case "PING":
		c.answerPing()
	case "CLIENT", "SELECT":
		c.respondLine("+OK")
	default:
		c.respondInvalid(fmt.Sprintf("unknown command %.40q", words[0]))
	}
}
