package simwire

import (
	"bufio"
	"fmt"
	"io"

	"ashshunt/balancer"
)

// Writer writes replies. Each consists of the messages of Actions and Broken, and is closed by End.
type Writer struct {
	out     *bufio.Writer
	encoder lineEncoder // of the message that is being written
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, bufferSize)} }

// UnknownActionError reports an action that has no form on the wire.
type UnknownActionError struct{ Action balancer.Action }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("no wire form for action %T", e.Action)
}

// WriteActions writes the actions of one instance.
func (w *Writer) WriteActions(agent int, actions []balancer.Action) error {
	for _, action := range actions {
		if err := w.encoder.encode(agent, action); err != nil {
			return err
		}
		if err := w.writeLine(); err != nil {
			return err
		}
	}
	return nil
}

// WriteBroken reports that the decision code of an instance has failed.
func (w *Writer) WriteBroken(agent int, text string) error {
	w.encoder.startMessage(kindBroken, agent).text("Msg", text)
	return w.writeLine()
}

// FinishReply closes a reply and flushes it.
func (w *Writer) FinishReply() error {
	w.encoder.startReplyEnd()
	if err := w.writeLine(); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) writeLine() error {
	_, err := w.out.Write(w.encoder.finish())
	return err
}
