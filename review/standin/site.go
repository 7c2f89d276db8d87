package standin

import (
	"fmt"
	"os"
	"path/filepath"
)

// Site is a small deployment: discovery, passage servers in three data centres, and agents.
type Site struct {
	Folder    string // temporary folder
	Record    *Record
	Discovery *Discovery
	Servers   []*Server
	Agents    []*Agent
}

// SiteOptions are the parameters of a site.
type SiteOptions struct {
	Root      string
	Case      string // folder of the case, for record.txt
	Servers   int
	Agents    int
	Sockets   int
	MemoryMB  int
	Settings  func(map[string]any) // changes the settings; may be nil
	Zone      func(number int) int // returns the data centre of a server; nil: they are spread alike
	EachServe func(*Server)        // sets up a server before it starts; may be nil
}

var zones = []string{"mechelen", "namur", "ghent"}

const serversPerCell = 3

// NewSite starts a deployment.
func NewSite(o SiteOptions) (*Site, error) {
	record, err := NewRecord(filepath.Join(o.Case, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	site := &Site{Folder: folder, Record: record}
	var entries []Entry
	inZone := make([]int, len(zones))
	for i := range o.Servers {
		server, err := NewServer(fmt.Sprintf("s-%08x", 0x5be2a000+i))
		if err != nil {
			return site, err
		}
		zone := i % len(zones)
		if o.Zone != nil {
			zone = o.Zone(i)
		}
		server.Zone = zone
		if o.EachServe != nil {
			o.EachServe(server)
		}
		server.Start()
		site.Servers = append(site.Servers, server)
		entries = append(entries, Entry{
			ID: server.ID, Addr: server.Addr, Zone: zones[zone], Kind: "std-2c",
			Cell: zone + len(zones)*(inZone[zone]/serversPerCell), State: "SERVING", Weight: 1,
		})
		inZone[zone]++
	}
	if site.Discovery, err = NewDiscovery(entries); err != nil {
		return site, err
	}
	for i := range o.Agents {
		settings := Settings(i)
		settings["Balancers"] = o.Agents
		if o.Settings != nil {
			o.Settings(settings)
		}
		agent, err := StartAgent(o.Root, folder, AgentConfig{
			Name: fmt.Sprintf("n%d", i), Discovery: site.Discovery.Addr, Sockets: o.Sockets, MemoryMB: o.MemoryMB,
			Known: site.Discovery.Current(), Settings: settings,
		})
		if agent != nil && agent.command.Process != nil {
			site.Agents = append(site.Agents, agent)
			record.Logf("platform: started agent %d, pid %d, at %s", i, agent.PID(), agent.Addr)
		}
		if err != nil {
			return site, err
		}
	}
	return site, nil
}

// Close ends the agents and removes the temporary folder.
func (s *Site) Close() {
	for _, agent := range s.Agents {
		agent.Kill()
	}
	_ = os.RemoveAll(s.Folder)
	s.Record.Close()
}
