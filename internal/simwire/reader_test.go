package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// openInstance returns the message that starts instance 1. It joins the lines of the settings object.
func openInstance(seed int, settings string) string {
	return fmt.Sprintf(`{"msg":"OpenInstance","Agent":1,"RandomSeed":%d,"Facts":%s}`, seed,
		strings.ReplaceAll(settings, "\n", ""))
}

// The text of an error contains the line number, the kind of the message, and the cause.
func TestErrorTexts(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"not JSON", batchOf("{oops"), "line 2: "},
		{"unknown message", batchOf(`{"msg":"Nope","Agent":1}`), "line 2: Nope: unknown message kind"},
		{"missing field", batchOf(`{"msg":"Submit","Agent":1,"Job":"x"}`),
			"line 2: Submit: missing field Job, TierClass or GraceMs"},
		{"missing instance", batchOf(`{"msg":"Expired","Job":"x"}`), "line 2: Expired: missing field Agent"},
		{"ill-typed field", batchOf(`{"msg":"Expired","Agent":"one","Job":"x"}`), "line 2: "},
		{"list never defined", batchOf(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`),
			"line 2: View: Sheet: endpoint list 5 is not defined"},
		{"unknown outcome", batchOf(`{"msg":"Ended","Agent":1,"Job":"x","Outcome":"huh","WaitTimeMs":1,` +
			`"Backend":"b","SendNo":0}`), `line 2: Ended: Outcome: unknown value "huh"`},
		{"unknown idempotency", batchOf(openInstance(1, `{"Profiles":[{"Semantics":"maybe"}]}`)),
			`Profiles[0].Semantics: unknown idempotency "maybe"`},
		{"unknown weights", batchOf(openInstance(1, `{"Weights":"x"}`)), `Weights: unknown weight type "x"`},
		{"unknown report source", batchOf(openInstance(1, `{"Report":{"Source":"x"}}`)),
			`Report.Source: unknown load report source "x"`},
		{"ill-typed setting", batchOf(openInstance(1, `{"Goal":{"Whole":"much"}}`)), "Goal.Whole"},
		{"ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", "line 1: input ended inside a batch"},
		{"frame without clock", "{\"msg\":\"Frame\"}\n", "line 1: Frame: missing field ClockMs"},
		{"event outside a batch", "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"x\"}\n",
			`line 1: got message "Expired" outside a batch, want Frame`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// A caller can determine the cause and the position of an error from its type and fields, without parsing the text.
func TestErrorTypes(t *testing.T) {
	tests := []struct {
		name, in string
		line     int
		message  string
		is       func(error) bool
	}{
		{"ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", 1, "", isError(ErrUnfinishedBatch)},
		{"batch within a batch", batchOf(`{"msg":"Frame","ClockMs":2}`), 2, "", isError(ErrNestedBatch)},
		{"outside a batch", `{"msg":"Expired","Agent":1,"Job":"x"}`, 1, "", isType[*OutsideBatchError]},
		{"unknown message", batchOf(`{"msg":"Nope","Agent":1}`), 2, "Nope", isError(ErrUnknownMessage)},
		{"missing fields", batchOf(`{"msg":"Submit","Agent":1}`), 2, "Submit", isType[*MissingFieldError]},
		{"unknown word", batchOf(`{"msg":"View","Agent":1,"How":"x"}`), 2, "View", isType[*UnknownWordError]},
		{"undefined list", batchOf(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`), 2, "View",
			isType[*UndefinedListError]},
		{"unreadable bytes", batchOf(`{"msg":"Peer","Agent":1,"From":2,"Msg":"6"}`), 2, "Peer", isType[*FieldError]},
		{"not JSON", batchOf("{oops"), 2, "", isType[*json.SyntaxError]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			var at *LineError
			if !errors.As(err, &at) || at.Line != tt.line || at.Message != tt.message || !tt.is(err) {
				t.Errorf("got error %#v (%v), want another type, or line %d and message %q",
					err, err, tt.line, tt.message)
			}
		})
	}
}

func isError(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

func isType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

func TestMissingFieldText(t *testing.T) {
	for _, tt := range []struct {
		fields []string
		want   string
	}{
		{[]string{"Agent"}, "missing field Agent"},
		{[]string{"From", "Msg"}, "missing field From or Msg"},
		{[]string{"Job", "TierClass", "GraceMs"}, "missing field Job, TierClass or GraceMs"},
	} {
		if got := newMissingFieldError(tt.fields...).Error(); got != tt.want {
			t.Errorf("got %q, want %q", got, tt.want)
		}
	}
}

// Lines and batches of several megabytes, far beyond the size of the buffer, are read completely.
func TestLongBatch(t *testing.T) {
	var in strings.Builder
	for i := range 50000 {
		fmt.Fprintf(&in, "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"%016x\"}\n", i)
	}
	pad := `{"msg":"Expired","Agent":1,"Job":"x","Later":"` + strings.Repeat("y", 3<<20) + `"}`
	b, err := NewReader(strings.NewReader(batchOf(in.String() + pad))).Next()
	if err != nil || len(b.Events) != 50001 {
		t.Fatalf("got error %v and %d events, want 50001 events", err, len(b.Events))
	}
}

// Any input results in a batch or an error, and never in a panic.
func FuzzNext(f *testing.F) {
	f.Add(batchOf(`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"Project":-1,"Item":""}`))
	f.Add(batchOf(`{"msg":"DefineList","Sheet":3,"Items":[{"Backend":"a","Availability":"on"}]}`,
		`{"msg":"View","Agent":3,"How":"diff","Sheet":3}`))
	f.Add(batchOf(openInstance(1, allSettings)))
	f.Add(batchOf(`{"msg":"Peer","Agent":3,"From":2,"Msg":"6"}`))
	f.Add("{\"msg\":\"End\"}\n")
	f.Add("null\n[]\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			b, err := r.Next()
			if err != nil {
				return
			}
			if b == nil {
				t.Fatal("got neither a batch nor an error")
			}
		}
	})
}
