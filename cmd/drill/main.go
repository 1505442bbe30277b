// Command drill connects the engine to the simulator's wire: it reads batches of events from standard
// input and writes one reply per batch to standard output. It translates and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"fawnplank/internal/simwire"
)

// bufferBytes is enough for a whole busy batch, so that one system call reads it and one answers it.
const bufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends between two of them.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferBytes)
	writer := bufio.NewWriterSize(out, bufferBytes)
	h := newHost()
	var frame simwire.Frame
	for n := 0; ; n++ {
		err := simwire.ReadFrame(reader, &frame)
		if errors.Is(err, simwire.ErrEnd) {
			return nil
		}
		if err == nil {
			err = h.answerFrame(&frame, writer)
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
	}
}

// answerFrame handles a frame and sends the reply at once, since the simulator waits for it.
func (h *host) answerFrame(f *simwire.Frame, w *bufio.Writer) error {
	if err := h.handleFrame(f); err != nil {
		return err
	}
	if _, err := h.reply.WriteTo(w); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
