package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"reflect"
	"strings"
	"testing"

	"ashshunt/internal/protocol"
)

// readResponseText reads a response and returns its body and what follows it.
func readResponseText(text string) (body []byte, rest string, err error) {
	in := bufio.NewReader(strings.NewReader(text))
	head, err := readHead(in)
	if err != nil {
		return nil, "", err
	}
	framing, err := head.parseFraming()
	if err != nil {
		return nil, "", err
	}
	if body, err = framing.readBody(in, func(int) error { return nil }); err != nil {
		return nil, "", err
	}
	left, err := io.ReadAll(in)
	return body, string(left), err
}

// Heads and trailers of many short fields cost many times their length once they are parsed, so they are rejected.
func TestResponsesOfManyFieldsAreRejected(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	fields := func(count int) string {
		var text strings.Builder
		for i := range count {
			fmt.Fprintf(&text, "a%d:b\r\n", i)
		}
		return text.String()
	}
	const end = "Content-Length: 1\r\n\r\nx"
	for _, test := range []struct {
		name, text string
		want       bool
	}{
		{"head of as many fields as are allowed", "HTTP/1.1 200 OK\r\n" + fields(maxHeadLines-3) + end, true},
		{"head of too many fields", "HTTP/1.1 200 OK\r\n" + fields(maxHeadLines) + end, false},
		{"trailers", chunked + fields(10) + "\r\n", true},
		{"too many trailers", chunked + fields(maxHeadLines+1) + "\r\n", false},
	} {
		body, rest, err := readResponseText(test.text + "rest")
		if !test.want {
			if err == nil {
				t.Errorf("%s: got a response, want an error", test.name)
			}
			continue
		}
		if err != nil || string(body) != "x" || rest != "rest" {
			t.Errorf("%s: got body %q, rest %q and error %v", test.name, body, rest, err)
		}
	}
}

// A body without a stated length takes no more memory than its reservation, and one that breaks off is no body.
func TestBodiesWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }
	const last = "0\r\n\r\n"
	for _, size := range []int{1, unreservedBodySize, unreservedBodySize + 1, protocol.MaxBodySize} {
		body, _, err := readResponseText(head + chunk(size) + last)
		if err != nil || len(body) != size || cap(body) > size+unreservedBodySize {
			t.Errorf("%d bytes: got %d, a capacity of %d and error %v", size, len(body), cap(body), err)
		}
		if _, _, err = readResponseText(head + chunk(size)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes without the last chunk: got error %v, want an unexpected end", size, err)
		}
	}
	if _, _, err := readResponseText(head + chunk(protocol.MaxBodySize+1) + last); err == nil {
		t.Error("got a body over the limit, want an error")
	}
}

// FuzzReadHead compares heads with what net/textproto reads without a limit of lines, the rest included.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.0 503 \nA: b\n c\n\n\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 300) + "\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		in := bufio.NewReader(bytes.NewReader(text))
		head, err := readHead(in)
		plain := bufio.NewReader(bytes.NewReader(text))
		var want responseHead
		wantErr := validateProtocol(plain)
		if wantErr == nil {
			wantErr = want.read(textproto.NewReader(plain))
		}
		if lines := bytes.Count(text, []byte{'\n'}); lines > maxHeadLines && err != nil {
			return
		}
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("got error %v, want %v", err, wantErr)
		}
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(in) // an error shows in the bytes
		wantRest, _ := io.ReadAll(plain)
		if !reflect.DeepEqual(head, want) || !bytes.Equal(rest, wantRest) {
			t.Errorf("got head %+v and rest %q, want %+v and %q", head, rest, want, wantRest)
		}
	})
}
