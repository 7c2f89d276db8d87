package telemetry

import (
	"log/slog"
	"testing"

	"ashshunt/internal/testutil"
)

// A flush waits for the lines before it; they keep their order.
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
		t.Errorf("log %q, want %q", got, want)
	}
}
