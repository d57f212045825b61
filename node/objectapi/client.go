package objectapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"lacewinglever.dev/node/timing"
)

// Timeouts and backoff of calls.
const (
	attemptTimeout     = 2 * time.Second
	defaultTimeout     = 10 * time.Second
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	watchWait          = 30 * time.Second
	watchTimeoutMargin = 5 * time.Second // in addition to watchWait, until the response has arrived
)

// pageSize is the number of objects per list call. Their mean size is below 1 KB, so a page arrives
// well within the timeout.
const pageSize = 1000

// maxResponseBytes bounds the body of a response: a page of the largest values.
const maxResponseBytes = 1 << 30

// Options configure a Client.
type Options struct {
	URL     string // of the platform, such as http://127.0.0.1:9000
	Timeout time.Duration
	Metrics *metrics.Set
	HTTP    *http.Client
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	metrics *metrics.Set
	http    *http.Client
}

// New returns a client of the platform at the URL. The timeout of a call (10 s by default) includes
// its retries.
func New(o Options) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Errorf("platform url %q: want http://host:port", o.URL)
	}
	c := &Client{base: strings.TrimSuffix(o.URL, "/"), timeout: o.Timeout, metrics: o.Metrics, http: o.HTTP}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.metrics == nil {
		c.metrics = metrics.NewSet()
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	}
	return c, nil
}

// NewWriteID returns a unique write ID.
func NewWriteID() string { return rand.Text() }

// Get returns the object at the path. For a deleted object it returns ErrNotFound and an Object
// with the writer of the deletion.
func (c *Client) Get(ctx context.Context, path string) (Object, error) {
	var out Object
	err := c.retry(ctx, func(ctx context.Context) error {
		out = Object{}
		resp, err := c.call(ctx, "get", http.MethodGet, ObjectsPath+escapePath(path), nil, nil, attemptTimeout)
		if err != nil {
			return err
		}
		if resp.status == http.StatusNotFound {
			out = Object{Path: path, Version: resp.errorBody.Version, Writer: resp.errorBody.Writer,
				WriteID: resp.errorBody.WriteID, Deleted: resp.errorBody.Deleted}
		}
		return resp.decode(&out)
	})
	return out, wrapError(err, "get", path)
}

// List returns the objects under the prefix, page by page. The version is the oldest one that a
// page reflects, so that a watch from this version misses no change.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var all Listing
	for after, more := "", true; more; {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return Listing{}, wrapError(err, "list", prefix)
		}
		if after == "" || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Objects = append(all.Objects, page.Objects...)
		if page.Next != "" && page.Next <= after {
			return Listing{}, wrapError(errors.Wrap(ErrRefused, "list pages are not in ascending order"),
				"list", prefix)
		}
		after, more = page.Next, page.Next != ""
	}
	return all, nil
}

func (c *Client) listPage(ctx context.Context, prefix, after string) (Listing, error) {
	var out Listing
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	err := c.retry(ctx, func(ctx context.Context) error {
		out = Listing{}
		resp, err := c.call(ctx, "list", http.MethodGet, ListPath+"?"+query.Encode(), nil, nil, c.timeout)
		if err != nil {
			return err
		}
		return resp.decode(&out)
	})
	return out, err
}

// Put writes the value if the condition holds and returns the new version of the object. A
// *ConflictError gives the current writer and version.
func (c *Client) Put(ctx context.Context, w Write) (uint64, error) {
	body, err := json.Marshal(w.Value)
	if err != nil {
		return 0, errors.Wrap(err, "encode value")
	}
	if len(body) > MaxValueSize {
		return 0, errors.Wrapf(ErrTooLarge, "put %s: %d bytes, at most %d", w.Path, len(body), MaxValueSize)
	}
	return c.write(ctx, "put", http.MethodPut, w, body)
}

// Delete deletes the object if the condition holds and returns the version of the deletion.
func (c *Client) Delete(ctx context.Context, w Write) (uint64, error) {
	return c.write(ctx, "delete", http.MethodDelete, w, nil)
}

// write sends a conditional write until its outcome is known. After an attempt without a response,
// it reads the object back: if that has the write ID, the write took effect. A copy of the write
// that arrives late fails its condition.
func (c *Client) write(ctx context.Context, op, method string, w Write, body []byte) (uint64, error) {
	if w.ID == "" {
		w.ID = NewWriteID()
	}
	header := http.Header{HeaderWriter: {w.Writer}, HeaderWriteID: {w.ID}}
	if w.If.version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.FormatUint(w.If.version, 10))
	}
	var version uint64
	responseLost := false
	err := c.retry(ctx, func(ctx context.Context) error {
		var out Object
		resp, err := c.call(ctx, op, method, ObjectsPath+escapePath(w.Path), header, body, attemptTimeout)
		if err == nil {
			err = resp.decode(&out)
		}
		if err == nil {
			version = out.Version
			return nil
		}
		if errors.Is(err, ErrUnavailable) {
			responseLost = true
			return err
		}
		if resp.status != http.StatusConflict && resp.status != http.StatusNotFound {
			return err
		}
		version, err = c.resolveConflict(ctx, &w, resp, responseLost)
		return err
	})
	if err != nil && responseLost && errors.Is(err, ErrUnavailable) {
		err = errors.Wrap(err, "outcome unknown")
	}
	return version, wrapError(err, op, w.Path)
}

// resolveConflict interprets a failed condition. If the response to an earlier attempt was lost, it
// reads the object back and returns its version if the object has the write ID. A read older than
// the conflict is stale and is repeated.
func (c *Client) resolveConflict(ctx context.Context, w *Write, conflictResponse *response,
	responseLost bool) (uint64, error) {
	conflict := &ConflictError{
		Path:           w.Path,
		Version:        conflictResponse.errorBody.Version,
		Writer:         conflictResponse.errorBody.Writer,
		Deleted:        conflictResponse.errorBody.Deleted,
		MayHaveApplied: responseLost,
	}
	if !responseLost {
		return 0, conflict
	}
	resp, err := c.call(ctx, "get", http.MethodGet, ObjectsPath+escapePath(w.Path), nil, nil, attemptTimeout)
	if err != nil {
		return 0, err
	}
	var current Object
	switch err := resp.decode(&current); {
	case errors.Is(err, ErrNotFound):
		current = Object{Version: resp.errorBody.Version, WriteID: resp.errorBody.WriteID}
	case err != nil:
		return 0, err
	}
	if current.Version < conflict.Version {
		return 0, errors.Wrap(ErrUnavailable, "stale read")
	}
	if current.WriteID == w.ID {
		return current.Version, nil
	}
	return 0, conflict
}

// retry calls attempt until it succeeds, fails permanently or the timeout expires.
func (c *Client) retry(ctx context.Context, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt(ctx)
		if err == nil || !isTemporary(err) {
			return err
		}
		if !timing.Sleep(ctx, timing.Jitter(backoff)) {
			return err
		}
	}
}

func isTemporary(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// response is a complete response. errorBody is set if the status is not 2xx.
type response struct {
	status    int
	body      []byte
	errorBody ErrorBody
}

func (r *response) decode(v any) error {
	switch {
	case r.status < 300:
		if err := json.Unmarshal(r.body, v); err != nil {
			return errors.Wrap(ErrUnavailable, "response is not valid JSON")
		}
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusConflict:
		return ErrRefused
	case r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.status == http.StatusTooManyRequests:
		return ErrRateLimited
	case r.status >= 500:
		return errors.Wrapf(ErrUnavailable, "status %d", r.status)
	}
	return errors.Wrapf(ErrRefused, "status %d: %s", r.status, r.errorBody.Message)
}

// call sends one request. Its error is ErrUnavailable if no response arrived, or an incomplete one.
func (c *Client) call(ctx context.Context, op, method, target string, header http.Header, body []byte,
	timeout time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.exchange(req)
	if err != nil {
		c.count(op, "no answer")
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.count(op, strconv.Itoa(resp.status))
	return resp, nil
}

func (c *Client) exchange(req *http.Request) (*response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	out := &response{status: resp.StatusCode, body: body}
	if out.status >= 300 {
		_ = json.Unmarshal(body, &out.errorBody) // without a body, the status identifies the error
	}
	return out, nil
}

func (c *Client) count(op, result string) {
	c.metrics.GetOrCreateCounter(`lacewing_objectapi_calls_total{op="` + op + `",result="` + result + `"}`).Inc()
}

func wrapError(err error, op, path string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "%s %s", op, path)
}

func escapePath(path string) string {
	parts := strings.Split(path, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
