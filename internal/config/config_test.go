package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ashshunt/balancer"
)

const minimalConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"memory_mb":192,"sockets":1024},
 "known":{"version":4,"full":true,"servers":[{"id":"s0","addr":"127.0.0.1:2","state":"SERVING"}]},
 "settings":{"Balancers":2,"Me":1,"Contract":{"ColdFrom":1},
  "Profiles":[{"Name":"pay","AimMs":100,"DeadlineMs":500,"Worth":1,"Semantics":"once"}],
  "Tenants":[{"Name":"acme","Portion":0.5,"QuotaPerS":10}]}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(minimalConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:0" || c.Discovery != "127.0.0.1:1" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("got name, addresses or seed of %+v, want those of minimalConfig", c)
	}
	if c.MaxMemoryMB != 192 || c.MaxDescriptors != 1024 {
		t.Errorf("got limits of %d MB and %d descriptors, want 192 and 1024", c.MaxMemoryMB, c.MaxDescriptors)
	}
	if c.Settings.Agents != 2 || c.Settings.AgentIndex != 1 ||
		c.Settings.Classes[0].Idempotency != balancer.NotIdempotent {
		t.Errorf("got settings %+v, want those of minimalConfig", c.Settings)
	}
	if len(c.Names.Classes) != 1 || c.Names.Classes[0] != "pay" || c.Names.Tenants[0] != "acme" {
		t.Errorf("got names %+v, want class pay and tenant acme", c.Names)
	}
	if c.CachedList.Version != 4 || len(c.CachedList.Entries) != 1 || c.CachedList.Entries[0].ID != "s0" {
		t.Errorf("got cached list %+v, want version 4 with endpoint s0", c.CachedList)
	}
}

func TestEnvironmentFallback(t *testing.T) {
	t.Setenv("GW_NAME", "n7")
	t.Setenv("GW_LISTEN", "127.0.0.1:7000")
	t.Setenv("GW_DISCOVERY", "127.0.0.1:7001")
	withoutIdentity := strings.NewReplacer(`"name":"n0",`, "", `"listen":"127.0.0.1:0",`, "",
		`"discovery":"127.0.0.1:1",`, "")
	c, err := Parse([]byte(withoutIdentity.Replace(minimalConfig)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n7" || c.Listen != "127.0.0.1:7000" || c.Discovery != "127.0.0.1:7001" {
		t.Errorf("got name and addresses of %+v, want those of the environment", c)
	}
}

// Each error is a single line that contains the key at fault under its name in the file.
func TestInvalidConfiguration(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"no JSON", `{"name"`, `{name`, "invalid character"},
		{"listen without a port", `"127.0.0.1:0"`, `"127.0.0.1"`, `listen: "127.0.0.1" is not host:port`},
		{"discovery with a bad port", `"127.0.0.1:1"`, `"127.0.0.1:99999"`,
			`discovery: "127.0.0.1:99999" has no valid port`},
		{"seed that is no number", `8c1f30d27a5be964`, `seed`, "seed: "},
		{"negative limit", `"sockets":1024`, `"sockets":-1`,
			"limits: want values of at least 0, got memory_mb 192 and sockets -1"},
		{"no settings", `"settings"`, `"other"`, "settings: required key is missing"},
		{"unknown word", `"once"`, `"maybe"`, `settings: Profiles[0].Semantics: unknown idempotency "maybe"`},
		{"count out of range", `"Balancers":2`, `"Balancers":0`, "settings: Balancers: invalid value 0"},
		{"number of this agent out of range", `"Me":1`, `"Me":2`, "settings: Me: invalid value 2"},
		{"class without an objective", `"AimMs":100`, `"AimMs":0`, "settings: Profiles[0].AimMs: invalid value 0s"},
		{"tenant with a negative quota", `"QuotaPerS":10`, `"QuotaPerS":-1`,
			"settings: Tenants[0].QuotaPerS: invalid value -1"},
		{"ill-typed setting", `"ColdFrom":1`, `"ColdFrom":"all"`, "Contract.ColdFrom"},
		{"known list without a version", `"version":4,`, "",
			"known: malformed endpoint list: missing version or servers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(minimalConfig, tt.old, tt.new, 1)
			if text == minimalConfig {
				t.Fatal("the replacement does not change minimalConfig")
			}
			_, err := Parse([]byte(text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got error %v, want one that contains %q", err, tt.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("got error with several lines: %q, want one line", err)
			}
		})
	}
}

func TestLoadErrorNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("missing file: got error %v, want one that contains the path", err)
	}
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.HasPrefix(err.Error(), path+": ") {
		t.Errorf("empty object: got error %v, want one that starts with the path", err)
	}
}

func TestDescriptorShares(t *testing.T) {
	tests := []struct{ sockets, maxOpen, clients, endpoints, requests int }{
		{0, 0, 0, 0, 0},
		{0, 50, 0, 0, 50},
		{1024, 0, 512, 384, 341},
		{1024, 100, 512, 384, 100},
		{1024, 1000, 512, 384, 341},
	}
	for _, tt := range tests {
		c := &Config{MaxDescriptors: tt.sockets, Settings: balancer.Settings{MaxOpen: tt.maxOpen}}
		if got := c.MaxClientConnections(); got != tt.clients {
			t.Errorf("%d descriptors: got %d client connections, want %d", tt.sockets, got, tt.clients)
		}
		if got := c.MaxEndpointConnections(); got != tt.endpoints {
			t.Errorf("%d descriptors: got %d endpoint connections, want %d", tt.sockets, got, tt.endpoints)
		}
		if got := c.MaxOpenRequests(); got != tt.requests {
			t.Errorf("%d descriptors, MaxOpen %d: got %d open requests, want %d",
				tt.sockets, tt.maxOpen, got, tt.requests)
		}
	}
}
