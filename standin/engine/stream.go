package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Chunk is one OpenAI-style answer or part of a stream.
type Chunk struct {
	ID      ident.AttemptID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
}

// Choice carries text in the form of the path that was called.
type Choice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	Delta        *engine.Message `json:"delta,omitempty"`
	Message      *engine.Message `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Usage counts tokens. CompletionTokens counts the whole answer, including the
// part before the resume offset.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishLength is the finish reason of an answer that reached its token limit.
const finishLength = "length"

// answerWriter writes an answer to one caller, streamed or whole.
type answerWriter struct {
	w      http.ResponseWriter
	r      *request
	chat   bool
	text   strings.Builder
	stream bool
}

func (a *answerWriter) chunk(text string, finish bool) Chunk {
	choice := Choice{}
	object := "text_completion"
	msg := &engine.Message{Role: "assistant", Content: text}
	switch {
	case a.chat && a.stream:
		object, choice.Delta = "chat.completion.chunk", msg
	case a.chat:
		object, choice.Message = "chat.completion", msg
	default:
		choice.Text = text
	}
	c := Chunk{ID: a.r.served.Attempt, Object: object, Model: a.r.body.Model}
	if finish {
		reason := finishLength
		choice.FinishReason = &reason
		prompt := engine.TokenCount(a.r.prompt)
		c.Usage = &Usage{
			PromptTokens: prompt, CompletionTokens: a.r.maxTokens, TotalTokens: prompt + a.r.maxTokens,
		}
	}
	c.Choices = []Choice{choice}
	return c
}

func (a *answerWriter) open() {
	if !a.stream {
		return
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
}

func (a *answerWriter) frame(offset int, c Chunk) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.w, "id: %s:%d\ndata: %s\n\n", a.r.served.Attempt, offset, b)
	a.flush()
	return err
}

func (a *answerWriter) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (a *answerWriter) heartbeat() error {
	if !a.stream {
		return nil
	}
	_, err := fmt.Fprint(a.w, ": heartbeat\n\n")
	a.flush()
	return err
}

func (a *answerWriter) token(offset int) error {
	text := Token(a.r.served.PromptSum, offset)
	if a.stream {
		return a.frame(offset, a.chunk(text, false))
	}
	a.text.WriteString(text)
	return nil
}

func (a *answerWriter) finish() error {
	if !a.stream {
		httpd.WriteJSON(a.w, http.StatusOK, a.chunk(a.text.String(), true))
		return nil
	}
	if err := a.frame(a.r.maxTokens, a.chunk("", true)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.w, "data: %s\n\n", engine.DoneMarker)
	a.flush()
	return err
}

func (e *Engine) handleCompletion(w http.ResponseWriter, hr *http.Request) {
	r := e.parse(w, hr)
	if r == nil || !e.admit(w, r) {
		return
	}
	a := &answerWriter{w: w, r: r, chat: strings.Contains(hr.URL.Path, "chat"), stream: r.body.Stream}
	outcome := e.generate(hr, r, a)
	if outcome == OutcomeDone && a.finish() != nil {
		outcome = OutcomeCut
	}
	e.release(r, outcome)
	if outcome != OutcomeDone {
		panic(http.ErrAbortHandler)
	}
}

// generate writes the tokens and heartbeats of one request.
func (e *Engine) generate(hr *http.Request, r *request, a *answerWriter) string {
	a.open()
	beat := time.NewTicker(HeartbeatInterval)
	defer beat.Stop()
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	start, offset := r.start, r.resume
	for {
		select {
		case <-r.end:
			return r.outcome
		case <-hr.Context().Done():
			return OutcomeCanceled
		case <-beat.C:
			if a.heartbeat() != nil {
				return OutcomeCut
			}
		case <-start:
			start = nil
			next.Reset(e.firstTokenDelay(r))
		case <-next.C:
			if offset >= r.maxTokens {
				return OutcomeDone
			}
			if a.token(offset) != nil {
				return OutcomeCut
			}
			offset++
			e.grow(r)
			if offset >= r.maxTokens {
				return OutcomeDone
			}
			next.Reset(e.tokenInterval(r))
		}
	}
}
