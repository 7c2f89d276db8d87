package discovery

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"ashshunt/internal/testutil"
)

// chunkReader returns at most size bytes with each read.
type chunkReader struct {
	io.Reader
	size int
}

func (r chunkReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.size)]) }

// newTestWatchReader returns a reader of a stream whose timers do not fire.
func newTestWatchReader(t *testing.T, body io.Reader) *watchReader {
	t.Helper()
	idleTimer := time.NewTimer(testutil.Timeout)
	t.Cleanup(func() { idleTimer.Stop() })
	reader := newWatchReader(body, idleTimer, testutil.Timeout, func() { t.Error("got a list timeout") })
	t.Cleanup(reader.stop)
	return reader
}

// readValues reads the JSON values of a stream as a watch does.
func readValues(t *testing.T, body io.Reader) (values []string) {
	t.Helper()
	reader := newTestWatchReader(t, body)
	for decoder := json.NewDecoder(reader); ; {
		reader.prepareForList(testutil.Timeout, decoder.Buffered())
		var raw json.RawMessage
		if decoder.Decode(&raw) != nil {
			return values
		}
		values = append(values, string(raw))
	}
}

// White space between two lists must not be kept until the next one, however much there is.
func TestWhiteSpaceBetweenListsIsDropped(t *testing.T) {
	gap := strings.Repeat("\r\n", maxListSize)
	reader := newTestWatchReader(t, strings.NewReader(gap+completeListJSON(1)))
	reader.prepareForList(testutil.Timeout, strings.NewReader(""))
	read, err := io.ReadAll(reader)
	if err != nil || string(read) != completeListJSON(1) {
		t.Errorf("got %d bytes and error %v, want the list alone", len(read), err)
	}
	values := readValues(t, strings.NewReader(completeListJSON(1)+gap+completeListJSON(2)+gap))
	if len(values) != 2 {
		t.Errorf("got %d lists, want both", len(values))
	}
}

// The lists of a watch are those of its stream, wherever that is cut into reads.
func FuzzWatchReader(f *testing.F) {
	f.Add([]byte(`{"a":" b"} `+"\r\n\r\n"+`[1, 2]{"c" : "  "}`), 3)
	f.Add([]byte("\n\n"+completeListJSON(1)+"\n"+completeListJSON(2)+"\n \t"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size <= 0 {
			return
		}
		var want []string
		for decoder := json.NewDecoder(bytes.NewReader(stream)); ; {
			var raw json.RawMessage
			if decoder.Decode(&raw) != nil {
				break
			}
			want = append(want, string(raw))
		}
		got := readValues(t, iotest.DataErrReader(chunkReader{Reader: bytes.NewReader(stream), size: size}))
		if strings.Join(got, "\n") != strings.Join(want, "\n") || len(got) != len(want) {
			t.Errorf("got lists %q, want %q", got, want)
		}
	})
}
