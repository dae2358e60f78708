package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// Limits of the client.
const (
	// requestTimeout bounds a call whose context has no earlier deadline.
	requestTimeout = 2 * time.Second
	// maxResponseBytes bounds the part of a response that is read.
	maxResponseBytes = 16 << 20
)

// GetRequest is the body of a table read.
type GetRequest struct {
	RowKey
}

// ScanRequest is the body of a table scan.
type ScanRequest struct {
	Table string `json:"table"`
	After string `json:"after"`
	Limit int    `json:"limit"`
}

// ScanResponse lists rows in key order.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// TxnResponse is the response to a transaction: the version of its writes.
type TxnResponse struct {
	Version uint64 `json:"version"`
}

// InstancesResponse is the response with the instance list.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// Client is a client of the platform's HTTP protocol. It implements Table, ObjectStore,
// InstanceList and EraReporter.
type Client struct {
	base      string
	http      *http.Client
	transport httpconn.Transport
	era       atomic.Uint64
}

var (
	_ Table        = (*Client)(nil)
	_ ObjectStore  = (*Client)(nil)
	_ InstanceList = (*Client)(nil)
	_ EraReporter  = (*Client)(nil)
)

// NewClient returns a client for the platform at a base URL such as
// http://127.0.0.1:7000.
func NewClient(base string) *Client {
	transport := httpconn.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:   16,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: requestTimeout,
	})
	return &Client{base: base, http: &http.Client{Transport: transport}, transport: transport}
}

// DialFrom sets the local address of connections. Call it before the first
// call.
func (c *Client) DialFrom(local netip.Addr) { c.transport.DialWith(dial.From(local, 0)) }

// Era implements EraReporter.
func (c *Client) Era() uint64 { return c.era.Load() }

// observeEra raises the era to the one that an answer names. An answer without the
// header, or with a malformed one, names none.
func (c *Client) observeEra(h http.Header) {
	named, err := strconv.ParseUint(h.Get(EraHeader), 10, 64)
	if err != nil {
		return
	}
	for seen := c.era.Load(); named > seen; seen = c.era.Load() {
		if c.era.CompareAndSwap(seen, named) {
			return
		}
	}
}

// Txn implements Table.
func (c *Client) Txn(ctx context.Context, t Txn) (uint64, error) {
	var out TxnResponse
	err := c.call(ctx, "/table/txn", t, &out)
	return out.Version, err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key RowKey) (Row, error) {
	var row Row
	err := MapReadError(c.call(ctx, "/table/get", GetRequest{key}, &row))
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]Row, error) {
	var out ScanResponse
	req := ScanRequest{Table: table, After: after, Limit: limit}
	err := MapReadError(c.call(ctx, "/table/scan", req, &out))
	return out.Rows, err
}

// ListInstances implements InstanceList by a conditional request. The version is the
// ETag of the response, or a hash of the body if there is none. In the latter case an
// unchanged list is transferred, but not decoded.
func (c *Client) ListInstances(ctx context.Context, known string) (Listing, error) {
	header := make(http.Header)
	if known != "" {
		header.Set("If-None-Match", known)
	}
	a, err := c.send(ctx, http.MethodGet, "/instances", nil, header)
	switch {
	case err != nil:
		return Listing{}, MapReadError(err)
	case a.status == http.StatusNotModified && known != "":
		return Listing{Version: known, Unchanged: true}, nil
	}
	if err := statusError(a.status, a.body); err != nil {
		return Listing{}, MapReadError(err)
	}
	version := a.tag
	if version == "" {
		version = strconv.Quote(strconv.FormatUint(xxhash.Sum64(a.body), 16))
	}
	if version == known {
		return Listing{Version: known, Unchanged: true}, nil
	}
	var list InstancesResponse
	err = errors.Wrap(json.Unmarshal(a.body, &list), "decode platform response")
	return Listing{Version: version, Instances: list.Instances}, err
}

// Instances reads the instance list unconditionally.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	list, err := c.ListInstances(ctx, "")
	return list.Instances, err
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), value)
	return err
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	b, err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil)
	if errors.Is(err, ErrRowNotFound) {
		return nil, ErrObjectNotFound
	}
	return b, MapReadError(err)
}

// DeleteObject implements ObjectStore.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.do(ctx, http.MethodDelete, "/objects/"+url.PathEscape(key), nil)
	return err
}

// MapReadError maps ErrOutcomeUnknown to ErrUnavailable for reads: a read has no
// effect, so there is no outcome to find out.
func MapReadError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// call sends a request to the table service.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode platform request")
	}
	b, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode platform response")
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	a, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return nil, err
	}
	return a.body, statusError(a.status, a.body)
}

// rawResponse is a response of the platform whose body is not decoded.
type rawResponse struct {
	status int
	tag    string
	body   []byte
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, header http.Header) (rawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return rawResponse{}, errors.Wrap(err, "build platform request")
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The request may have reached the store before the connection failed.
		return rawResponse{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	c.observeEra(resp.Header)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return rawResponse{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return rawResponse{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: b}, nil
}

// statusError maps an HTTP status to a typed error.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(body, conflict); err != nil {
			return errors.Wrap(err, "decode platform conflict")
		}
		return conflict
	case http.StatusNotFound:
		return ErrRowNotFound
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "platform answered status %d", status)
	}
}
