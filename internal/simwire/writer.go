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

// Actions writes the actions of one instance.
func (w *Writer) Actions(agent int, actions []balancer.Action) error {
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

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) error {
	w.encoder.begin(kindBroken, agent).text("Msg", text)
	return w.writeLine()
}

// End closes a reply and flushes it.
func (w *Writer) End() error {
	w.encoder.beginReplyEnd()
	if err := w.writeLine(); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) writeLine() error {
	_, err := w.out.Write(w.encoder.end())
	return err
}
