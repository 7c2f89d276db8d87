package main

import (
	"time"
)

func init() { cases["flood"] = flood }

const longBody = 1024

// flood: a client sends many requests at once on one connection, of 1 KiB each.
func flood(e *env) (int, error) {
	f, err := newFleet(e, 6, spread, newLedger(e.rec, 1500*time.Millisecond, zoneOf), steady(66*time.Millisecond),
		settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	f.warmUp("passage-record", 2*time.Second)
	calls := newCalls(manyCalls, "passage-record", 2*time.Second)
	for _, each := range calls {
		each.bodyLength = longBody
	}
	c := &client{rec: e.rec, addr: f.agent.addr}
	defer c.close()
	if !e.trouble {
		for _, each := range calls {
			c.do(each)
		}
		return f.judgeAnswered(calls), nil
	}
	if err := c.connect(); err != nil {
		return couldNot, err
	}
	if err := c.send(calls...); err != nil {
		return couldNot, err
	}
	done := make(chan struct{})
	go func() { // records how much the agent has read
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				if unread, err := unreadBytes(c.conn); err == nil {
					e.rec.add(time.Now(), "the agent has left %d bytes unread", unread)
				}
			}
		}
	}()
	c.readAnswers(calls)
	time.Sleep(time.Second)
	close(done)
	return f.judgeAnswered(calls), nil
}

// judgeAnswered reports the calls that got no answer.
func (f *fleet) judgeAnswered(calls []*call) int {
	none, served, other := 0, 0, 0
	for _, each := range calls {
		switch {
		case each.answered.IsZero():
			none++
		case each.status == 200:
			served++
		default:
			other++
			f.env.rec.say("%s got %d: %s", each.id, each.status, each.body)
		}
	}
	f.env.rec.say("%d requests: %d served, %d with another answer, %d with no answer", len(calls), served, other, none)
	if none > 0 {
		return broken
	}
	return held
}
