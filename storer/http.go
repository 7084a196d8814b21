package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Names of the HTTP protocol's query parameters.
const (
	ParamExpect = "expect"
	ParamLease  = "lease"
	ParamAfter  = "after"
	ParamWaitMS = "wait-ms"
	ParamPrefix = "prefix"
	ParamTTLMS  = "ttl-ms"
)

const (
	defaultTimeout = 2 * time.Second
	maxAnswerBytes = 64 << 20
	// notFoundBody is the body that answers for a key or lease that is not there.
	notFoundBody = "null"
)

// HTTPClient reaches the service over HTTP. The zero value with BaseURL set works.
type HTTPClient struct {
	// BaseURL is the service's address, for example "http://127.0.0.1:7000".
	BaseURL string
	// Timeout bounds each call but Watch, whose bound is its wait plus Timeout.
	// 0 means two seconds.
	Timeout time.Duration
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

var _ Client = (*HTTPClient)(nil)

// LeaseAnswer is the body that answers the making of a lease.
type LeaseAnswer struct {
	ID LeaseID `json:"id"`
}

// ConflictAnswer is the body of a compare-and-swap that lost.
type ConflictAnswer struct {
	Current Revision `json:"current"`
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, nil, nil, 0, &item)
	return item, err
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Item, error) {
	var items []Item
	err := c.do(ctx, http.MethodGet, "/v1/list", url.Values{ParamPrefix: {prefix}}, nil, 0, &items)
	return items, err
}

// CompareAndSwap implements Client.
func (c *HTTPClient) CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	q := url.Values{ParamExpect: {format(expect)}}
	if lease != 0 {
		q.Set(ParamLease, format(lease))
	}
	var item Item
	err := c.do(ctx, http.MethodPut, "/v1/kv/"+key, q, value, 0, &item)
	return item.Revision, err
}

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect Revision) error {
	return c.do(ctx, http.MethodDelete, "/v1/kv/"+key, url.Values{ParamExpect: {format(expect)}}, nil, 0, nil)
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Item, error) {
	q := url.Values{ParamAfter: {format(after)}, ParamWaitMS: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var item Item
	err := c.do(ctx, http.MethodGet, "/v1/watch/"+key, q, nil, wait, &item)
	return item, err
}

// Grant implements Client.
func (c *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	q := url.Values{ParamTTLMS: {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var answer LeaseAnswer
	err := c.do(ctx, http.MethodPost, "/v1/leases", q, nil, 0, &answer)
	return answer.ID, err
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, id LeaseID) error {
	return c.do(ctx, http.MethodPost, "/v1/leases/"+format(id), nil, nil, 0, nil)
}

// Revoke implements Client.
func (c *HTTPClient) Revoke(ctx context.Context, id LeaseID) error {
	return c.do(ctx, http.MethodDelete, "/v1/leases/"+format(id), nil, nil, 0, nil)
}

func format[N ~uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }

func (c *HTTPClient) do(ctx context.Context, method, path string, q url.Values, body []byte, extra time.Duration, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+extra)
	defer cancel()
	target := c.BaseURL + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &UnavailableError{Op: method + " " + path, Cause: err}
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return &UnavailableError{Op: method + " " + path, Cause: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return &UnavailableError{Op: method + " " + path, Cause: err}
	}
	return decode(method, path, res.StatusCode, b, out)
}

func decode(method, path string, status int, b []byte, out any) error {
	switch {
	// Another server's 404 says nothing about the key.
	case status == http.StatusNotFound && string(bytes.TrimSpace(b)) == notFoundBody:
		return &NotFoundError{Key: path}
	case status == http.StatusPreconditionFailed:
		var conflict ConflictAnswer
		_ = json.Unmarshal(b, &conflict)
		return &ConflictError{Key: path, Current: conflict.Current}
	case status < 200 || status > 299:
		return &UnavailableError{Op: method + " " + path, Cause: fmt.Errorf("status %d", status)}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &UnavailableError{Op: method + " " + path, Cause: err}
	}
	return nil
}
