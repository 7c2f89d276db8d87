package frontend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"ashshunt/internal/protocol"
	"ashshunt/internal/testutil"
)

// add adds bytes as if they were read from the connection.
func (s *requestScanner) add(p []byte) {
	s.Lock()
	defer s.Unlock()
	s.Receive(p)
}

// The scanner must find the ends of requests however they are split into reads.
func TestRequestScannerFindsEnds(t *testing.T) {
	heads := []string{
		"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
		"GET /b HTTP/1.1\nHost: x\n\n",
		"\r\n\nPOST /c HTTP/1.1\r\n\r\n",
	}
	bodies := []string{"GET x\r\n\r\n", "", "\n"}
	stream := heads[0] + bodies[0] + heads[1] + bodies[1] + heads[2] + bodies[2]
	for size := 1; size <= len(stream); size++ {
		var scanner requestScanner
		number, end := 0, 0 // number of requests whose heads were read, end of the last one
		for at := 0; at < len(stream); at += size {
			added := min(len(stream), at+size)
			scanner.add([]byte(stream[at:added]))
			for scanner.state == scanUnknown && number < len(heads) {
				scanner.startBody(int64(len(bodies[number])))
				end += len(heads[number]) + len(bodies[number])
				number++
				remaining, isOther := scanner.bodyBytesRemaining(), scanner.isFollowedByOther(peekAt(stream[added:]))
				if remaining != max(0, end-added) || isOther {
					t.Fatalf("pieces of %d bytes, request %d: got %d bytes remaining, want %d; other bytes behind: %v",
						size, number, remaining, max(0, end-added), isOther)
				}
			}
		}
		scanner.add([]byte("noise"))
		if number != len(heads) || !scanner.isFollowedByOther(peekAt("")) {
			t.Errorf("pieces of %d bytes: got %d requests, want %d and other bytes behind", size, number, len(heads))
		}
	}
}

// peekAt is a connection whose unread bytes are given.
type peekAt string

func (p peekAt) peek(buffer []byte) int { return copy(buffer, p) }

// The scanner must judge the bytes behind a request by those that were added and those that were not read.
func TestRequestScannerJudgesFollowingBytes(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
	for behind, want := range map[string]bool{
		"": false, "P": false, "POST": false, "GET /b": false, "\r\n": false, "\r\n\r\nGET /": false,
		"PA": false, "{": true, "PAY": true, "POSTS": true, "\r\n{": true, "\r\n\r\nGOT /": true, "post /": true,
	} {
		for added := range len("xy"+behind) + 1 {
			var scanner requestScanner
			scanner.add([]byte(head))
			scanner.startBody(2)
			scanner.add([]byte(("xy" + behind)[:added]))
			got := scanner.isFollowedByOther(peekAt(("xy" + behind)[added:]))
			if isWhole := added >= 2; got != (want && isWhole) {
				t.Errorf("%q behind, %d bytes added: got %v, want %v", behind, added, got, want && isWhole)
			}
		}
	}
}

// The scanner must find the same ends of requests as net/http.
func FuzzRequestScanner(f *testing.F) {
	get, post := testutil.RawGet(id), testutil.RawPost(id, "Content-Length: 3\r\n")+"abc"
	for _, stream := range []string{
		get + get, post + post, post + "\r\n" + get, post + "d", get + "\n\r", "GET / HTTP/1.1\nHost: x\n\n" + post,
		"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n \r\n c\r\n\r\n" + get,
	} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		var scanner requestScanner
		scanner.add(stream)
		source := bytes.NewReader(stream)
		in := bufio.NewReader(source)
		for readRequest(in, &scanner) {
			rest := bytes.TrimLeft(stream[len(stream)-source.Len()-in.Buffered():], emptyLines)
			if scanner.state == scanImpossible {
				t.Fatalf("got no end of the head of a request, want one before %q", rest)
			}
			if got, want := scanner.isFollowedByOther(peekAt("")), !mayStartRequest(rest); got != want {
				t.Fatalf("got other bytes behind the request %v, want %v: %q", got, want, rest)
			}
		}
	})
}

// readRequest reads a request as net/http does, and tells the scanner the length of its body. It reports false at the
// end of the stream, and after a request that ends its connection.
func readRequest(in *bufio.Reader, scanner *requestScanner) bool {
	skipEmptyLines(in)
	request, err := http.ReadRequest(in)
	if err != nil || request.ContentLength < 0 || request.ContentLength > protocol.MaxBodySize {
		return false
	}
	scanner.startBody(request.ContentLength)
	n, _ := io.Copy(io.Discard, request.Body) // an error shows in n
	return n == request.ContentLength
}

// skipEmptyLines reads empty lines.
func skipEmptyLines(in *bufio.Reader) {
	for {
		next, err := in.Peek(1)
		if err != nil || !bytes.Contains([]byte(emptyLines), next) {
			return
		}
		_, _ = in.Discard(1) // the byte is in the buffer
	}
}
