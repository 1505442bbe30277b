package load

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
)

// maxAnswerBytes bounds the length of an answer that is read, because a faulty instance can announce any length.
const maxAnswerBytes = 8 << 20

// isIdempotent reports whether the class of a request is idempotent.
func (g *Generator) isIdempotent(request workload.Request) bool {
	return g.scenario.Classes[request.Class].IsIdempotent()
}

// formatCommand encodes a submission in the gateway's protocol: verb, tenant, ID and header.
func (g *Generator) formatCommand(s submission) string {
	verb := "SVC.SUBMIT"
	if g.isIdempotent(s.request) {
		verb = "SVC.QUERY"
	}
	header := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d",
		g.scenario.Classes[s.request.Class].Name,
		g.scenario.Plans[s.request.Plan].Name,
		max(s.remaining.Milliseconds(), 1),
		strconv.FormatFloat(s.request.Units, 'f', -1, 64),
		g.scenario.Load.EntryPoints,
		g.workload.Tenants[s.request.Tenant].FirstInstance)
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n",
		len(verb), verb, s.request.Tenant+1, uint64(s.id), len(header), header)
}

// readAnswer reads one complete RESP2 answer. It returns a bulk string as "$" followed by its value, and any other
// answer as its line without the line end. A null, or a bulk string with an invalid length, is also returned as its
// line.
func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	simple := strings.TrimRight(line, "\r\n")
	if line[0] != '$' {
		return simple, nil
	}
	length, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || length < 0 || length > maxAnswerBytes {
		return simple, nil // parseOutcome treats this line as an abort
	}
	value := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(reader, value); err != nil {
		return "", err
	}
	return "$" + string(value[:length]), nil
}

// parseOutcome returns the outcome that an answer reports to the client.
func parseOutcome(answer string) outcome {
	if strings.HasPrefix(answer, "$") && answer != "$-1" {
		return outcome{kind: invariants.Succeeded, sent: true}
	}
	words := strings.Fields(answer)
	if len(words) == 0 || words[0] != "-BUSY" {
		return outcome{kind: invariants.Aborted, sent: true}
	}
	result := outcome{kind: invariants.Rejected, sent: true}
	if len(words) > 1 {
		millis, _ := strconv.ParseInt(words[1], 10, 64) // 0, no Retry-After, if the text is not a number
		result.retryAfter = time.Duration(millis) * time.Millisecond
	}
	return result
}
