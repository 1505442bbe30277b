package backend

import "time"

// fixedCommand is a command that does not state the remaining time.
type fixedCommand string

func (f fixedCommand) Parts(time.Duration) [][]byte { return [][]byte{[]byte(f)} }

func (f fixedCommand) Size() int { return len(f) }
