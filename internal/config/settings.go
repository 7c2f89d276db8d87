package config

import (
	"encoding/json"

	"ashshunt/balancer"
)

// Names maps the indexes by which package balancer refers to classes, tenants, zones and machine kinds to their names.
type Names struct {
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// ParseSettings parses the settings object, which has the same form in the configuration file and in the simulator's
// OpenInstance message. It ignores unknown keys, which later versions may add. The error is one of encoding/json or an
// *UnknownWordError. balancer.New validates that the values are in range.
func ParseSettings(raw []byte) (balancer.Settings, Names, error) {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return balancer.Settings{}, Names{}, err
	}
	settings, err := object.toSettings()
	return settings, object.names(), err
}

func (o *settingsObject) names() Names {
	names := Names{Zones: o.Dcs, Kinds: o.Kinds}
	for _, class := range o.Profiles {
		names.Classes = append(names.Classes, class.Name)
	}
	for _, tenant := range o.Tenants {
		names.Tenants = append(names.Tenants, tenant.Name)
	}
	return names
}
