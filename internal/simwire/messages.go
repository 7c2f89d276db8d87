package simwire

import (
	"encoding/json"

	"ashshunt/balancer"
)

// The kinds of messages that the simulator sends. Those from OpenInstance on hold one event each. KindOpenInstance is
// exported for errors about the start of an instance.
const (
	kindFrame        = "Frame"        // starts a batch
	kindEnd          = "End"          // ends a batch
	kindDefineList   = "DefineList"   // defines an endpoint list for use by later messages
	KindOpenInstance = "OpenInstance" // starts an instance
	kindRetire       = "Retire"       // kills an instance
	kindView         = "View"         // balancer.EndpointList
	kindSubmit       = "Submit"       // balancer.Request
	kindEnded        = "Ended"        // balancer.Outcome
	kindProbeDone    = "ProbeDone"    // balancer.HealthCheckResult
	kindStreaming    = "Streaming"    // balancer.StreamStarted
	kindExpired      = "Expired"      // balancer.Abandoned
	kindReminder     = "Reminder"     // balancer.TimerFired
	kindPeer         = "Peer"         // balancer.GossipMessage
)

// The kinds of messages in a reply.
const (
	kindTry          = "Try"          // balancer.Send
	kindCancel       = "Cancel"       // balancer.Cancel
	kindSayNo        = "SayNo"        // balancer.Reject
	kindDropRequest  = "DropRequest"  // balancer.Fail
	kindSetTimer     = "SetTimer"     // balancer.SetTimer
	kindTest         = "Test"         // balancer.HealthCheck
	kindWritePeer    = "WritePeer"    // balancer.Gossip
	kindKeepInformed = "KeepInformed" // balancer.Subscribe, balancer.Unsubscribe
	kindListAll      = "ListAll"      // balancer.PollEndpoints
	kindCloseIdle    = "CloseIdle"    // balancer.CloseIdle
	kindTrace        = "Trace"        // balancer.LogMessage
	kindBroken       = "Broken"       // an instance has failed with an internal error
	kindEndOfReply   = "Eor"          // ends a reply
)

// message holds the fields of all kinds of messages from the simulator, with their names on the wire. A field is a
// pointer if some kind of message requires it. Errors of encoding/json contain the name of this type.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int // number of the instance
	RandomSeed *uint64
	Facts      json.RawMessage // the settings object
	Sheet      *int            // number of an endpoint list
	Items      *[]listItem
	How        *string            // kind of the endpoint list
	Job        *string            // request ID
	TierClass  *int               // class of the request
	Project    int                // tenant of the request
	Item       string             // key of the request
	GraceMs    *float64           // timeout of the client
	WorkHintMs float64            // expected service time
	StateBits  int                // flags of the request; see bitWorkHint and the following
	Outcome    *string            // result of an attempt or a health check
	WaitTimeMs *float64           // latency
	Backend    *string            // endpoint ID
	SendNo     *int               // attempt number, from 0
	Ended      bool               // the request has its final answer
	Usage      map[string]float64 // load report
	Cookie     *int64             // timer token
	From       *int               // number of the instance that sent the gossip message
	Text       *string            `json:"Msg"` // gossip message, in hexadecimal
}

// listItem is one endpoint of a list, with its names on the wire.
type listItem struct {
	Backend      string  // ID
	Availability string  // state
	Rating       float64 // weight
	Block        int     // cell
	LaunchedMs   float64 // start time of its process
	Sku          int     // machine kind
	Dc           int     // zone
}

// The bits of message.StateBits.
const (
	bitWorkHint    = 1 // WorkHintMs is set
	bitClientRetry = 2 // the request is a client's retry
	bitWrite       = 4 // the request is a write
)

// enumField maps the words that a field of a message may hold to their values. internal/config does this for the
// settings object, with errors that contain the path of a setting.
type enumField[T any] struct {
	name   string
	values map[string]T
}

var resultField = enumField[balancer.Result]{"Outcome", map[string]balancer.Result{
	"pass":       balancer.Served,
	"fault":      balancer.ServerError,
	"no_room":    balancer.Rejected,
	"too_slow":   balancer.TimedOut,
	"no_route":   balancer.ConnectFailed,
	"cut":        balancer.Reset,
	"undone":     balancer.Cancelled,
	"stale_send": balancer.NotSent,
}}

var listKindField = enumField[balancer.ListKind]{"How", map[string]balancer.ListKind{
	"diff":     balancer.ListDelta,
	"snapshot": balancer.ListComplete,
	"disk":     balancer.ListCached,
	"error":    balancer.ListFailed,
}}

var endpointStateField = enumField[balancer.EndpointState]{"Availability", map[string]balancer.EndpointState{
	"on":     balancer.Serving,
	"fading": balancer.Draining,
	"off":    balancer.Removed,
}}

// parse returns the value that a word stands for, or an *UnknownWordError.
func (f *enumField[T]) parse(word string) (T, error) {
	value, ok := f.values[word]
	if !ok {
		return value, &UnknownWordError{Field: f.name, Word: word}
	}
	return value, nil
}
