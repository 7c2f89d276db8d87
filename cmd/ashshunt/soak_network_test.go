package main

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// soakNetwork is the network between the agent and the endpoints, or between the agent and discovery.
type soakNetwork struct {
	latency time.Duration // in each direction
	faults  testutil.ProxyFaults
}

// connect returns the address at which the agent reaches a server: that of the server itself, or that of a proxy in
// front of it if the network has latency or faults.
func (n soakNetwork) connect(t *testing.T, serverAddr string) string {
	t.Helper()
	if n.latency == 0 && n.faults.OnConnect == nil && n.faults.OnResponse == nil && n.faults.OnData == nil {
		return serverAddr
	}
	return testutil.NewFaultProxy(t, serverAddr, n.latency, n.faults).Addr()
}

const (
	// networkFaultProbability is the probability that a faulty network changes a response or a piece of a list.
	networkFaultProbability = 0.15
	// maxSecondResponseDelay is the maximum time between a response and a second one.
	maxSecondResponseDelay = 60 * time.Millisecond
	// maxStall is the maximum time for which the agent is to be stopped. A hold-up of 150 ms is allowed, and the signal
	// that ends it may be late.
	maxStall = 120 * time.Millisecond
	// stallEffect is how long after a stall its effects show in the log.
	stallEffect = 50 * time.Millisecond
)

// responseFault changes a response on its way to the agent.
type responseFault func(s *soak, response []byte) []testutil.Segment

// anyResponseFaults are faults of the network between the agent and the endpoints for any response.
var anyResponseFaults = []responseFault{
	informationalBefore, delayed, split, withheld, resetInstead, closedInstead, silentHalfWay,
}

// lengthResponseFaults are further faults for responses with a length. Without one, all bytes until the close are the
// body of the response, and it ends wherever the connection is closed.
//
// None of these faults gives the agent a well-formed response that it can't tell from that of its request, other than
// after the late window.
var lengthResponseFaults = []responseFault{
	secondCopy, secondRejection, rejectionBehind, rejectionBefore, noiseBehind, truncated,
	lengthTooSmall, endedTooEarly, anotherResponseBefore, copyBehind,
}

// withProbability returns the function OnResponse of a network that changes some responses.
func (s *soak) withProbability(probability float64, fault responseFault) func([]byte) []testutil.Segment {
	return func(response []byte) []testutil.Segment {
		if s.rng.drawBool(probability) {
			return fault(s, response)
		}
		return []testutil.Segment{{Data: response}}
	}
}

// drawResponseFault draws a fault for a response.
func (s *soak) drawResponseFault(response []byte) responseFault {
	faults := anyResponseFaults
	if bytes.Contains(response, []byte("Content-Length")) {
		faults = slices.Concat(anyResponseFaults, lengthResponseFaults)
	}
	return faults[s.rng.drawInt(len(faults))]
}

func secondCopy(s *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: response}, s.lateSegment(response)}
}

func secondRejection(s *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: response}, s.lateSegment([]byte(unrequestedRejected))}
}

// lateSegment returns a segment that follows a response by up to maxSecondResponseDelay.
func (s *soak) lateSegment(data []byte) testutil.Segment {
	delay := s.rng.drawDuration(0, maxSecondResponseDelay)
	return testutil.Segment{Delay: delay, MaxDelay: delay + unrequestedMaxOverrun, Data: data}
}

func rejectionBehind(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: append(response, unrequestedRejected...)}}
}

func rejectionBefore(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: append([]byte(unrequestedRejected), response...)}}
}

func noiseBehind(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: append(response, "noise"...)}}
}

func anotherResponseBefore(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: append([]byte(unrequestedOK), response...)}}
}

func copyBehind(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: append(response, response...)}}
}

func lengthTooSmall(s *soak, response []byte) []testutil.Segment {
	changed, _ := s.reduceLength(response)
	return []testutil.Segment{{Data: changed}}
}

// restLater states a length that is too small, and sends the rest of the body in a write of its own.
func (s *soak) restLater(response []byte, delay time.Duration) []testutil.Segment {
	changed, end := s.reduceLength(response)
	return []testutil.Segment{
		{Data: changed[:end]},
		{Delay: delay, MaxDelay: delay + unrequestedMaxOverrun, Data: changed[end:]},
	}
}

// headEnd separates the head of a response from its body.
const headEnd = "\r\n\r\n"

// reduceLength returns a response whose stated length is too small for its body, and where it ends by that length. A
// response without a body is returned unchanged.
func (s *soak) reduceLength(response []byte) (changed []byte, end int) {
	head, body, _ := bytes.Cut(response, []byte(headEnd))
	if len(body) == 0 {
		return response, len(response)
	}
	length := s.rng.drawInt(len(body))
	head = replaceLength(head, fmt.Sprint("Content-Length: ", length))
	return slices.Concat(head, []byte(headEnd), body), len(head) + len(headEnd) + length
}

// endedTooEarly sends the body in two chunks, with the last chunk between them.
func endedTooEarly(s *soak, response []byte) []testutil.Segment {
	head, body, _ := bytes.Cut(response, []byte(headEnd))
	if len(body) < 2 {
		return []testutil.Segment{{Data: response}}
	}
	at := 1 + s.rng.drawInt(len(body)-1)
	return []testutil.Segment{{Data: fmt.Appendf(nil, "%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		replaceLength(head, "Transfer-Encoding: chunked"), at, body[:at], len(body)-at, body[at:])}}
}

// replaceLength replaces the Content-Length in the head of a response.
func replaceLength(head []byte, header string) []byte {
	return contentLengthPattern.ReplaceAllLiteral(head, []byte(header))
}

var contentLengthPattern = regexp.MustCompile(`Content-Length: \d+`)

func informationalBefore(_ *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: []byte("HTTP/1.1 103 Early Hints\r\n\r\n")}, {Data: response}}
}

func delayed(s *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Delay: s.rng.drawDuration(0, 100*time.Millisecond), Data: response}}
}

func split(s *soak, response []byte) []testutil.Segment {
	at := s.rng.drawInt(len(response))
	pause := s.rng.drawDuration(0, 30*time.Millisecond)
	return []testutil.Segment{{Data: response[:at]}, {Delay: pause, Data: response[at:]}}
}

func withheld(*soak, []byte) []testutil.Segment { return nil }

func truncated(s *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: response[:s.rng.drawInt(len(response))], End: testutil.EndHalfClose}}
}

func resetInstead(*soak, []byte) []testutil.Segment {
	return []testutil.Segment{{End: testutil.EndReset}}
}

func closedInstead(*soak, []byte) []testutil.Segment {
	return []testutil.Segment{{End: testutil.EndHalfClose}}
}

func silentHalfWay(s *soak, response []byte) []testutil.Segment {
	return []testutil.Segment{{Data: response[:s.rng.drawInt(len(response))], End: testutil.EndBlackHole}}
}

// newFaultyNetwork returns a network between the agent and the endpoints that sometimes changes a response, and
// sometimes sends noise on a new connection.
func (s *soak) newFaultyNetwork() soakNetwork {
	return soakNetwork{
		latency: s.rng.drawDuration(0, 5*time.Millisecond),
		faults: testutil.ProxyFaults{
			OnConnect: func() []testutil.Segment {
				if !s.rng.drawBool(0.02) {
					return nil
				}
				return []testutil.Segment{{Data: []byte("noise")}} // before any part of a response
			},
			OnResponse: s.withProbability(networkFaultProbability, func(s *soak, response []byte) []testutil.Segment {
				return s.drawResponseFault(response)(s, response)
			}),
		},
	}
}

// newFaultyDiscoveryNetwork returns a network between the agent and discovery that sometimes delays, splits, repeats or
// cuts off what discovery sends. All delays are far below the grace period of drains.
func (s *soak) newFaultyDiscoveryNetwork() soakNetwork {
	return soakNetwork{faults: testutil.ProxyFaults{OnData: func(data []byte) []testutil.Segment {
		if !s.rng.drawBool(networkFaultProbability) {
			return []testutil.Segment{{Data: data}}
		}
		at, pause := s.rng.drawInt(len(data)), s.rng.drawDuration(0, 300*time.Millisecond)
		switch s.rng.drawInt(4) {
		case 0:
			return []testutil.Segment{{Delay: pause, Data: data}}
		case 1:
			return []testutil.Segment{{Data: data[:at]}, {Delay: pause, Data: data[at:]}}
		case 2:
			return []testutil.Segment{{Data: data}, {Data: data}}
		default:
			return []testutil.Segment{{Data: data[:at], End: testutil.EndReset}}
		}
	}}}
}

// stallAgent stops the running agent for up to maxStall.
func (s *soak) stallAgent() {
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	if process == nil {
		return
	}
	startedAt := time.Now()
	_ = process.Signal(syscall.SIGSTOP) // fails if the process has exited
	time.Sleep(s.rng.drawDuration(10*time.Millisecond, maxStall))
	_ = process.Signal(syscall.SIGCONT)
	s.verifier.recordStall(startedAt, time.Now())
}
