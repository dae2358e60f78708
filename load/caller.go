// Package load provides clients that use the system as its callers do: they look
// up the address of an entry instance, cache it for its time to live, stream
// completions, place orders with idempotency keys, and verify the text of
// completions.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
)

// Timeouts of callers.
const (
	// requestTimeout bounds one HTTP request of a caller.
	requestTimeout = 30 * time.Second
	// lookupTimeout bounds one lookup.
	lookupTimeout = time.Second
)

// Outcome is how a request ended from the caller's view.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered"
	// Late is a correct answer whose first token came after the deadline.
	Late    Outcome = "late"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Cut is a stream that ended without its end marker.
	Cut Outcome = "cut"
	// Wrong is an answer that differs from the expected text.
	Wrong Outcome = "wrong"
	// Failed is a request without a usable HTTP response.
	Failed Outcome = "failed"
)

// Result describes a finished request.
type Result struct {
	Outcome      Outcome
	Status       int
	Detail       string
	Start        time.Time
	FirstToken   time.Duration
	Duration     time.Duration
	EntryAddress string
}

// Caller sends the requests of a client account.
type Caller struct {
	key  string
	http *http.Client

	mu           sync.Mutex
	seeds        []string
	addresses    []string
	lookupExpiry time.Time
	addressIndex int
}

// NewCaller returns a caller that looks up entry instances at seed addresses.
func NewCaller(key string, seeds []string) *Caller {
	return &Caller{
		key:   key,
		seeds: seeds,
		http: &http.Client{
			Timeout:   requestTimeout,
			Transport: httpconn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}),
		},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// address returns the address of an entry instance, in turn. It repeats the
// lookup if the cached answer has expired.
func (c *Caller) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressIndex++
	if time.Now().After(c.lookupExpiry) {
		c.refresh(ctx)
	}
	if len(c.addresses) == 0 {
		return c.seeds[c.addressIndex%len(c.seeds)]
	}
	return c.addresses[c.addressIndex%len(c.addresses)]
}

// refresh looks addresses up at the known entry instances in turn until one
// answers. It requires c.mu to be held.
func (c *Caller) refresh(ctx context.Context) {
	known := append(append([]string{}, c.addresses...), c.seeds...)
	for i := range known {
		addr := known[(c.addressIndex+i)%len(known)]
		answer, err := c.lookup(ctx, addr)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = c.addresses[:0]
		for _, a := range answer.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.lookupExpiry = time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
		return
	}
}

func (c *Caller) lookup(ctx context.Context, addr string) (gateway.LookupAnswer, error) {
	var answer gateway.LookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/lookup", nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("lookup: %s", resp.Status)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// expireLookup expires the cached lookup answer after a request to an address
// failed.
func (c *Caller) expireLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookupExpiry = time.Time{}
}

// Header is an additional header of a request.
type Header struct{ Name, Value string }

func (c *Caller) post(ctx context.Context, addr, path string, body []byte, headers ...Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	return c.http.Do(req)
}

// Stream requests a streamed completion and verifies the whole text. An answer
// whose first token comes after the deadline is Late.
func (c *Caller) Stream(ctx context.Context, req engine.CompletionRequest, deadline time.Duration) Result {
	return c.StreamAt(ctx, c.address(ctx), req, deadline)
}

// StreamAt is like Stream, through the entry instance at addr.
func (c *Caller) StreamAt(ctx context.Context, addr string, req engine.CompletionRequest, deadline time.Duration) Result {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return Result{Outcome: Failed, Detail: err.Error()}
	}
	r := Result{Start: time.Now(), EntryAddress: addr}
	resp, err := c.post(ctx, addr, "/v1/completions", body)
	if err != nil {
		c.expireLookup()
		return r.finish(Failed, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return r.finishWithProblem(resp.Body)
	}
	text, done := r.readStream(resp.Body)
	switch {
	case !done:
		return r.finish(Cut, "stream ended without its end marker")
	case text != standin.ExpectedText(&req, req.MaxTokens):
		return r.finish(Wrong, "text differs from the expected answer")
	case r.FirstToken > deadline:
		return r.finish(Late, "")
	}
	return r.finish(Answered, "")
}

// finish returns the result with its outcome and duration set.
func (r Result) finish(o Outcome, detail string) Result {
	r.Outcome, r.Detail = o, detail
	r.Duration = time.Since(r.Start)
	return r
}

// finishWithProblem decodes problem details from a response body. The outcome is
// NotRun if they state that the request did not run, and otherwise Unknown. It is
// Failed if the body has no problem details.
func (r Result) finishWithProblem(body io.Reader) Result {
	var p gateway.Problem
	const maxProblemBytes = 64 << 10
	if err := json.NewDecoder(io.LimitReader(body, maxProblemBytes)).Decode(&p); err != nil {
		return r.finish(Failed, "no problem details: "+err.Error())
	}
	switch p.Outcome {
	case gateway.OutcomeNotRun:
		return r.finish(NotRun, p.Type+" "+p.Detail)
	default:
		return r.finish(Unknown, p.Type+" "+p.Detail)
	}
}

type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream returns the text of a stream and whether its end marker was read.
func (r *Result) readStream(body io.Reader) (string, bool) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engine.DoneMarker {
			return text.String(), true
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(r.Start)
		}
		var c streamChunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return text.String(), false
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), false
}

// Order places an order under an idempotency key through the entry instance at
// addr, or through the next one if addr is empty. headers are added to the
// request.
func (c *Caller) Order(ctx context.Context, addr, path, key string, body []byte, headers ...Header) Result {
	if addr == "" {
		addr = c.address(ctx)
	}
	r := Result{Start: time.Now(), EntryAddress: addr}
	resp, err := c.post(ctx, addr, path, body, append(headers, Header{gateway.HeaderIdempotencyKey, key})...)
	if err != nil {
		c.expireLookup()
		return r.finish(Failed, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status = resp.StatusCode
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return r.finishWithProblem(resp.Body)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return r.finish(Failed, err.Error())
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return r.finish(Failed, resp.Status)
	}
	return r.finish(Answered, "")
}

// Ticket requests an idempotency key that is valid while the store is down. It
// returns the key and the address of the entry instance that may run the order.
func (c *Caller) Ticket(ctx context.Context, service string) (key, addr string, err error) {
	body, err := json.Marshal(gateway.TicketRequest{Service: ident.ServiceName(service)})
	if err != nil {
		return "", "", errors.Wrap(err, "encode ticket request")
	}
	resp, err := c.post(ctx, c.address(ctx), "/v1/tickets", body)
	if err != nil {
		c.expireLookup()
		return "", "", errors.Wrap(err, "request a ticket")
	}
	defer func() { _ = resp.Body.Close() }()
	var answer gateway.TicketAnswer
	if resp.StatusCode >= http.StatusMultipleChoices {
		return "", "", errors.Errorf("request a ticket: %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", "", errors.Wrap(err, "decode ticket")
	}
	return answer.Ticket, answer.Address, nil
}
