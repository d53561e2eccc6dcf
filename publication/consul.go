package publication

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/target"
)

// consul is a Source for services that implement blocking queries of the Consul KV API: a query
// contains the index of the value known to the client, and the service responds when the index
// of the key differs from it or the query's wait time has passed.
type consul struct {
	base   string // URL of the service, without a path
	client *http.Client
}

// indexHeader is the response header with the index of the value.
const indexHeader = "X-Consul-Index"

func newConsul(address netip.AddrPort) Source {
	return &consul{base: "http://" + address.String(), client: &http.Client{Transport: target.NewTransport(network.System{}, true)}}
}

// Watch makes one blocking query. Its timeout exceeds the wait time of the query by watchSlack, so
// that it expires only if the service does not respond.
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
	if network.EndsWithConnection(resp) {
		return Value{}, eris.Errorf("key %s: the response has neither a length nor chunks, so it may be cut off", key)
	}
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
