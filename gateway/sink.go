package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
)

// errParked ends an attempt because the caller has stopped reading. The rest of
// the answer is produced when the caller reads again.
var errParked = errors.New("caller has stopped reading: the answer is parked")

// errCallerGone ends a request whose caller has closed its connection.
var errCallerGone = errors.New("caller closed its connection")

// maxCollectedBytes limits an answer that is collected before it is sent.
const maxCollectedBytes = 4 << 20

// sseSink writes an answer as server-sent events.
type sseSink struct {
	w        io.Writer
	flush    func() error
	conn     *stallConn
	answerID string
	started  bool
	buf      []byte
}

// Token implements Sink.
func (s *sseSink) Token(offset int, data []byte) error {
	s.started = true
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, s.answerID...)
	s.buf = append(s.buf, ':')
	s.buf = strconv.AppendInt(s.buf, int64(offset), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(s.buf)
}

// Finish implements Sink.
func (s *sseSink) Finish(int) error {
	s.started = true
	if err := s.write([]byte("data: " + engine.DoneMarker + "\n\n")); err != nil {
		return err
	}
	return s.Flush()
}

// Started implements Sink.
func (s *sseSink) Started() bool { return s.started }

func (s *sseSink) write(b []byte) error {
	if _, err := s.w.Write(b); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return s.stallError()
}

// Flush sends the buffered data.
func (s *sseSink) Flush() error {
	if err := s.flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return s.stallError()
}

func (s *sseSink) stallError() error {
	if s.conn != nil && s.conn.stalled() {
		return errParked
	}
	return nil
}

// jsonSink collects an answer and writes it as one JSON document.
type jsonSink struct {
	w            http.ResponseWriter
	request      *Request
	text         strings.Builder
	finishReason string
	started      bool
}

// tokenFrame contains the fields of an engine's token frame that the gateway uses.
type tokenFrame struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Token implements Sink.
func (s *jsonSink) Token(_ int, data []byte) error {
	var c tokenFrame
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(engine.ErrBadFrame, err.Error())
	}
	for _, choice := range c.Choices {
		s.text.WriteString(choice.Text)
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.finishReason = *choice.FinishReason
		}
	}
	if s.text.Len() > maxCollectedBytes {
		return ProblemBackendFailed.WithDetail("answer exceeds %d bytes: set stream to true", maxCollectedBytes)
	}
	return nil
}

// Started implements Sink.
func (s *jsonSink) Started() bool { return s.started }

type completionChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	Message      *engine.Message `json:"message,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// Finish implements Sink.
func (s *jsonSink) Finish(tokens int) error {
	s.started = true
	choice := completionChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.request.Path == chatPath {
		object = "chat.completion"
		choice.Message = &engine.Message{Role: "assistant", Content: s.text.String()}
	} else {
		choice.Text = s.text.String()
	}
	s.w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(s.w).Encode(completionAnswer{
		ID:      s.request.AnswerID,
		Object:  object,
		Model:   string(s.request.Name),
		Choices: []completionChoice{choice},
		Usage:   completionUsage{CompletionTokens: tokens},
	})
	return errors.Wrap(err, "write answer")
}
