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

// The names of the commands on limits.
const (
	checkCommand    = "LIMIT.CHECK"
	peekCommand     = "LIMIT.PEEK"
	throttleCommand = "CL.THROTTLE"
)

const (
	// maxNameBytes is how many bytes of a command's name are considered: more than any command has, and few
	// enough to repeat in an error.
	maxNameBytes = 32
	// authArguments is the number of arguments of AUTH: name and secret.
	authArguments = 2
)

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

// run returns the answers to commands, in order, for a connection with the given rights. newRights are its rights
// after the commands. quit is true if the connection must end.
func (s *Server) run(
	commands []redcon.Command, rights authz.Right,
) (answers []byte, newRights authz.Right, quit bool) {
	b := batch{server: s, settings: s.settings.Load(), rights: rights}
	for _, command := range commands {
		if b.answer(command) {
			return b.answers, b.rights, true
		}
	}
	b.finishChecks()
	return b.answers, b.rights, false
}

// answer answers a command, or starts it if it is a check. It returns whether the connection must end.
func (b *batch) answer(command redcon.Command) (quit bool) {
	name := commandName(command)
	if !b.mayRun(name) {
		b.finishChecks()
		b.refuse(name)
		return false
	}
	if name == checkCommand || name == throttleCommand {
		b.startCheck(name, command.Args[1:])
		return false
	}
	b.finishChecks()
	switch name {
	case "PING":
		b.answers = redcon.AppendString(b.answers, "PONG")
	case "QUIT":
		b.answers = redcon.AppendOK(b.answers)
		return true
	case "COMMAND": // common clients send it at once, and accept an empty list
		b.answers = redcon.AppendArray(b.answers, 0)
	case peekCommand:
		b.peek(command.Args[1:])
	case "AUTH":
		b.authenticate(command.Args[1:])
	default:
		b.answerOther(name, command.Args)
	}
	return false
}

// commandName returns a command's name, in upper case and cut to maxNameBytes, or an empty string if there is
// none.
func commandName(command redcon.Command) string {
	if len(command.Args) == 0 {
		return ""
	}
	first := command.Args[0]
	return strings.ToUpper(string(first[:min(len(first), maxNameBytes)]))
}

// mayRun reports whether the connection's rights allow a command. If the server has no accounts, it allows
// commands on accounts, which are then answered as unknown commands for every client.
func (b *batch) mayRun(name string) bool {
	if requiredRight(name)&^b.rights == 0 {
		return true
	}
	_, onAccounts := accountCommands[name]
	return onAccounts && b.server.accounts == nil
}

// requiredRight returns the right that a command requires; 0 means none. It goes by patterns of names and does not
// look into accountCommands: the name of a new command decides which right it requires.
func requiredRight(name string) authz.Right {
	switch {
	case name == checkCommand || name == peekCommand || name == throttleCommand:
		return authz.Check
	case strings.HasSuffix(name, ".LIST") || name == "RESERVE.ROOM":
		return authz.Read
	case strings.HasPrefix(name, "RESERVE."):
		return authz.Reserve
	case strings.HasPrefix(name, "PLAN."):
		return authz.Change
	}
	return 0
}

// refuse answers a command that the connection's rights do not allow.
func (b *batch) refuse(name string) {
	b.server.failed.Add(1)
	b.answers = redcon.AppendError(b.answers,
		"NOPERM this connection has no key (AUTH name secret) that may "+strings.ToLower(name))
}

// authenticate sets the connection's rights to those of a key, or to none if AUTH fails in any way.
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
	if len(args) != authArguments {
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
func (b *batch) answerOther(name string, args [][]byte) {
	command, ok := accountCommands[name]
	if !ok || b.server.accounts == nil {
		b.fail("", fmt.Errorf("unknown command '%.32s'", printable(name)))
		return
	}
	if len(args)-1 != command.arguments {
		b.fail(name, errArity)
		return
	}
	answers, err := command.run(b.server.accounts, b.answers, args[1:])
	if err != nil {
		b.fail(name, errors.New(printable(err.Error())))
		return
	}
	b.answers = answers
}

// fail answers a command with an error, and counts the failure.
func (b *batch) fail(name string, err error) {
	b.server.failed.Add(1)
	if errors.Is(err, errArity) {
		err = fmt.Errorf("%w for '%s'", err, strings.ToLower(name))
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
