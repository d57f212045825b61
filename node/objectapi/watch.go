package objectapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lacewinglever.dev/node/timing"
)

// Watch calls handle with every change under the prefix after the version since, until the context
// ends. It polls, and after a failure resumes at the version of the last response. The versions
// passed to handle increase strictly: a response that is not newer than the last one is ignored.
// onError, if set, is called for each failed poll.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, handle func(Listing), onError func(error)) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := c.poll(ctx, prefix, since)
		if err == nil && changes.Version > since {
			since = changes.Version
			backoff = firstBackoff
			handle(changes)
			continue
		}
		if err == nil && time.Since(started) > watchWait/2 {
			backoff = firstBackoff
			continue // a poll that timed out without a change
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && onError != nil {
			onError(err)
		}
		timing.Sleep(ctx, timing.Jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) poll(ctx context.Context, prefix string, since uint64) (Listing, error) {
	query := url.Values{
		"prefix": {prefix},
		"since":  {strconv.FormatUint(since, 10)},
		"wait":   {strconv.Itoa(int(watchWait / time.Second))},
	}
	var out Listing
	resp, err := c.call(ctx, "watch", http.MethodGet, WatchPath+"?"+query.Encode(), nil, nil,
		watchWait+watchTimeoutMargin)
	if err != nil {
		return out, err
	}
	return out, resp.decode(&out)
}
