package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["pipeline"] = pipeline
	cases["pipeend"] = pipeEnd
}

const (
	manyCalls = 30 // sent at once, without a restart
	someCalls = 8  // sent at once before a restart
)

// pipeline: a client sends many requests at once on one connection.
func pipeline(e *env) (int, error) {
	f, err := newFleet(e, 6, spread, newLedger(e.rec, 4*time.Second, cellOf), steady(75*time.Millisecond), settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	f.warmUp("lane-charge", 1500*time.Millisecond)
	calls := newCalls(manyCalls, "lane-charge", 1500*time.Millisecond)
	c := &client{rec: e.rec, addr: f.agent.addr}
	defer c.close()
	if !e.trouble {
		for _, each := range calls {
			c.do(each)
		}
		return f.judgeTimes(calls), nil
	}
	if err := c.connect(); err != nil {
		return couldNot, err
	}
	if err := c.send(calls...); err != nil {
		return couldNot, err
	}
	c.readAnswers(calls)
	return f.judgeTimes(calls), nil
}

func newCalls(n int, class string, budget time.Duration) (calls []*call) {
	for range n {
		calls = append(calls, newCall(class, budget))
	}
	return calls
}

// readAnswers reads the answers of calls that were sent at once, until the agent ends the connection.
func (c *client) readAnswers(calls []*call) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for _, each := range calls {
		if each.readAnswer(c.rec, c.in) {
			return
		}
	}
}

// judgeTimes judges the times that attempts told their servers, and those of the answers.
func (f *fleet) judgeTimes(calls []*call) int {
	byID := map[string]*call{}
	late, none, worst := 0, 0, time.Duration(0)
	for _, each := range calls {
		byID[each.id] = each
		switch over := each.answered.Sub(each.sent.Add(each.budget)); {
		case each.answered.IsZero():
			none++
		case over > lateGrace+slack:
			late++
			worst = max(worst, over)
		}
	}
	tooMuch, most := 0, time.Duration(0)
	for _, a := range f.ledger.all() {
		each := byID[a.id]
		if each == nil {
			continue
		}
		left := each.sent.Add(each.budget).Sub(a.began)
		if over := time.Duration(a.toldMs)*time.Millisecond - left; over > toldSlack+slack {
			tooMuch++
			most = max(most, over)
		}
	}
	f.env.rec.say("%d requests; answers later than 0.5 s after the client's time: %d (by up to %d ms after it); "+
		"never answered: %d", len(calls), late, worst.Milliseconds(), none)
	f.env.rec.say("attempts that told their server more than the client had left: %d (by up to %d ms)", tooMuch,
		most.Milliseconds())
	if tooMuch+late+none > 0 {
		return broken
	}
	return held
}

// pipeEnd: an agent is restarted as planned while it has the requests that a client sent at once.
func pipeEnd(e *env) (int, error) {
	f, err := newFleet(e, 6, spread, newLedger(e.rec, 1500*time.Millisecond, zoneOf), steady(90*time.Millisecond),
		settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	f.warmUp("passage-record", 2*time.Second)
	calls := newCalls(someCalls, "passage-record", 2*time.Second)
	c := &client{rec: e.rec, addr: f.agent.addr}
	defer c.close()
	if err := c.connect(); err != nil {
		return couldNot, err
	}
	if err := c.send(calls...); err != nil {
		return couldNot, err
	}
	time.Sleep(30 * time.Millisecond)
	unread, err := unreadBytes(c.conn)
	if err != nil {
		return couldNot, err
	}
	e.rec.say("30 ms later the agent has left %d bytes of the %d requests unread", unread, len(calls))
	if unread > 0 {
		return couldNot, fmt.Errorf("the agent has not read all requests")
	}
	if e.trouble {
		f.agent.signal(syscall.SIGTERM)
		e.rec.add(time.Now(), "SIGTERM")
	}
	c.readAnswers(calls)
	none := 0
	for _, each := range calls {
		if each.answered.IsZero() {
			none++
		}
	}
	e.rec.say("%d of %d requests were read, and their connection was closed with no answer", none, len(calls))
	if none > 0 {
		return broken, nil
	}
	return held, nil
}

// unreadBytes returns the number of bytes of a client's connection that the agent has not read, as the machine's table
// of sockets tells it.
func unreadBytes(conn net.Conn) (int, error) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	form := func(a net.Addr) string {
		t, _ := a.(*net.TCPAddr)
		ip := t.IP.To4()
		return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", t.Port)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == form(conn.RemoteAddr()) && fields[2] == form(conn.LocalAddr()) {
			_, received, _ := strings.Cut(fields[4], ":")
			n, err := strconv.ParseInt(received, 16, 64)
			return int(n), err
		}
	}
	return 0, fmt.Errorf("the table of sockets does not name %s", conn.LocalAddr())
}
