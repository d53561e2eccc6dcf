package publication

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
)

// consul is a Source for services that implement Consul's KV blocking queries: raw
// values, and an index that a query waits to change.
type consul struct {
	base   string
	client *http.Client
}

const indexHeader = "X-Consul-Index"

func newConsul(address netip.AddrPort) Source {
	return &consul{base: "http://" + address.String(), client: &http.Client{Transport: &http.Transport{}}}
}

// Watch makes one blocking query. A timeout above the service's own wait ends the query
// when the connection no longer responds.
func (c *consul) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	url := fmt.Sprintf("%s/v1/kv/%s?raw&index=%d&wait=%s", c.base, key, after, watchWait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, eris.Wrap(err, "watch")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Value{}, eris.Wrap(err, "watch")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Value{}, eris.Wrap(err, "watch")
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return Value{}, eris.Errorf("key %s: status %d", key, resp.StatusCode)
	case len(data) > MaxValueBytes:
		return Value{}, eris.Errorf("key %s: value larger than %d bytes", key, MaxValueBytes)
	}
	index, err := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	if err != nil {
		return Value{}, eris.Wrap(err, "index")
	}
	return Value{Data: data, Index: index}, nil
}
