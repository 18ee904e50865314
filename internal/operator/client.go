package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/object"
)

// maxResponseBytes is the maximum size of a response body. A list of 3,000 nodes is about
// 1 MB.
const maxResponseBytes = 64 << 20

// Client calls the operators' interface of an entry. Its errors wrap a *Problem if the
// entry responded with a status of 300 or above.
type Client struct {
	baseURL string
	http    *http.Client
	key     string
}

// NewClient returns a client for the entry at the base URL. If the key is not empty,
// it is sent as a bearer token.
func NewClient(baseURL string, client *http.Client, key string) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: client, key: key}
}

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (ConfigurationResponse, error) {
	var response ConfigurationResponse
	err := c.call(ctx, http.MethodGet, "/v1/configuration", nil, nil, &response)
	return response, err
}

// Publish replaces the revision base with the objects.
func (c *Client) Publish(ctx context.Context, base uint64, objects []byte, author string) (PublishResponse, error) {
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "author": {author}}
	var response PublishResponse
	err := c.call(ctx, http.MethodPut, "/v1/configuration", query, objects, &response)
	return response, err
}

// History returns the most recent publishes, oldest first.
func (c *Client) History(ctx context.Context) ([]object.HistoryEntry, error) {
	var response []object.HistoryEntry
	err := c.call(ctx, http.MethodGet, "/v1/configuration/history", nil, nil, &response)
	return response, err
}

// Explain returns the objects that apply to a service and a team, and why.
func (c *Client) Explain(ctx context.Context, service, team string) (ExplainResponse, error) {
	var response ExplainResponse
	err := c.call(ctx, http.MethodGet, "/v1/explain", url.Values{"service": {service}, "team": {team}}, nil, &response)
	return response, err
}

// Evacuations lists the evacuated availability zones.
func (c *Client) Evacuations(ctx context.Context) (EvacuationsResponse, error) {
	var response EvacuationsResponse
	err := c.call(ctx, http.MethodGet, "/v1/evacuations", nil, nil, &response)
	return response, err
}

// Nodes lists the nodes that the entry knows.
func (c *Client) Nodes(ctx context.Context) ([]Node, error) {
	var response []Node
	err := c.call(ctx, http.MethodGet, "/v1/nodes", nil, nil, &response)
	return response, err
}

// Drain makes a node accept no new tasks and finish those it has.
func (c *Client) Drain(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, "/v1/nodes/"+url.PathEscape(name)+"/drain", nil, nil, nil)
}

// Retire records that the host of an agent is permanently removed.
func (c *Client) Retire(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, "/v1/agents/"+url.PathEscape(name)+"/retire", nil, nil, nil)
}

// call sends a request and decodes the response into response, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, response any) error {
	target := c.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return c.wrapError(method, path, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/yaml")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.wrapError(method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.wrapError(method, path, err)
	}
	if resp.StatusCode >= 300 {
		return c.wrapError(method, path, problemFromResponse(resp, data))
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(data, response); err != nil {
		return c.wrapError(method, path, fmt.Errorf("decode response: %w", err))
	}
	return nil
}

func (c *Client) wrapError(method, path string, err error) error {
	return gypsumtide.NewError("operator: "+method+" "+path, c.baseURL, err)
}

// problemFromResponse decodes the problem in an error response. If the body is not a
// problem with a title, it returns one made from the status and the first 512 bytes of
// the body.
func problemFromResponse(resp *http.Response, data []byte) *Problem {
	var p Problem
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemContentType) && json.Unmarshal(data, &p) == nil && p.Title != "" {
		return &p
	}
	text := string(bytes.TrimSpace(data[:min(len(data), 512)]))
	return &Problem{Type: "about:blank", Title: resp.Status, Status: resp.StatusCode, Detail: text}
}
