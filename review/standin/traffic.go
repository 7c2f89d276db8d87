package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// profile is a class of the settings with its share of the requests and the time that its clients wait.
type profile struct {
	class    string
	share    float64
	deadline time.Duration
	keyed    bool
}

var profiles = []profile{
	{"account-check", 0.46, 3 * time.Second, false},
	{"passage-record", 0.33, 2 * time.Second, true},
	{"lane-charge", 0.21, 1500 * time.Millisecond, true},
}

// minWait is the smallest share of a class's time after which a client gives up.
const minWait = 0.7

// RandomCall returns a call of the usual mix.
func RandomCall() Call {
	pick := rand.Float64()
	for _, p := range profiles {
		if pick -= p.share; pick < 0 {
			return newCall(p)
		}
	}
	return newCall(profiles[0])
}

// NewCall returns a call of a class.
func NewCall(class string) Call {
	for _, p := range profiles {
		if p.class == class {
			return newCall(p)
		}
	}
	panic("unknown class " + class)
}

func newCall(p profile) Call {
	wait := time.Duration((minWait + (1-minWait)*rand.Float64()) * float64(p.deadline))
	call := Call{ID: NewID(), Class: p.class, Tenant: "tolweg-noord", Budget: wait.Truncate(time.Millisecond)}
	if p.keyed {
		call.Key, call.Body = NewKey(), "plate=1-ABC-123"
	}
	return call
}

// Traffic sends calls to an agent at random times with the given mean rate a second until stop is closed. It passes each
// call to before, and with its answer to check. It returns when all calls have ended.
func Traffic(addr string, rate float64, extra time.Duration, stop <-chan struct{}, before func(Call),
	check func(Call, Answer)) {
	client := &Client{Addr: addr}
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		open.Go(func() {
			call := RandomCall()
			before(call)
			check(call, client.Do(call, extra))
		})
	}
}
