package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	serversPath = "/v1/servers"

	// maxListSize is the limit in bytes for a list or a change. It is twice the size of a list of 3,200 long entries
	// with deep indentation.
	maxListSize = 3 << 20
	// listTimeout is the limit for fetching the full list.
	listTimeout = 2 * time.Second
	// maxDiscardedBody is how many bytes of an error response's body are read so that its connection can be reused.
	maxDiscardedBody = 4 << 10
)

// statusError is the error for a response of discovery whose status is not 200.
type statusError int

// Error implements error.
func (status statusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// apiClient makes discovery's HTTP calls.
type apiClient struct {
	http      *http.Client
	malformed *atomic.Int64
}

// list fetches the full list.
func (c *apiClient) list(ctx context.Context, addr string) (list List, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	body, err := c.get(ctx, addr, "")
	if err != nil {
		return list, err
	}
	defer body.Close()
	if err := json.NewDecoder(http.MaxBytesReader(nil, body, maxListSize)).Decode(&list); err != nil {
		c.malformed.Add(1)
		return list, fmt.Errorf("discovery: list: %w", err)
	}
	return list, nil
}

// watch opens a watch of the changes after a version. The returned body continues until the context ends or the watch
// is lost.
func (c *apiClient) watch(ctx context.Context, addr string, version uint64) (io.ReadCloser, error) {
	return c.get(ctx, addr, "?stream=1&index="+strconv.FormatUint(version, 10))
}

func (c *apiClient) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+serversPath+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: %w", statusError(resp.StatusCode))
	}
	return resp.Body, nil
}

// causeOr returns the cause of the context's end if the context has ended, and err otherwise. The cause is more
// informative than the error that results from the end.
func causeOr(ctx context.Context, err error) error { return cmp.Or(context.Cause(ctx), err) }
