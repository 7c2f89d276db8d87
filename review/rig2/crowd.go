package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	crowdServers     = 12
	crowds           = 7
	crowdEvery       = 12 * time.Second
	crowdBadClients  = 8
	connectionsEach  = 300
	crowdClients     = 20
	crowdDescriptors = 256
	crowdBody        = 8 << 10
	hangAfter        = 600 * time.Millisecond // after the crowd has come
	hangTime         = 8 * time.Second        // 7.4 to 21 s
	hangForever      = 30 * time.Second
)

// crowd: bad clients connect by hundreds and say nothing, and two of twelve servers begin to hang. The usual clients send
// requests of 8 KiB.
func crowd(e *env) (int, error) {
	l := newLedger(e.rec, 4*time.Second, cellOf)
	var mu sync.Mutex
	hangs := map[string]bool{}
	handle := func(a attempt) answer {
		mu.Lock()
		defer mu.Unlock()
		if hangs[a.server.entry.ID] {
			return answer{after: hangForever, status: 200}
		}
		return answer{after: 60 * time.Millisecond, status: 200, runs: true}
	}
	f, err := newFleet(e, crowdServers, spread, l, handle, settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	f.agent.conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": crowdDescriptors}
	if err := f.agent.writeConfig(); err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	var calls []*call
	var clients sync.WaitGroup
	for range crowdClients {
		clients.Go(func() {
			c := &client{rec: e.rec, addr: f.agent.addr}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				each := newCall("lane-charge", time.Duration(1050+rand.IntN(450))*time.Millisecond)
				each.bodyLength = crowdBody
				c.do(each)
				if each.answered.IsZero() { // a new connection may be shut unread
					continue
				}
				mu.Lock()
				calls = append(calls, each)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range crowds {
		end := time.Now().Add(crowdEvery)
		first, second := f.busiestTwo()
		if e.trouble {
			f.connectByHundreds()
		}
		time.Sleep(hangAfter)
		mu.Lock()
		hangs[first], hangs[second] = true, true
		mu.Unlock()
		e.rec.add(time.Now(), "servers %s and %s hang", first, second)
		time.Sleep(hangTime)
		mu.Lock()
		clear(hangs)
		mu.Unlock()
		time.Sleep(time.Until(end))
	}
	close(stop)
	clients.Wait()
	return f.judgeTimes(calls), nil
}

// busiestTwo returns the two servers that got most attempts in the last 3 s.
func (f *fleet) busiestTwo() (first, second string) {
	counts := map[string]int{}
	for _, a := range f.ledger.all() {
		if time.Since(a.came) < 3*time.Second {
			counts[a.server.entry.ID]++
		}
	}
	for id, n := range counts {
		switch {
		case n > counts[first]:
			first, second = id, first
		case n > counts[second]:
			second = id
		}
	}
	return first, second
}

// connectByHundreds opens the connections of the bad clients, which keep each until the agent ends it.
func (f *fleet) connectByHundreds() {
	f.env.rec.add(time.Now(), "%d bad clients connect %d times each and say nothing", crowdBadClients, connectionsEach)
	for range crowdBadClients {
		go func() {
			for range connectionsEach {
				conn, err := net.Dial("tcp", f.agent.addr)
				if err != nil {
					continue
				}
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}()
			}
		}()
	}
}
