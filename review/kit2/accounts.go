package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	customer   = "0000000000000005"
	keyName    = "ops"
	secretText = "a-secret-of-the-review"
)

// limitsSection returns the part of an operator file for limit commands, with one key that may do everything.
func (w *world) limitsSection(listen string) string {
	secret := w.writeFile("ops.secret", secretText+"\n")
	return fmt.Sprintf("[limits]\nlisten = %q\n\n[[limits.key]]\nname = %q\nsecret_file = %q\n"+
		"rights = [\"check\", \"read\", \"reserve\", \"change\"]\n", listen, keyName, secret)
}

// dialLimits connects to a limits address and authenticates.
func dialLimits(address string) (*client, error) {
	c, err := dialClient(address)
	if err != nil {
		return nil, err
	}
	reply, err := c.call(5*time.Second, "AUTH", keyName, secretText)
	if err == nil && reply != "+OK" {
		err = fmt.Errorf("AUTH: %s", reply)
	}
	return c, err
}

// command sends a limit command on a new connection, and records it with its answer.
func (w *world) command(who, address string, words ...string) string {
	c, err := dialLimits(address)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	defer c.conn.Close()
	reply, err := c.call(15*time.Second, words...)
	if err != nil {
		reply = "no answer: " + err.Error()
	}
	w.note("%s: %s -> %s", who, strings.Join(words, " "), reply)
	return reply
}

// epochOf returns the epoch in the answer to a command on a reservation.
func epochOf(reply string) string {
	fields := strings.Fields(strings.Trim(reply, "[]"))
	if !strings.HasPrefix(reply, "[") || len(fields) == 0 {
		panic(errNotRun{"no reservation: " + reply})
	}
	return fields[0]
}
