package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Limits and defaults of decoded requests.
const (
	// defaultMaxTokens is used if a completion request sets no max_tokens.
	defaultMaxTokens = 256
	// maxCompletionTokens limits max_tokens. A larger value could overflow the sum
	// of the tokens held at a backend server.
	maxCompletionTokens = 1 << 24
	// maxDeadline limits the deadline that a caller may request.
	maxDeadline = 10 * time.Minute
	// servicesPrefix is the path prefix of calls to plain services.
	servicesPrefix = "/services/"
)

// decodeCompletion decodes a chat or text completion call.
func (g *Gateway) decodeCompletion(_ context.Context, h *http.Request) (any, error) {
	r, err := g.decodeCommon(h)
	if err != nil {
		return nil, err
	}
	r.Completion = &engine.CompletionRequest{}
	if err := json.Unmarshal(r.Body, r.Completion); err != nil {
		return nil, ProblemBadRequest.WithDetail("body is not a JSON completion request: %v", err)
	}
	if !r.Completion.Stream {
		// Attempts are always streamed, so that they can be resumed.
		if r.Body, err = withStreaming(r.Body); err != nil {
			return nil, ProblemBadRequest.WithDetail("body is not a JSON object: %v", err)
		}
	}
	if r.Completion.MaxTokens > maxCompletionTokens {
		return nil, ProblemBadRequest.WithDetail("max_tokens exceeds %d", maxCompletionTokens)
	}
	r.Name = ident.ServiceName(r.Completion.Model)
	r.Idempotent = true
	r.Tokens = estimateTokens(r.Completion)
	if err := r.decodeLastEventID(h.Header.Get(HeaderLastEventID)); err != nil {
		return nil, err
	}
	return r, nil
}

// decodePlain decodes a call to a plain service.
func (g *Gateway) decodePlain(_ context.Context, h *http.Request) (any, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(h.URL.Path, servicesPrefix), "/")
	r, err := g.decodeCommon(h)
	if err != nil {
		return nil, err
	}
	r.Name = ident.ServiceName(name)
	r.Path = "/" + rest
	r.Query = h.URL.RawQuery
	return r, nil
}

func (g *Gateway) decodeCommon(h *http.Request) (*Request, error) {
	r := &Request{
		Arrived:        g.now(),
		Method:         h.Method,
		Path:           h.URL.Path,
		ContentType:    h.Header.Get("Content-Type"),
		IdempotencyKey: h.Header.Get(HeaderIdempotencyKey),
		AnswerID:       uuid.NewString(),
	}
	if err := r.decodeHeaders(h.Header); err != nil {
		return nil, err
	}
	body, err := readBody(h, g.opts.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	r.Body = body
	return r, nil
}

func (r *Request) decodeHeaders(h http.Header) error {
	sum, ok := keySHA256(h.Get("Authorization"))
	if !ok {
		return ProblemUnknownAccount.WithDetail("no bearer key")
	}
	r.KeySHA256 = sum
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 || int64(ms) > maxDeadline.Milliseconds() {
			return ProblemBadRequest.WithDetail("%s: %q is not a number of milliseconds up to %d", HeaderDeadline, v, maxDeadline.Milliseconds())
		}
		r.CallerDeadline = time.Duration(ms) * time.Millisecond
	}
	switch v := h.Get(HeaderFirstCall); v {
	case "true":
		r.FirstCall = true
	case "", "false":
	default:
		return ProblemBadRequest.WithDetail("%s: %q is neither true nor false", HeaderFirstCall, v)
	}
	if v := h.Get(HeaderPriority); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil {
			return ProblemBadRequest.WithDetail("%s: %q is not a number", HeaderPriority, v)
		}
		r.CallerPriority, r.HasPriority = p, true
	}
	return nil
}

// keySHA256 returns the hash of the bearer key in an Authorization header.
func keySHA256(authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), true
}

// readBody reads the body of a request and refuses one that exceeds the limit.
func readBody(h *http.Request, limit int64) ([]byte, error) {
	if h.Body == nil || h.ContentLength == 0 {
		return nil, nil
	}
	if h.ContentLength > limit {
		return nil, ProblemBodyTooLarge.WithDetail("limit is %d bytes", limit)
	}
	b, err := io.ReadAll(http.MaxBytesReader(nil, h.Body, limit))
	var tooLarge *http.MaxBytesError
	var problem *Problem
	switch {
	case errors.As(err, &problem):
		return nil, problem
	case errors.As(err, &tooLarge):
		return nil, ProblemBodyTooLarge.WithDetail("limit is %d bytes", limit)
	case err != nil:
		return nil, ProblemBadRequest.WithDetail("body could not be read: %v", err)
	}
	return b, nil
}

// decodeLastEventID makes the answer resume after the last event that the caller
// received.
func (r *Request) decodeLastEventID(id string) error {
	if id == "" {
		return nil
	}
	answer, offset, ok := strings.Cut(id, ":")
	n, err := strconv.Atoi(offset)
	if !ok || err != nil || n < 0 || answer == "" {
		return ProblemBadRequest.WithDetail("%s: %q is not <answer>:<offset>", HeaderLastEventID, id)
	}
	r.AnswerID = answer
	r.Assembler.SetOffset(n + 1)
	return nil
}

// withStreaming returns a completion body with streaming enabled and all other
// fields unchanged.
func withStreaming(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

func estimateTokens(c *engine.CompletionRequest) int {
	n := len(c.Prompt)
	for _, m := range c.Messages {
		n += len(m.Content)
	}
	answer := c.MaxTokens
	if answer <= 0 {
		answer = defaultMaxTokens
	}
	return n/engine.BytesPerToken + answer
}
