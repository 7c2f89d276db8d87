package testutil

import (
	"fmt"
	"strings"
	"testing"

	"ashshunt/internal/config"
)

// SettingsJSON is a settings object with three classes, one for each kind of idempotency. Their deadlines are long.
const SettingsJSON = `{"Balancers":1,"Me":0,"TickMs":1,"Dcs":["dc"],"Kinds":["std"],"MembershipMode":"subscribe",
 "Profiles":[
  {"Name":"look","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"repeatable"},
  {"Name":"hold","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"by_key","Group":"cell","WindowMs":6000},
  {"Name":"settle","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"once"}],
 "PolicyLimits":{"TryLimit":3,"Cancel":true,"MayProbe":true,"SecondCopies":true,"ConnectTimeoutMs":5000,
  "IdleCloseMs":60000},
 "Contract":{"ColdFrom":0.5,"AskWithinMs":640,"DrainGraceMs":250,"RampTimeMs":1000,"FallMs":1000,"FallMultiple":2}}`

// configFormat is the format of a configuration file. Its arguments are the address of discovery, the entries of the
// cached endpoint list (key known) and the settings object.
const configFormat = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[%s]},"settings":%s}`

// Config returns an agent's configuration with SettingsJSON, the given address of discovery and the given entries of
// the cached endpoint list (key known).
func Config(tb testing.TB, discovery string, entries ...string) *config.Config {
	tb.Helper()
	c, err := config.Parse([]byte(fmt.Sprintf(configFormat, discovery, strings.Join(entries, ","), SettingsJSON)))
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// EntryJSON returns one entry of the endpoint list in the JSON format of discovery.
func EntryJSON(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"dc","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}
