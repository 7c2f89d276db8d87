package simwire

import (
	"encoding/hex"
	"encoding/json"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/loadreport"
)

// The kinds of message that hold no event.
const (
	kindFrame      = "Frame"      // starts a batch
	kindEnd        = "End"        // ends a batch
	kindDefineList = "DefineList" // defines an endpoint list, to which later messages refer
)

// message holds the fields of every message, named as on the wire; pointers mark those that some
// message must carry.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int
	RandomSeed *uint64
	Facts      json.RawMessage
	Sheet      *int
	Items      *[]listItem
	How        *string
	Job        *string
	TierClass  *int
	Project    int
	Item       string
	GraceMs    *float64
	WorkHintMs float64
	StateBits  int
	Outcome    *string
	WaitTimeMs *float64
	Backend    *string
	SendNo     *int
	Ended      bool
	Usage      map[string]float64
	Cookie     *int64
	From       *int
	Text       *string `json:"Msg"`
}

// listItem is one endpoint of a list, named as on the wire.
type listItem struct {
	Backend      string
	Availability string
	Rating       float64
	Block        int
	LaunchedMs   float64
	Sku          int
	Dc           int
}

// The bits of a request's StateBits.
const (
	bitWorkHint    = 1 // WorkHintMs holds a value
	bitClientRetry = 2
	bitWrite       = 4
)

// The words of the wire.
var (
	resultWords = map[string]balancer.Result{
		"pass": balancer.Served, "fault": balancer.ServerError, "no_room": balancer.Rejected,
		"too_slow": balancer.TimedOut, "no_route": balancer.ConnectFailed, "cut": balancer.Reset,
		"undone": balancer.Cancelled, "stale_send": balancer.NotSent,
	}
	listKindWords = map[string]balancer.ListKind{
		"diff": balancer.ListDelta, "snapshot": balancer.ListComplete,
		"disk": balancer.ListCached, "error": balancer.ListFailed,
	}
	endpointStateWords = map[string]balancer.EndpointState{
		"on": balancer.Serving, "fading": balancer.Draining, "off": balancer.Removed,
	}
)

// decoder turns messages into events. It keeps the endpoint lists that were defined, since later messages refer to
// them by number.
type decoder struct {
	lists map[int][]balancer.Endpoint
}

func newDecoder() decoder { return decoder{lists: map[int][]balancer.Endpoint{}} }

// eventDecoders has a decoder for each kind of message that holds an event. Each checks the fields of its own and
// leaves the instance's number to decoder.event.
var eventDecoders = map[string]func(*decoder, *message) (Event, error){
	"OpenInstance": (*decoder).openInstance,
	"Retire":       (*decoder).retire,
	"View":         (*decoder).endpointList,
	"Submit":       (*decoder).request,
	"Ended":        (*decoder).outcome,
	"ProbeDone":    (*decoder).healthCheckResult,
	"Streaming":    (*decoder).streamStarted,
	"Expired":      (*decoder).abandoned,
	"Reminder":     (*decoder).timerFired,
	"Peer":         (*decoder).gossipMessage,
}

// event returns the event that m holds.
func (d *decoder) event(m *message) (Event, error) {
	decode, ok := eventDecoders[m.Kind]
	if !ok {
		return Event{}, ErrUnknownMessage
	}
	event, err := decode(d, m)
	if err != nil {
		return Event{}, err
	}
	if m.Agent == nil {
		return Event{}, missing("Agent")
	}
	event.Agent = *m.Agent
	return event, nil
}

// defineList keeps the endpoint list that m holds.
func (d *decoder) defineList(m *message) error {
	if m.Sheet == nil || m.Items == nil {
		return missing("Sheet", "Items")
	}
	list := make([]balancer.Endpoint, 0, len(*m.Items))
	for _, item := range *m.Items {
		endpoint, err := item.endpoint()
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	d.lists[*m.Sheet] = list
	return nil
}

func (item *listItem) endpoint() (balancer.Endpoint, error) {
	state, err := translate(endpointStateWords, "Availability", item.Availability)
	if err != nil {
		return balancer.Endpoint{}, err
	}
	if item.Backend == "" {
		return balancer.Endpoint{}, missing("Backend")
	}
	return balancer.Endpoint{
		ID: item.Backend, State: state, Zone: item.Dc, Cell: item.Block,
		Kind: item.Sku, Weight: item.Rating, StartedAt: clock.Milliseconds(item.LaunchedMs),
	}, nil
}

func (d *decoder) openInstance(m *message) (Event, error) {
	if m.RandomSeed == nil || m.Facts == nil {
		return Event{}, missing("RandomSeed", "Facts")
	}
	settings, _, err := config.ParseSettings(m.Facts)
	if err != nil {
		return Event{}, err
	}
	return Event{Open: &Open{Seed: *m.RandomSeed, Settings: settings}}, nil
}

func (d *decoder) retire(*message) (Event, error) { return Event{Retire: true}, nil }

func (d *decoder) endpointList(m *message) (Event, error) {
	if m.How == nil {
		return Event{}, missing("How")
	}
	kind, err := translate(listKindWords, "How", *m.How)
	if err != nil {
		return Event{}, err
	}
	if kind == balancer.ListFailed {
		return Event{Event: balancer.EndpointList{Kind: kind}}, nil
	}
	if m.Sheet == nil {
		return Event{}, missing("Sheet")
	}
	list, ok := d.lists[*m.Sheet]
	if !ok {
		return Event{}, &UndefinedListError{Sheet: *m.Sheet}
	}
	return Event{Event: balancer.EndpointList{Kind: kind, Endpoints: list}}, nil
}

func (d *decoder) request(m *message) (Event, error) {
	if m.Job == nil || m.TierClass == nil || m.GraceMs == nil {
		return Event{}, missing("Job", "TierClass", "GraceMs")
	}
	request := balancer.Request{
		ID: *m.Job, Class: *m.TierClass, Timeout: clock.Milliseconds(*m.GraceMs), Key: m.Item, Tenant: m.Project,
		ClientRetry: m.StateBits&bitClientRetry != 0, Write: m.StateBits&bitWrite != 0,
	}
	if m.StateBits&bitWorkHint != 0 {
		request.Work = clock.Milliseconds(m.WorkHintMs)
	}
	return Event{Event: request}, nil
}

func (d *decoder) outcome(m *message) (Event, error) {
	if m.Job == nil || m.Outcome == nil || m.SendNo == nil || m.Backend == nil || m.WaitTimeMs == nil {
		return Event{}, missing("Job", "Outcome", "SendNo", "Backend", "WaitTimeMs")
	}
	result, err := translate(resultWords, "Outcome", *m.Outcome)
	if err != nil {
		return Event{}, err
	}
	return Event{Event: balancer.Outcome{
		Request: *m.Job, Attempt: *m.SendNo, Endpoint: *m.Backend, Result: result,
		Latency: clock.Milliseconds(*m.WaitTimeMs), Done: m.Ended, LoadReport: loadreport.FromValues(m.Usage),
	}}, nil
}

func (d *decoder) healthCheckResult(m *message) (Event, error) {
	if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
		return Event{}, missing("Backend", "Outcome", "WaitTimeMs")
	}
	result, err := translate(resultWords, "Outcome", *m.Outcome)
	if err != nil {
		return Event{}, err
	}
	return Event{Event: balancer.HealthCheckResult{
		Endpoint: *m.Backend, Result: result,
		Latency: clock.Milliseconds(*m.WaitTimeMs), LoadReport: loadreport.FromValues(m.Usage),
	}}, nil
}

func (d *decoder) streamStarted(m *message) (Event, error) {
	if m.Job == nil || m.SendNo == nil {
		return Event{}, missing("Job", "SendNo")
	}
	return Event{Event: balancer.StreamStarted{Request: *m.Job, Attempt: *m.SendNo}}, nil
}

func (d *decoder) abandoned(m *message) (Event, error) {
	if m.Job == nil {
		return Event{}, missing("Job")
	}
	return Event{Event: balancer.Abandoned{Request: *m.Job}}, nil
}

func (d *decoder) timerFired(m *message) (Event, error) {
	if m.Cookie == nil {
		return Event{}, missing("Cookie")
	}
	return Event{Event: balancer.TimerFired{Token: *m.Cookie}}, nil
}

func (d *decoder) gossipMessage(m *message) (Event, error) {
	if m.From == nil || m.Text == nil {
		return Event{}, missing("From", "Msg")
	}
	data, err := hex.DecodeString(*m.Text)
	if err != nil {
		return Event{}, &FieldError{Field: "Msg", Err: err}
	}
	return Event{Event: balancer.GossipMessage{From: *m.From, Data: data}}, nil
}

// translate returns what a word in a field stands for.
func translate[T any](words map[string]T, field, word string) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, &UnknownWordError{Field: field, Word: word}
	}
	return value, nil
}
