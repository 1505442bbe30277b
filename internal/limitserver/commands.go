package limitserver

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strings"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
)

// maxWordBytes is how many bytes of a command's first word are considered: more than any command has, and few
// enough to repeat in an error.
const maxWordBytes = 32

var (
	errArity = errors.New("wrong number of arguments")
	errKey   = errors.New("key or secret is wrong")
)

// batch is a pipeline of commands being answered. Consecutive checks wait for the counter together; any other
// command sees the effects of the commands before it.
type batch struct {
	server   *Server
	settings *Settings
	rights   authz.Right // of the connection; AUTH changes them
	answers  []byte
	checks   []check // in progress, in order
}

// run returns the answers to commands, in order. quit is true if the connection must end. rights points to
// the rights of the connection, which run reads and updates.
func (s *Server) run(commands []redcon.Command, rights *authz.Right) (answers []byte, quit bool) {
	b := batch{server: s, settings: s.settings.Load(), rights: *rights}
	defer func() { *rights = b.rights }()
	for _, command := range commands {
		if b.answer(command) {
			return b.answers, true
		}
	}
	b.finishChecks()
	return b.answers, false
}

// answer answers a command, or starts it if it is a check. It returns whether the connection must end.
func (b *batch) answer(command redcon.Command) (quit bool) {
	word := commandWord(command)
	if !b.mayRun(word) {
		b.finishChecks()
		b.refuse(word)
		return false
	}
	if word == "LIMIT.CHECK" || word == "CL.THROTTLE" {
		b.startCheck(word, command.Args[1:])
		return false
	}
	b.finishChecks()
	switch word {
	case "PING":
		b.answers = redcon.AppendString(b.answers, "PONG")
	case "QUIT":
		b.answers = redcon.AppendOK(b.answers)
		return true
	case "COMMAND": // common clients send it at once, and accept an empty list
		b.answers = redcon.AppendArray(b.answers, 0)
	case "LIMIT.PEEK":
		b.peek(command.Args[1:])
	case "AUTH":
		b.authenticate(command.Args[1:])
	default:
		b.answerOther(word, command.Args)
	}
	return false
}

// commandWord returns a command's first word, in upper case and cut to maxWordBytes, or an empty string if
// there is none.
func commandWord(command redcon.Command) string {
	if len(command.Args) == 0 {
		return ""
	}
	first := command.Args[0]
	return strings.ToUpper(string(first[:min(len(first), maxWordBytes)]))
}

// mayRun reports whether the connection's rights allow a command. If the server has no accounts, it allows
// commands on accounts, which are then answered as unknown commands for every client.
func (b *batch) mayRun(word string) bool {
	if requiredRight(word)&^b.rights == 0 {
		return true
	}
	_, onAccounts := accountCommands[word]
	return onAccounts && b.server.accounts == nil
}

// requiredRight returns the right that a command requires; 0 means none.
func requiredRight(word string) authz.Right {
	switch {
	case word == "LIMIT.CHECK" || word == "LIMIT.PEEK" || word == "CL.THROTTLE":
		return authz.Check
	case strings.HasSuffix(word, ".LIST") || word == "RESERVE.ROOM":
		return authz.Read
	case strings.HasPrefix(word, "RESERVE."):
		return authz.Reserve
	case strings.HasPrefix(word, "PLAN."):
		return authz.Change
	}
	return 0
}

// refuse answers a command that the connection's rights do not allow.
func (b *batch) refuse(word string) {
	b.server.failed.Add(1)
	b.answers = redcon.AppendError(b.answers,
		"NOPERM this connection has no key (AUTH name secret) that may "+strings.ToLower(word))
}

// authenticate sets the connection's rights to those of a key, or to none if the key or secret is wrong.
func (b *batch) authenticate(args [][]byte) {
	rights, err := b.server.keyRights(args)
	b.rights = rights
	if err != nil {
		b.fail("AUTH", err)
		return
	}
	b.answers = redcon.AppendOK(b.answers)
}

// keyRights returns the rights of the key whose name and secret are given in args.
func (s *Server) keyRights(args [][]byte) (authz.Right, error) {
	if len(args) != 2 {
		return 0, errArity
	}
	key, ok := s.keys[string(args[0])]
	// Compare hashes, which have the same length whatever the client sends, so that the time of the comparison
	// reveals nothing about the secret.
	shown := sha256.Sum256(args[1])
	own := sha256.Sum256(key.Secret)
	if subtle.ConstantTimeCompare(shown[:], own[:]) != 1 || !ok {
		return 0, errKey
	}
	return key.Rights, nil
}

// answerOther answers a command on accounts, or an unknown command.
func (b *batch) answerOther(word string, args [][]byte) {
	command, ok := accountCommands[word]
	if !ok || b.server.accounts == nil {
		b.fail("", fmt.Errorf("unknown command '%.32s'", printable(word)))
		return
	}
	if len(args)-1 != command.arguments {
		b.fail(word, errArity)
		return
	}
	answers, err := command.run(b.server.accounts, b.answers, args[1:])
	if err != nil {
		b.fail(word, errors.New(printable(err.Error())))
		return
	}
	b.answers = answers
}

// fail answers a command with an error, and counts the failure.
func (b *batch) fail(word string, err error) {
	b.server.failed.Add(1)
	if errors.Is(err, errArity) {
		err = fmt.Errorf("%w for '%s'", err, strings.ToLower(word))
	}
	b.answers = redcon.AppendError(b.answers, "ERR "+err.Error())
}

// printable returns text with everything but printable ASCII replaced, so that it fits into the single line
// of an error.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}
