package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Chunk is an OpenAI-style response, or one event of a streamed response.
type Chunk struct {
	ID      ident.AttemptID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
}

// Choice holds generated text: Text for completions, Delta or Message for chat
// completions.
type Choice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	Delta        *engine.Message `json:"delta,omitempty"`
	Message      *engine.Message `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Usage counts tokens. CompletionTokens covers the whole response, including the
// part before the resume offset.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishLength is the finish reason of a response that reached its token limit.
const finishLength = "length"

// responseWriter writes the response to one request, streamed or whole.
type responseWriter struct {
	w      http.ResponseWriter
	r      *request
	chat   bool
	text   strings.Builder
	stream bool
}

func (rw *responseWriter) chunk(text string, finish bool) Chunk {
	choice := Choice{}
	object := "text_completion"
	msg := &engine.Message{Role: "assistant", Content: text}
	switch {
	case rw.chat && rw.stream:
		object, choice.Delta = "chat.completion.chunk", msg
	case rw.chat:
		object, choice.Message = "chat.completion", msg
	default:
		choice.Text = text
	}
	c := Chunk{ID: rw.r.record.Attempt, Object: object, Model: rw.r.body.Model}
	if finish {
		reason := finishLength
		choice.FinishReason = &reason
		prompt := engine.TokenCount(rw.r.prompt)
		c.Usage = &Usage{
			PromptTokens: prompt, CompletionTokens: rw.r.maxTokens, TotalTokens: prompt + rw.r.maxTokens,
		}
	}
	c.Choices = []Choice{choice}
	return c
}

func (rw *responseWriter) writeHeader() {
	if !rw.stream {
		return
	}
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.WriteHeader(http.StatusOK)
	rw.flush()
}

func (rw *responseWriter) writeEvent(offset int, c Chunk) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(rw.w, "id: %s:%d\ndata: %s\n\n", rw.r.record.Attempt, offset, b)
	rw.flush()
	return err
}

func (rw *responseWriter) flush() {
	if f, ok := rw.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (rw *responseWriter) writeHeartbeat() error {
	if !rw.stream {
		return nil
	}
	_, err := fmt.Fprint(rw.w, ": heartbeat\n\n")
	rw.flush()
	return err
}

func (rw *responseWriter) writeToken(offset int) error {
	text := Token(rw.r.record.PromptSum, offset)
	if rw.stream {
		return rw.writeEvent(offset, rw.chunk(text, false))
	}
	rw.text.WriteString(text)
	return nil
}

func (rw *responseWriter) writeEnd() error {
	if !rw.stream {
		httpd.WriteJSON(rw.w, http.StatusOK, rw.chunk(rw.text.String(), true))
		return nil
	}
	if err := rw.writeEvent(rw.r.maxTokens, rw.chunk("", true)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(rw.w, "data: %s\n\n", engine.DoneMarker)
	rw.flush()
	return err
}

func (e *Engine) handleCompletion(w http.ResponseWriter, hr *http.Request) {
	if e.cfg.RequestLimit > 0 {
		w.Header().Set(engine.HeaderRequestLimit, strconv.FormatFloat(e.cfg.RequestLimit, 'f', -1, 64))
	}
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set(engine.HeaderServerLeaving, "1")
	}
	r := e.parseRequest(w, hr)
	if r == nil || !e.admit(w, r) {
		return
	}
	rw := &responseWriter{w: w, r: r, chat: strings.Contains(hr.URL.Path, "chat"), stream: r.body.Stream}
	outcome := e.generate(hr, r, rw)
	if outcome == OutcomeDone && rw.writeEnd() != nil {
		outcome = OutcomeAborted
	}
	e.finishRequest(r, outcome)
	if outcome != OutcomeDone {
		panic(http.ErrAbortHandler)
	}
}

// generate writes the tokens and heartbeats of one request and returns the
// outcome.
func (e *Engine) generate(hr *http.Request, r *request, rw *responseWriter) string {
	rw.writeHeader()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	nextToken := time.NewTimer(time.Hour) // reset when the request starts
	defer nextToken.Stop()
	started, offset := r.started, r.resumeOffset
	for {
		select {
		case <-r.aborted:
			return r.outcome
		case <-hr.Context().Done():
			return OutcomeCanceled
		case <-heartbeat.C:
			if rw.writeHeartbeat() != nil {
				return OutcomeAborted
			}
		case <-started:
			started = nil
			nextToken.Reset(e.prefillTime(r))
		case <-nextToken.C:
			if offset >= r.maxTokens {
				return OutcomeDone
			}
			if rw.writeToken(offset) != nil {
				return OutcomeAborted
			}
			offset++
			e.countToken(r)
			if offset >= r.maxTokens {
				return OutcomeDone
			}
			nextToken.Reset(e.tokenInterval(r))
		}
	}
}
