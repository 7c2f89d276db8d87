// Command ashshunt-sim connects the decision module to the simulator: it reads batches of events from standard input
// and writes a reply to each batch to standard output. It runs one balancer for each simulated agent.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"ashshunt/internal/simwire"
)

// gcPercent allows the heap to grow to nine times the live heap, for few collections: the live heap is small, and most
// garbage is short-lived.
const gcPercent = 800

// exitFailure is the exit status after malformed input or a write error.
const exitFailure = 1

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ashshunt-sim:", err)
		os.Exit(exitFailure)
	}
}

// run replies to batches until the end of the input.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	host := newHost(simwire.NewWriter(out))
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := host.handleBatch(batch); err != nil {
			return err
		}
	}
}
