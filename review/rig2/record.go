package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// at returns a time as seconds since the start of the case.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add writes one line for an event that occurred at a time.
func (r *record) add(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

// say writes one line to record.txt and to standard output.
func (r *record) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.add(time.Now(), "%s", line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
