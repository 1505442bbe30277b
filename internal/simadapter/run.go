package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"fawnplank/internal/simwire"
)

// bufferBytes is large enough for a batch under high load, so that one system call reads it and one writes its reply.
const bufferBytes = 1 << 20

// Run reads frames from input and writes one reply to output for each, until input ends between two frames. If a
// frame is truncated or malformed, or a reply cannot be written, Run returns an error with the number of the batch,
// counted from 0. The replies to all earlier batches have then been written.
func Run(input io.Reader, output io.Writer) error {
	reader := bufio.NewReaderSize(input, bufferBytes)
	writer := bufio.NewWriterSize(output, bufferBytes)
	h := newHost()
	var frame simwire.Frame
	for batchNumber := 0; ; batchNumber++ {
		err := simwire.ReadFrame(reader, &frame)
		if errors.Is(err, simwire.ErrEndOfInput) {
			return nil
		}
		if err == nil {
			err = h.answerFrame(&frame, writer)
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batchNumber, err)
		}
	}
}

// answerFrame handles a frame and flushes its reply, because the simulator waits for the reply.
func (h *host) answerFrame(frame *simwire.Frame, writer *bufio.Writer) error {
	if err := h.handleFrame(frame); err != nil {
		return err
	}
	// WriteTo also empties the reply for the next frame; nothing else does.
	if _, err := h.reply.WriteTo(writer); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
