package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/simwire"
)

const open = `{"msg":"OpenInstance","Agent":3,"RandomSeed":5,"Facts":{"Balancers":1,"Me":0,"TickMs":5,` +
	`"Profiles":[{"AimMs":400,"DeadlineMs":1500,"Worth":1,"Semantics":"once","WindowMs":0}],` +
	`"PolicyLimits":{"TryLimit":2},"Contract":{"ColdFrom":1}}}`
const lists = `{"msg":"DefineList","Sheet":0,"Items":[{"Backend":"10.0.0.1:80","Availability":"on"}]}
{"msg":"View","Agent":3,"How":"disk","Index":1,"Sheet":0}`

// batch returns a batch of messages. clock is its time in milliseconds.
func batch(clock string, messages ...string) string {
	lines := []string{`{"msg":"Frame","ClockMs":` + clock + `}`}
	lines = append(lines, messages...)
	lines = append(lines, `{"msg":"End"}`, "")
	return strings.Join(lines, "\n")
}

func TestRun(t *testing.T) {
	const submit = `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":700}`
	const try = `{"msg":"Try","Agent":3,"Job":"d0","Backend":"10.0.0.1:80"}` + "\n"
	const eor = "{\"msg\":\"Eor\"}\n"
	ended := func(outcome, done string) string {
		return `{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"` + outcome +
			`","WaitTimeMs":20,"Backend":"10.0.0.1:80","SendNo":0` + done + `}`
	}
	tests := []struct{ name, in, want string }{
		{"empty input", "", ""},
		{"empty batch", batch("1"), eor},
		{"request is sent", batch("1", open, lists) + batch("6", submit), eor + try + eor},
		{"request is served", batch("1", open, lists, submit) + batch("26", ended("pass", `,"Ended":true`)),
			try + eor + eor},
		{"request fails", batch("1", open, lists, submit) + batch("26", ended("fault", "")),
			try + eor + `{"msg":"DropRequest","Agent":3,"Job":"d0"}` + "\n" + eor},
		{"instance replaced in one batch has no state", batch("1", open, lists, submit) +
			batch("6", `{"msg":"Retire","Agent":3}`, open, lists) + batch("26", ended("fault", "")),
			try + eor + eor + eor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(strings.NewReader(tt.in), &out); err != nil {
				t.Fatal(err)
			}
			if out.String() != tt.want {
				t.Errorf("got output\n%swant\n%s", out.String(), tt.want)
			}
		})
	}
}

func TestRunFaults(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"instance not open", batch("1", `{"msg":"Reminder","Agent":8,"Cookie":1}`), "line 2: instance 8 is not open"},
		{"invalid settings", batch("1", strings.Replace(open, `"Balancers":1`, `"Balancers":0`, 1)),
			"Balancers: invalid value 0"},
		{"malformed line", batch("1", "{"), "line 2: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(tt.in), &out)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
			if out.Len() > 0 {
				t.Errorf("got output %q, want none", out.String())
			}
		})
	}
}

// A panic of the decision module must be reported as Broken with its text, and the reply must be complete.
func TestPanicIsBroken(t *testing.T) {
	var out bytes.Buffer
	h := newHost(simwire.NewWriter(&out))
	b := &simwire.Batch{Events: []simwire.InstanceEvent{{Agent: 2, Event: balancer.Request{ID: "x"}}}}
	h.instances[2] = stepFunc(func(time.Duration, []balancer.Event) []balancer.Action { panic("test panic") })
	if err := h.handleBatch(b); err != nil {
		t.Fatal(err)
	}
	want := `{"msg":"Broken","Agent":2,"Msg":"panic: test panic"}` + "\n{\"msg\":\"Eor\"}\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

type stepFunc func(time.Duration, []balancer.Event) []balancer.Action

func (f stepFunc) Step(now time.Duration, e []balancer.Event) []balancer.Action { return f(now, e) }
