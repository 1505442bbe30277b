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
	// maxCommandNameBytes is the length to which the name of a received command is truncated: more bytes than the
	// name of any known command has, and few enough to repeat in an error.
	maxCommandNameBytes = 32
	// authArgumentCount is the number of arguments of AUTH, which are name and secret.
	authArgumentCount = 2
)

var (
	errArgumentCount      = errors.New("wrong number of arguments")
	errInvalidCredentials = errors.New("key or secret is wrong")
)

// batch is a pipeline of commands that is being answered. Consecutive checks wait for the counter concurrently. Any
// other command runs after all checks before it have finished, so its answer reflects their effects.
type batch struct {
	server        *Server
	settings      *Settings
	rights        authz.Right // the connection's rights, which AUTH replaces
	answers       []byte
	pendingChecks []pendingCheck // in the order of their commands
}

// run returns the answers to commands, in order, for a connection with the given rights. newRights are the rights of
// the connection after the commands. quit reports whether the connection must be closed.
func (s *Server) run(
	commands []redcon.Command, rights authz.Right,
) (answers []byte, newRights authz.Right, quit bool) {
	b := batch{server: s, settings: s.settings.Load(), rights: rights}
	for _, command := range commands {
		if b.answerCommand(command) {
			return b.answers, b.rights, true
		}
	}
	b.finishChecks()
	return b.answers, b.rights, false
}

// answerCommand answers a command, or starts it if it is a check. quit reports whether the connection must be closed.
func (b *batch) answerCommand(command redcon.Command) (quit bool) {
	name := commandName(command)
	if !b.isPermitted(name) {
		b.finishChecks()
		b.answerNoPermission(name)
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
	case "COMMAND": // common clients send it right after connecting, and accept an empty list
		b.answers = redcon.AppendArray(b.answers, 0)
	case peekCommand:
		b.answerPeek(command.Args[1:])
	case "AUTH":
		b.authenticate(command.Args[1:])
	default:
		b.answerAccountCommand(name, command.Args)
	}
	return false
}

// commandName returns the name of a command, truncated to maxCommandNameBytes and in upper case. It returns an empty
// string if the command is empty.
func commandName(command redcon.Command) string {
	if len(command.Args) == 0 {
		return ""
	}
	name := command.Args[0]
	return strings.ToUpper(string(name[:min(len(name), maxCommandNameBytes)]))
}

// isPermitted reports whether the connection's rights allow a command. If the server has no accounts, it allows
// commands on accounts, which are then answered as unknown commands for every client.
func (b *batch) isPermitted(name string) bool {
	if requiredRight(name)&^b.rights == 0 {
		return true
	}
	_, isAccountCommand := accountCommands[name]
	return isAccountCommand && b.server.accounts == nil
}

// requiredRight returns the right that a command requires, or 0 if it requires none. It depends only on prefixes and
// suffixes of the name and not on accountCommands: the name of a new command determines the right that it requires.
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

// answerNoPermission answers a command that the connection's rights do not allow.
func (b *batch) answerNoPermission(name string) {
	b.server.failed.Add(1)
	b.answers = redcon.AppendError(b.answers,
		"NOPERM this connection has no key (AUTH name secret) that may "+strings.ToLower(name))
}

// authenticate sets the connection's rights to those of the key that AUTH presents, or to none if AUTH fails for any
// reason.
func (b *batch) authenticate(args [][]byte) {
	rights, err := b.server.keyRights(args)
	b.rights = rights
	if err != nil {
		b.answerError("AUTH", err)
		return
	}
	b.answers = redcon.AppendOK(b.answers)
}

// keyRights returns the rights of the key with the name and the secret in args.
func (s *Server) keyRights(args [][]byte) (authz.Right, error) {
	if len(args) != authArgumentCount {
		return 0, errArgumentCount
	}
	key, ok := s.keys[string(args[0])]
	// Compares hashes, whose length does not depend on what the client sends, so that the duration of the comparison
	// reveals nothing about the secret.
	presentedHash := sha256.Sum256(args[1])
	expectedHash := sha256.Sum256(key.Secret)
	if subtle.ConstantTimeCompare(presentedHash[:], expectedHash[:]) != 1 || !ok {
		return 0, errInvalidCredentials
	}
	return key.Rights, nil
}

// answerAccountCommand answers a command on accounts. It answers any other name, and all names if the server has no
// accounts, as an unknown command.
func (b *batch) answerAccountCommand(name string, args [][]byte) {
	command, ok := accountCommands[name]
	if !ok || b.server.accounts == nil {
		b.answerError("", fmt.Errorf("unknown command '%.32s'", printable(name)))
		return
	}
	if len(args)-1 != command.arguments {
		b.answerError(name, errArgumentCount)
		return
	}
	answers, err := command.run(b.server.accounts, b.answers, args[1:])
	if err != nil {
		b.answerError(name, errors.New(printable(err.Error())))
		return
	}
	b.answers = answers
}

// answerError answers a command with an error and counts the failure.
func (b *batch) answerError(name string, err error) {
	b.server.failed.Add(1)
	if errors.Is(err, errArgumentCount) {
		err = fmt.Errorf("%w for '%s'", err, strings.ToLower(name))
	}
	b.answers = redcon.AppendError(b.answers, "ERR "+err.Error())
}

// printable returns text with each character that is not printable ASCII replaced by a question mark. An error must
// be a single line.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}
