package simwire

import (
	"encoding/hex"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/loadreport"
)

// decoder decodes messages into events. It stores the endpoint lists that DefineList messages define, since later
// messages refer to them by number.
type decoder struct {
	lists map[int][]balancer.Endpoint // endpoint lists by Sheet
}

func newDecoder() decoder { return decoder{lists: map[int][]balancer.Endpoint{}} }

// eventDecoders maps each kind of message that holds an event to its decoder. A decoder validates that the required
// fields of its kind are present, except for Agent, which decodeEvent validates.
var eventDecoders = map[string]func(*decoder, *message) (InstanceEvent, error){
	KindOpenInstance: (*decoder).decodeOpenInstance,
	kindRetire:       (*decoder).decodeRetire,
	kindView:         (*decoder).decodeEndpointList,
	kindSubmit:       (*decoder).decodeRequest,
	kindEnded:        (*decoder).decodeOutcome,
	kindProbeDone:    (*decoder).decodeHealthCheckResult,
	kindStreaming:    (*decoder).decodeStreamStarted,
	kindExpired:      (*decoder).decodeAbandoned,
	kindReminder:     (*decoder).decodeTimerFired,
	kindPeer:         (*decoder).decodeGossipMessage,
}

// decodeEvent returns the event that m holds.
func (d *decoder) decodeEvent(m *message) (InstanceEvent, error) {
	decode, ok := eventDecoders[m.Kind]
	if !ok {
		return InstanceEvent{}, ErrUnknownMessage
	}
	event, err := decode(d, m)
	if err != nil {
		return InstanceEvent{}, err
	}
	if m.Agent == nil {
		return InstanceEvent{}, newMissingFieldError("Agent")
	}
	event.Agent = *m.Agent
	return event, nil
}

// defineList stores the endpoint list that m defines.
func (d *decoder) defineList(m *message) error {
	if m.Sheet == nil || m.Items == nil {
		return newMissingFieldError("Sheet", "Items")
	}
	list := make([]balancer.Endpoint, 0, len(*m.Items))
	for _, item := range *m.Items {
		endpoint, err := item.toEndpoint()
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	d.lists[*m.Sheet] = list
	return nil
}

func (item *listItem) toEndpoint() (balancer.Endpoint, error) {
	state, err := endpointStateField.parse(item.Availability)
	if err != nil {
		return balancer.Endpoint{}, err
	}
	if item.Backend == "" {
		return balancer.Endpoint{}, newMissingFieldError("Backend")
	}
	return balancer.Endpoint{
		ID:        item.Backend,
		State:     state,
		Zone:      item.Dc,
		Cell:      item.Block,
		Kind:      item.Sku,
		Weight:    item.Rating,
		StartedAt: clock.FromMilliseconds(item.LaunchedMs),
	}, nil
}

func (d *decoder) decodeOpenInstance(m *message) (InstanceEvent, error) {
	if m.RandomSeed == nil || m.Facts == nil {
		return InstanceEvent{}, newMissingFieldError("RandomSeed", "Facts")
	}
	settings, _, err := config.ParseSettings(m.Facts)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Open: &OpenInstance{Seed: *m.RandomSeed, Settings: settings}}, nil
}

func (d *decoder) decodeRetire(*message) (InstanceEvent, error) {
	return InstanceEvent{Retire: true}, nil
}

func (d *decoder) decodeEndpointList(m *message) (InstanceEvent, error) {
	if m.How == nil {
		return InstanceEvent{}, newMissingFieldError("How")
	}
	kind, err := listKindField.parse(*m.How)
	if err != nil {
		return InstanceEvent{}, err
	}
	if kind == balancer.ListFailed {
		return InstanceEvent{Event: balancer.EndpointList{Kind: kind}}, nil
	}
	if m.Sheet == nil {
		return InstanceEvent{}, newMissingFieldError("Sheet")
	}
	list, ok := d.lists[*m.Sheet]
	if !ok {
		return InstanceEvent{}, &UndefinedListError{Sheet: *m.Sheet}
	}
	return InstanceEvent{Event: balancer.EndpointList{Kind: kind, Endpoints: list}}, nil
}

func (d *decoder) decodeRequest(m *message) (InstanceEvent, error) {
	if m.Job == nil || m.TierClass == nil || m.GraceMs == nil {
		return InstanceEvent{}, newMissingFieldError("Job", "TierClass", "GraceMs")
	}
	request := balancer.Request{
		ID:          *m.Job,
		Class:       *m.TierClass,
		Timeout:     clock.FromMilliseconds(*m.GraceMs),
		Key:         m.Item,
		Tenant:      m.Project,
		ClientRetry: m.StateBits&bitClientRetry != 0,
		Write:       m.StateBits&bitWrite != 0,
	}
	if m.StateBits&bitWorkHint != 0 {
		request.Work = clock.FromMilliseconds(m.WorkHintMs)
	}
	return InstanceEvent{Event: request}, nil
}

func (d *decoder) decodeOutcome(m *message) (InstanceEvent, error) {
	if m.Job == nil || m.Outcome == nil || m.SendNo == nil || m.Backend == nil || m.WaitTimeMs == nil {
		return InstanceEvent{}, newMissingFieldError("Job", "Outcome", "SendNo", "Backend", "WaitTimeMs")
	}
	result, err := resultField.parse(*m.Outcome)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Event: balancer.Outcome{
		Request:    *m.Job,
		Attempt:    *m.SendNo,
		Endpoint:   *m.Backend,
		Result:     result,
		Latency:    clock.FromMilliseconds(*m.WaitTimeMs),
		Done:       m.Ended,
		LoadReport: loadreport.FromValues(m.Usage),
	}}, nil
}

func (d *decoder) decodeHealthCheckResult(m *message) (InstanceEvent, error) {
	if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
		return InstanceEvent{}, newMissingFieldError("Backend", "Outcome", "WaitTimeMs")
	}
	result, err := resultField.parse(*m.Outcome)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Event: balancer.HealthCheckResult{
		Endpoint:   *m.Backend,
		Result:     result,
		Latency:    clock.FromMilliseconds(*m.WaitTimeMs),
		LoadReport: loadreport.FromValues(m.Usage),
	}}, nil
}

func (d *decoder) decodeStreamStarted(m *message) (InstanceEvent, error) {
	if m.Job == nil || m.SendNo == nil {
		return InstanceEvent{}, newMissingFieldError("Job", "SendNo")
	}
	return InstanceEvent{Event: balancer.StreamStarted{Request: *m.Job, Attempt: *m.SendNo}}, nil
}

func (d *decoder) decodeAbandoned(m *message) (InstanceEvent, error) {
	if m.Job == nil {
		return InstanceEvent{}, newMissingFieldError("Job")
	}
	return InstanceEvent{Event: balancer.Abandoned{Request: *m.Job}}, nil
}

func (d *decoder) decodeTimerFired(m *message) (InstanceEvent, error) {
	if m.Cookie == nil {
		return InstanceEvent{}, newMissingFieldError("Cookie")
	}
	return InstanceEvent{Event: balancer.TimerFired{Token: *m.Cookie}}, nil
}

func (d *decoder) decodeGossipMessage(m *message) (InstanceEvent, error) {
	if m.From == nil || m.Text == nil {
		return InstanceEvent{}, newMissingFieldError("From", "Msg")
	}
	data, err := hex.DecodeString(*m.Text)
	if err != nil {
		return InstanceEvent{}, &FieldError{Field: "Msg", Err: err}
	}
	return InstanceEvent{Event: balancer.GossipMessage{From: *m.From, Data: data}}, nil
}
