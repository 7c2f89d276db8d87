package telemetry

import (
	"log/slog"
	"testing"

	"ashshunt/internal/testutil"
)

// Flush must wait until all previous lines are written, in order.
func TestWriterFlush(t *testing.T) {
	logged := &testutil.Log{}
	writer := NewWriter(logged)
	log := slog.New(slog.NewTextHandler(writer, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
			if attr.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return attr
		},
	}))
	log.Info("first")
	log.Info("second")
	writer.Flush(testutil.Timeout)
	if got, want := logged.String(), "level=INFO msg=first\nlevel=INFO msg=second\n"; got != want {
		t.Errorf("log: got %q, want %q", got, want)
	}
}
