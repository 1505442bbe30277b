// Command drill puts the decisions on the simulator's wire: it reads batches of events from standard input
// and writes one reply a batch to standard output. It translates and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"fawnplank/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends between two of them.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	h := &host{doors: map[uint32]*door{}}
	var f simwire.Frame
	for n := 0; ; n++ {
		err := simwire.ReadFrame(r, &f)
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.batch(&f)
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err := h.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
