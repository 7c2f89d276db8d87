// Command ashshunt-sim connects the decision module to the simulator: it reads batches of events on standard input and
// writes one reply to each batch on standard output. It hosts one balancer for each simulated agent.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"ashshunt/internal/simwire"
)

// gcPercent lets the heap grow to nine times what is live: it is small, and most garbage is short-lived.
const gcPercent = 800

// exitFailure is the exit status after input that is malformed or output that can't be written.
const exitFailure = 1

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ashshunt-sim:", err)
		os.Exit(exitFailure)
	}
}

// run replies to batches until the input ends.
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
