package endpoint_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

func TestParseList(t *testing.T) {
	list, err := endpoint.ParseList([]byte(`{"version":41,"full":true,"servers":[` +
		testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING") + `,` + testutil.EntryJSON("s1", "", "DELETED") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	if list.Version != 41 || !list.Complete || len(list.Entries) != 2 {
		t.Fatalf("got list %+v, want version 41, complete, with 2 entries", list)
	}
	first, second := list.Entries[0], list.Entries[1]
	if first.ID != "s0" || first.Addr != "127.0.0.1:1" || !first.IsServing() ||
		first.BalancerState() != balancer.Serving {
		t.Errorf("got first entry %+v, want s0 at 127.0.0.1:1, serving", first)
	}
	if second.ID != "s1" || second.IsServing() || second.BalancerState() != balancer.Removed {
		t.Errorf("got second entry %+v, want s1, deleted", second)
	}
}

// The field names of a list are matched case-insensitively, as encoding/json does.
func TestParseListIgnoresFieldCase(t *testing.T) {
	entry := testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING")
	for _, names := range [][3]string{
		{"version", "full", "servers"}, {"Version", "Full", "Servers"}, {"VERSION", "FULL", "sErVeRs"},
	} {
		text := fmt.Sprintf(`{%q:41,%q:true,%q:[%s]}`, names[0], names[1], names[2], entry)
		list, err := endpoint.ParseList([]byte(text))
		if err != nil || list.Version != 41 || !list.Complete || len(list.Entries) != 1 {
			t.Errorf("fields %v: got list %+v, error %v, want version 41, complete, with 1 entry", names, list, err)
		}
	}
}

// No part of a list may be taken for the list, whatever stated a length that was too small.
func TestParseCutList(t *testing.T) {
	text := `{"version":41,"full":true,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING") + `,` +
		testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING") + `]}`
	for length := range len(text) {
		if list, err := endpoint.ParseList([]byte(text[:length])); !errors.Is(err, endpoint.ErrMalformedList) {
			t.Errorf("%d of %d bytes: got list %+v, error %v, want ErrMalformedList", length, len(text), list, err)
		}
	}
}

func TestParseMalformedList(t *testing.T) {
	good := testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING")
	for name, text := range map[string]string{
		"empty":         ``,
		"invalid JSON":  `{"version":2,"servers":[}`,
		"no version":    `{"full":true,"servers":[` + good + `]}`,
		"no servers":    `{"version":2,"full":true}`,
		"no id":         `{"version":2,"servers":[` + testutil.EntryJSON("", "127.0.0.1:1", "SERVING") + `]}`,
		"unknown state": `{"version":2,"servers":[` + strings.Replace(good, "SERVING", "ASLEEP", 1) + `]}`,
		"invalid address": `{"version":2,"servers":[` + good + `,` +
			testutil.EntryJSON("s1", "here", "DRAINING") + `]}`,
		"invalid type":    `{"version":2,"servers":{}}`,
		"a second object": `{"version":2,"servers":[` + good + `]}{"version":3,"servers":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			if list, err := endpoint.ParseList([]byte(text)); !errors.Is(err, endpoint.ErrMalformedList) {
				t.Errorf("got list %+v, error %v, want ErrMalformedList", list, err)
			}
		})
	}
}

func TestValidateAddress(t *testing.T) {
	for addr, valid := range map[string]bool{
		"10.1.0.18:9000": true, "host:0": true, "[::1]:65535": true,
		"": false, "host": false, "host:": false, "host:http": false, "host:-1": false, "host:65536": false,
	} {
		if err := endpoint.ValidateAddress(addr); (err == nil) != valid {
			t.Errorf("address %q: got error %v, want valid %v", addr, err, valid)
		}
	}
}
