package frontend

import (
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// The arrival of a request that has waited behind others is the latest time at which it was certainly not whole, and
// not earlier than that of the request before.
func TestArrivalMarks(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type request struct {
		end               int64
		readMs, arrivedMs int
	}
	for _, tt := range []struct {
		name     string
		marks    []arrivalMark // added behind the first request, which ends at 100 and arrives at 0 ms
		requests []request     // those behind it
	}{
		{"one at a time", []arrivalMark{{100, at(1)}, {100, at(90)}}, []request{{200, 95, 95}}},
		{"all at once", []arrivalMark{{400, at(1)}, {400, at(90)}},
			[]request{{200, 95, 0}, {300, 180, 0}, {400, 270, 0}}},
		{"while the first one is open", []arrivalMark{{100, at(1)}, {100, at(50)}, {250, at(90)}},
			[]request{{200, 95, 50}, {300, 180, 180}}},
		{"in turn", []arrivalMark{{100, at(1)}, {200, at(30)}, {200, at(60)}, {300, at(90)}},
			[]request{{200, 95, 1}, {300, 180, 60}, {400, 270, 270}}},
		{"marks in the wrong order", []arrivalMark{{200, at(30)}, {100, at(1)}}, []request{{200, 95, 0}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var marks arrivalMarks
			if got := marks.take(100, start); !got.Equal(start) {
				t.Errorf("got an arrival of the first request %v later, want the given time", got.Sub(start))
			}
			for _, mark := range tt.marks {
				marks.add(mark)
			}
			for _, r := range tt.requests {
				got := marks.take(r.end, at(r.readMs)).Sub(start).Milliseconds()
				if got != int64(r.arrivedMs) {
					t.Errorf("request that ends at %d: got an arrival at %d ms, want %d", r.end, got, r.arrivedMs)
				}
			}
		})
	}
}

// The marks of a connection are bounded, and their loss makes no request arrive later.
func TestArrivalMarksAreBounded(t *testing.T) {
	t.Parallel()
	var marks arrivalMarks
	start := time.Now()
	marks.take(1, start)
	const count = 3 * maxArrivalMarks
	for i := range count {
		marks.add(arrivalMark{int64(10 * (i + 1)), start.Add(time.Duration(i) * time.Millisecond)})
	}
	if len(marks.marks) != maxArrivalMarks {
		t.Errorf("got %d marks, want %d", len(marks.marks), maxArrivalMarks)
	}
	if got := marks.take(15, start.Add(time.Hour)); got.After(start) {
		t.Errorf("got an arrival %v after the request before, want its time", got.Sub(start))
	}
}

// Requests that are sent at once all arrive at that time, whenever the agent gets to them. Otherwise it tells endpoints
// more time than their clients have left, and answers after that.
func TestRequestsSentAtOnceArriveAtOnce(t *testing.T) {
	t.Parallel()
	const held, requests = 100 * time.Millisecond, 4
	submitted := make(chan *Request, requests)
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), func(r *Request) { submitted <- r }, nil)
	var text strings.Builder
	for number := range requests / 2 {
		text.WriteString(testutil.RawGet(testutil.NthID(2 * number)))
		text.WriteString(testutil.RawPost(testutil.NthID(2*number+1), "Content-Length: 4\r\n") + "body")
	}
	testutil.Dial(t, server.Addr(), text.String())
	first := testutil.Receive(t, submitted)
	for request, number := first, 0; ; number++ {
		if late := request.ArrivedAt - first.ArrivedAt; late >= held {
			t.Errorf("request %d: got an arrival %v after the first one, want the same time", number, late)
		}
		time.Sleep(held)
		releaseAndRespond(request)
		if number == requests-1 {
			return
		}
		request = testutil.Receive(t, submitted)
	}
}

// A request that is sent while another one is open does not arrive together with that.
func TestRequestSentLaterArrivesLater(t *testing.T) {
	t.Parallel()
	submitted := make(chan *Request, 2)
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), func(r *Request) { submitted <- r }, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	first := testutil.Receive(t, submitted)
	time.Sleep(20 * time.Millisecond)
	examinedAt := server.handler.clock.Now()
	if err := first.Validate(); err != nil {
		t.Fatal(err)
	}
	testutil.Write(t, client, testutil.RawGet(otherID))
	releaseAndRespond(first)
	second := testutil.Receive(t, submitted)
	if second.ArrivedAt < examinedAt {
		t.Errorf("got an arrival %v before it was sent, want a later one", examinedAt-second.ArrivedAt)
	}
	releaseAndRespond(second)
}
