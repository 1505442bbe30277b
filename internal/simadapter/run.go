package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"fawnplank/internal/simwire"
)

// bufferBytes is enough for a whole busy batch, so that one system call reads it and one answers it.
const bufferBytes = 1 << 20

// Run reads frames from in and writes one reply to out for each, until in ends between two frames. It returns
// an error that names the batch, counted from 0, if a frame is truncated or malformed or a reply cannot be
// written. Replies to the batches before are then written.
func Run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferBytes)
	writer := bufio.NewWriterSize(out, bufferBytes)
	h := newHost()
	var frame simwire.Frame
	for n := 0; ; n++ {
		err := simwire.ReadFrame(reader, &frame)
		if errors.Is(err, simwire.ErrEndOfInput) {
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
	// WriteTo also empties the reply for the next frame, which nothing else does.
	if _, err := h.reply.WriteTo(w); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
