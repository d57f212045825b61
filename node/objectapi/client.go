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

// Times of calls.
const (
	attemptTimeout = 2 * time.Second
	defaultTimeout = 10 * time.Second
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	watchWait      = 30 * time.Second
	watchGrace     = 5 * time.Second // on top of watchWait, for the answer to arrive
)

// pageSize is how many objects one call lists. Their mean size is below 1 KB, so that a page arrives well within the timeout.
const pageSize = 1000

// maxAnswer bounds an answer, in bytes: a page of the largest values.
const maxAnswer = 1 << 30

// Options configure a Client.
type Options struct {
	URL     string // of the platform, such as http://127.0.0.1:9000
	Timeout time.Duration
	Metrics *metrics.Set
	HTTP    *http.Client
}

// Client calls the object API. It may be used from several goroutines.
type Client struct {
	base    string
	timeout time.Duration
	metrics *metrics.Set
	http    *http.Client
}

// New returns a client of the platform at the URL. Calls end after the timeout (10 s by default), retries included.
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

// NewWriteID returns a unique write id.
func NewWriteID() string { return rand.Text() }

// Get returns the object at the path. After a deletion, the returned object tells who deleted it, beside ErrNotFound.
func (c *Client) Get(ctx context.Context, path string) (Object, error) {
	var out Object
	err := c.retry(ctx, func(ctx context.Context) error {
		out = Object{}
		a, err := c.do(ctx, "get", http.MethodGet, ObjectsPath+escape(path), nil, nil, attemptTimeout)
		if err != nil {
			return err
		}
		if a.status == http.StatusNotFound {
			out = Object{Path: path, Version: a.fault.Version, Writer: a.fault.Writer, WriteID: a.fault.WriteID, Deleted: a.fault.Deleted}
		}
		return a.decode(&out)
	})
	return out, wrap(err, "get", path)
}

// List returns the objects under the prefix, page by page. The version is the oldest that a page reflects: a watch since then misses
// nothing.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var all Listing
	for after, more := "", true; more; {
		page, err := c.page(ctx, prefix, after)
		if err != nil {
			return Listing{}, wrap(err, "list", prefix)
		}
		if after == "" || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Objects = append(all.Objects, page.Objects...)
		if page.Next != "" && page.Next <= after {
			return Listing{}, wrap(errors.Wrap(ErrRefused, "pages go back"), "list", prefix)
		}
		after, more = page.Next, page.Next != ""
	}
	return all, nil
}

func (c *Client) page(ctx context.Context, prefix, after string) (Listing, error) {
	var out Listing
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	err := c.retry(ctx, func(ctx context.Context) error {
		out = Listing{}
		a, err := c.do(ctx, "list", http.MethodGet, ListPath+"?"+query.Encode(), nil, nil, c.timeout)
		if err != nil {
			return err
		}
		return a.decode(&out)
	})
	return out, err
}

// Put writes the value if the condition holds and returns the version of the object. A *ConflictError names the winner.
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

// write sends a conditional write until its outcome is known. After an attempt without an answer, the object is read back: if it
// carries the write id, the write took effect. A copy of the write that arrives late fails its condition.
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
	lost := false
	err := c.retry(ctx, func(ctx context.Context) error {
		var out Object
		a, err := c.do(ctx, op, method, ObjectsPath+escape(w.Path), header, body, attemptTimeout)
		if err == nil {
			err = a.decode(&out)
		}
		if err == nil {
			version = out.Version
			return nil
		}
		if errors.Is(err, ErrUnavailable) {
			lost = true
			return err
		}
		if a.status != http.StatusConflict && a.status != http.StatusNotFound {
			return err
		}
		version, err = c.settle(ctx, &w, a, lost)
		return err
	})
	if err != nil && lost && errors.Is(err, ErrUnavailable) {
		err = errors.Wrap(err, "outcome unknown")
	}
	return version, wrap(err, op, w.Path)
}

// settle interprets a failed condition. After a lost answer, it reads the object back and returns its version if it carries the write
// id. A read that is older than the conflict is stale and is repeated.
func (c *Client) settle(ctx context.Context, w *Write, failed *answer, lost bool) (uint64, error) {
	conflict := &ConflictError{
		Path:           w.Path,
		Version:        failed.fault.Version,
		Writer:         failed.fault.Writer,
		Deleted:        failed.fault.Deleted,
		MayHaveApplied: lost,
	}
	if !lost {
		return 0, conflict
	}
	a, err := c.do(ctx, "get", http.MethodGet, ObjectsPath+escape(w.Path), nil, nil, attemptTimeout)
	if err != nil {
		return 0, err
	}
	var current Object
	switch err := a.decode(&current); {
	case errors.Is(err, ErrNotFound):
		current = Object{Version: a.fault.Version, WriteID: a.fault.WriteID}
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

// retry calls attempt until it succeeds, fails for good or the deadline passes.
func (c *Client) retry(ctx context.Context, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt(ctx)
		if err == nil || !temporary(err) {
			return err
		}
		if !timing.Sleep(ctx, timing.Jitter(backoff)) {
			return err
		}
	}
}

func temporary(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// answer is an answer that arrived whole. fault is set if it is not 2xx.
type answer struct {
	status int
	body   []byte
	fault  ErrorBody
}

func (a *answer) decode(v any) error {
	switch {
	case a.status < 300:
		if err := json.Unmarshal(a.body, v); err != nil {
			return errors.Wrap(ErrUnavailable, "answer is not valid JSON")
		}
		return nil
	case a.status == http.StatusNotFound:
		return ErrNotFound
	case a.status == http.StatusConflict:
		return ErrRefused
	case a.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case a.status == http.StatusTooManyRequests:
		return ErrRateLimited
	case a.status >= 500:
		return errors.Wrapf(ErrUnavailable, "status %d", a.status)
	}
	return errors.Wrapf(ErrRefused, "status %d: %s", a.status, a.fault.Message)
}

// do makes one call. Its error is ErrUnavailable: no answer arrived, or only a part of it.
func (c *Client) do(ctx context.Context, op, method, target string, header http.Header, body []byte, timeout time.Duration) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	for k, v := range header {
		req.Header[k] = v
	}
	a, err := c.exchange(req)
	if err != nil {
		c.count(op, "no answer")
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.count(op, strconv.Itoa(a.status))
	return a, nil
}

func (c *Client) exchange(req *http.Request) (*answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	a := &answer{status: resp.StatusCode, body: body}
	if a.status >= 300 {
		_ = json.Unmarshal(body, &a.fault) // a fault without a body has its status
	}
	return a, nil
}

func (c *Client) count(op, result string) {
	c.metrics.GetOrCreateCounter(`lacewing_objectapi_calls_total{op="` + op + `",result="` + result + `"}`).Inc()
}

func wrap(err error, op, path string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "%s %s", op, path)
}

func escape(path string) string {
	parts := strings.Split(path, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
