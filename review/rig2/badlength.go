package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["badlength"] = badLength }

const (
	badClients     = 8
	badPerClient   = 100
	statedRight    = "Content-Length: 64"
	statedWrong    = "Content-Length: 0"
	badClientPause = 40 * time.Millisecond
)

// badLength: bad clients state the length 0 for requests with a body of 64 bytes. As many clients do, they write the
// head first and the body right behind it.
func badLength(e *env) (int, error) {
	f, err := newFleet(e, 6, spread, newLedger(e.rec, 4*time.Second, cellOf), steady(60*time.Millisecond), settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	f.warmUp("lane-charge", 1500*time.Millisecond)
	stop := make(chan struct{})
	pause := func() time.Duration { return time.Duration(50+rand.IntN(100)) * time.Millisecond }
	usual := f.load(4, "lane-charge", 1500*time.Millisecond, pause, stop)
	var mu sync.Mutex
	var calls []*call
	var clients sync.WaitGroup
	for range badClients {
		clients.Go(func() {
			for range badPerClient {
				each := newCall("lane-charge", 1500*time.Millisecond)
				f.sendWithLength(each, e.trouble)
				mu.Lock()
				calls = append(calls, each)
				mu.Unlock()
				time.Sleep(badClientPause)
			}
		})
	}
	clients.Wait()
	close(stop)
	usual.Wait()
	return f.judgeBodies(calls), nil
}

// sendWithLength sends a call on a connection of its own, with a wrong length or with the right one, and reads the first
// answer.
func (f *fleet) sendWithLength(each *call, wrong bool) {
	c := &client{rec: f.env.rec, addr: f.agent.addr}
	defer c.close()
	if each.err = c.connect(); each.err != nil {
		return
	}
	head, body, _ := strings.Cut(each.text(), "\r\n\r\n")
	if wrong {
		head = strings.Replace(head, statedRight, statedWrong, 1)
	}
	for _, part := range []string{head + "\r\n\r\n", body} {
		if _, each.err = c.conn.Write([]byte(part)); each.err != nil {
			break // the agent has answered already
		}
	}
	each.sent = time.Now()
	f.env.rec.add(each.sent, "client: sent %s in two writes, wrong length %t", each.id, wrong)
	_ = c.conn.SetReadDeadline(time.Now().Add(each.budget + time.Second))
	each.err = nil
	each.readAnswer(f.env.rec, c.in)
}

// judgeBodies reports the calls that were served although a server got another body than the client sent.
func (f *fleet) judgeBodies(calls []*call) int {
	got := map[string]int{}
	for _, a := range f.ledger.all() {
		got[a.id] = a.bodyLength
	}
	served, cut, refused, none := 0, 0, 0, 0
	for _, each := range calls {
		switch {
		case each.answered.IsZero():
			none++
		case each.status != 200:
			refused++
		case got[each.id] != each.bodyLength:
			cut++
			f.env.rec.add(each.answered, "BROKEN: %s, of %d bytes, was served, and ran with %d", each.id, each.bodyLength,
				got[each.id])
		default:
			served++
		}
	}
	f.env.rec.say("%d requests: %d served whole, %d got an error, %d a close; %d served as if they had run, without their "+
		"body", len(calls), served, refused, none, cut)
	if cut > 0 {
		return broken
	}
	return held
}
