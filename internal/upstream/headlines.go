package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
)

// maxHeadLines is the maximum number of lines of a head or of a trailer section. Each field costs far more memory once
// it is parsed than on the wire.
const maxHeadLines = 256

// headLines reads from a buffered reader, line by line, and limits the number of lines.
type headLines struct {
	in    *bufio.Reader
	count int // lines that were read
}

// Read implements io.Reader. It returns at most the rest of a line, so that a buffered reader of it does not read
// beyond the end of a head.
func (l *headLines) Read(p []byte) (int, error) {
	if l.count > maxHeadLines {
		return 0, fmt.Errorf("response has more than %d header lines", maxHeadLines)
	}
	if _, err := l.in.Peek(1); err != nil {
		return 0, err
	}
	line, err := l.in.Peek(l.in.Buffered())
	if err != nil {
		return 0, err
	}
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end+1]
	}
	n := copy(p, line)
	if n > 0 && line[n-1] == '\n' {
		l.count++
	}
	return l.in.Discard(n)
}

// readLines calls read with a reader of the lines of a head or of a trailer section. It reads nothing behind them if
// read stops at the empty line.
func readLines(in *bufio.Reader, read func(*textproto.Reader) error) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	buffer.Reset(&headLines{in: in})
	return read(textproto.NewReader(buffer))
}
