// Case 3: clients are served with a part of an answer whose length doesn't fit. See claim.txt.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ashshunt/review/standin"
)

// The disruption: from any passage server alike, some answers have lengths that don't fit.
const (
	spoiltShare = 0.05
	missing     = 12 // bytes by which the stated length is too small
)

const (
	servers   = 12
	agents    = 3
	rate      = 30.0 // requests a second at each agent
	work      = 40 * time.Millisecond
	length    = 20 * time.Second
	extraWait = 600 * time.Millisecond
	minServed = 500
)

var (
	site                             atomic.Pointer[standin.Site]
	spoilt, served, wrong, otherwise atomic.Int64
)

func logf(format string, args ...any) {
	if s := site.Load(); s != nil {
		s.Record.Logf(format, args...)
	}
}

func main() { os.Exit(standin.Run(options, play)) }

func options(trouble bool) standin.SiteOptions {
	return standin.SiteOptions{
		Servers: servers, Agents: agents, Sockets: 608, MemoryMB: 72,
		EachServe: func(s *standin.Server) {
			s.Work = func(standin.Arrival) time.Duration { return work }
			s.OnArrival = func(a standin.Arrival) { logf("%s: runs %s %s", a.Server, a.Class, a.ID) }
			if !trouble {
				return
			}
			s.Answer = func(conn net.Conn, a standin.Arrival) bool {
				body := standin.Body(a.ID)
				if rand.Float64() >= spoiltShare {
					standin.Respond(conn, 200, "", body)
					return true
				}
				spoilt.Add(1)
				logf("%s: answers %s with a length of %d and %d bytes", a.Server, a.ID, len(body)-missing, len(body))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-missing, body)
				// The connection stays open and is of no further use.
				_, _ = io.Copy(io.Discard, conn)
				return false
			}
		},
	}
}

func play(s *standin.Site, _ bool) int {
	site.Store(s)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, agent := range s.Agents {
		traffic.Go(func() { standin.Traffic(agent.Addr, rate, extraWait, stop, func(standin.Call) {}, check) })
	}
	time.Sleep(length)
	close(stop)
	traffic.Wait()
	summary := fmt.Sprintf("served %d, other answers %d, spoilt answers %d, served with a part of an answer %d",
		served.Load(), otherwise.Load(), spoilt.Load(), wrong.Load())
	logf("%s", summary)
	fmt.Println(summary)
	switch {
	case wrong.Load() > 0:
		return standin.Broken
	case served.Load() < minServed:
		return standin.CannotRun
	}
	return standin.Held
}

// check judges an answer: what is served has to be the whole answer that a passage server made for the request.
func check(call standin.Call, answer standin.Answer) {
	logf("client: %s %s got %d %q %v", call.Class, call.ID, answer.Status, answer.Body, answer.Err)
	switch {
	case answer.Status != 200:
		otherwise.Add(1)
	case answer.Body == standin.Body(call.ID):
		served.Add(1)
	default:
		wrong.Add(1)
		logf("BROKEN: %s %s was served with %q, the answer made for it is %q", call.Class, call.ID, answer.Body,
			standin.Body(call.ID))
	}
}
