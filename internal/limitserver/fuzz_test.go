package limitserver

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/counter"
)

// FuzzCommands checks that each command gets exactly one complete RESP answer, whatever its arguments are.
func FuzzCommands(f *testing.F) {
	g := startGateway(f, counter.Text)
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add(encodeCommand("LIMIT.CHECK", tenant, "despacho", "1"))
	f.Add(append(encodeCommand("LIMIT.PEEK", tenant, "despacho"), encodeCommand("CL.THROTTLE", tenant, "open")...))
	f.Add([]byte("PING\r\nLIMIT.CHECK a b c\r\n"))
	f.Add([]byte("*0\r\n*-1\r\n$5\r\n"))
	f.Add(encodeCommand("LIMIT.CHECK", tenant, "despacho", "0x1p-3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		commands := readCommands(text, 20)
		quitIndex := slices.IndexFunc(commands, func(c redcon.Command) bool {
			return len(c.Args) > 0 && strings.EqualFold(string(c.Args[0]), "QUIT")
		})
		want := len(commands)
		if quitIndex >= 0 {
			want = quitIndex + 1
		}
		answers, _, quit := g.server.run(commands, authz.Check)
		count := 0
		for len(answers) > 0 {
			n, _ := redcon.ReadNextRESP(answers)
			if n == 0 {
				t.Fatalf("%q: no complete RESP value in %q", text, answers)
			}
			answers = answers[n:]
			count++
		}
		if count != want || quit != (quitIndex >= 0) {
			t.Fatalf("%q: %d answers to %d commands, or wrong result for QUIT", text, count, want)
		}
	})
}

// readCommands reads commands up to the first that cannot be parsed, and at most limit commands.
func readCommands(text []byte, limit int) (commands []redcon.Command) {
	reader := redcon.NewReader(bytes.NewReader(text))
	for len(commands) < limit {
		command, err := reader.ReadCommand()
		if err != nil {
			break
		}
		commands = append(commands, command)
	}
	return commands
}
