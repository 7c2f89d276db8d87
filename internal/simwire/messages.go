package simwire

import (
	"encoding/json"

	"ashshunt/balancer"
)

// The kinds of message that the simulator sends. Those from OpenInstance on hold one event each. KindOpenInstance is
// exported for the errors of whoever opens instances.
const (
	kindFrame        = "Frame"        // starts a batch
	kindEnd          = "End"          // ends a batch
	kindDefineList   = "DefineList"   // defines an endpoint list, to which later messages refer
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

// The kinds of message in a reply.
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
	kindBroken       = "Broken"       // the decision code of an instance has failed
	kindEndOfReply   = "Eor"          // ends a reply
)

// message holds the fields of every message from the simulator, named as on the wire. Pointers mark those that some
// message must carry. Errors of encoding/json name the type.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int // number of the instance
	RandomSeed *uint64
	Facts      json.RawMessage // the settings object
	Sheet      *int            // number of an endpoint list
	Items      *[]listItem
	How        *string  // kind of an endpoint list
	Job        *string  // ID of a request
	TierClass  *int     // class of a request
	Project    int      // tenant of a request
	Item       string   // key of a request
	GraceMs    *float64 // until the client stops waiting
	WorkHintMs float64  // expected service time
	StateBits  int
	Outcome    *string
	WaitTimeMs *float64           // latency
	Backend    *string            // ID of an endpoint
	SendNo     *int               // number of an attempt
	Ended      bool               // the request has its final answer
	Usage      map[string]float64 // load report
	Cookie     *int64             // token of a timer
	From       *int               // number of the instance that sent a gossip message
	Text       *string            `json:"Msg"` // gossip message, in hexadecimal
}

// listItem is one endpoint of a list, named as on the wire.
type listItem struct {
	Backend      string  // ID
	Availability string  // state
	Rating       float64 // weight
	Block        int     // cell
	LaunchedMs   float64 // start of its process
	Sku          int     // machine kind
	Dc           int     // zone
}

// The bits of StateBits.
const (
	bitWorkHint    = 1 // WorkHintMs holds a value
	bitClientRetry = 2
	bitWrite       = 4
)

// enumField gives the meanings of the words that one field of a message may hold. internal/config looks up those of
// the settings object, whose errors say more.
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

// parse returns an *UnknownWordError for a word that the field may not hold.
func (v *enumField[T]) parse(word string) (T, error) {
	value, ok := v.values[word]
	if !ok {
		return value, &UnknownWordError{Field: v.name, Word: word}
	}
	return value, nil
}
