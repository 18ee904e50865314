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

// maxAnswerBytes bounds an answer. A list of 3,000 nodes is about 1 MB.
const maxAnswerBytes = 64 << 20

// Client calls the operators' interface of an entry. Its errors are of type
// *Problem if the entry answered.
type Client struct {
	entry string
	http  *http.Client
	key   string
}

// NewClient returns a client of the entry at the URL. The key may be empty.
func NewClient(entry string, client *http.Client, key string) *Client {
	return &Client{entry: strings.TrimRight(entry, "/"), http: client, key: key}
}

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (ConfigurationResponse, error) {
	var answer ConfigurationResponse
	err := c.call(ctx, http.MethodGet, "/v1/configuration", nil, nil, &answer)
	return answer, err
}

// Publish replaces the revision base by the objects.
func (c *Client) Publish(ctx context.Context, base uint64, objects []byte, author string) (PublishResponse, error) {
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "author": {author}}
	var answer PublishResponse
	err := c.call(ctx, http.MethodPut, "/v1/configuration", query, objects, &answer)
	return answer, err
}

// History returns the newest publishes, the oldest first.
func (c *Client) History(ctx context.Context) ([]object.HistoryEntry, error) {
	var answer []object.HistoryEntry
	err := c.call(ctx, http.MethodGet, "/v1/configuration/history", nil, nil, &answer)
	return answer, err
}

// Explain returns what applies to a service and a team.
func (c *Client) Explain(ctx context.Context, service, team string) (ExplainResponse, error) {
	var answer ExplainResponse
	err := c.call(ctx, http.MethodGet, "/v1/explain", url.Values{"service": {service}, "team": {team}}, nil, &answer)
	return answer, err
}

// Nodes lists the nodes that the entry knows.
func (c *Client) Nodes(ctx context.Context) ([]Node, error) {
	var answer []Node
	err := c.call(ctx, http.MethodGet, "/v1/nodes", nil, nil, &answer)
	return answer, err
}

// Drain tells a node to finish its work and take no more.
func (c *Client) Drain(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, "/v1/nodes/"+url.PathEscape(name)+"/drain", nil, nil, nil)
}

// Retire states that the host of an agent is gone.
func (c *Client) Retire(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, "/v1/agents/"+url.PathEscape(name)+"/retire", nil, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	target := c.entry + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return c.fail(method, path, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/yaml")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.fail(method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.fail(method, path, err)
	}
	if resp.StatusCode >= 300 {
		return c.fail(method, path, problemFrom(resp, data))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return c.fail(method, path, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

func (c *Client) fail(method, path string, err error) error {
	return gypsumtide.NewError("operator: "+method+" "+path, c.entry, err)
}

// problemFrom returns the problem in an answer, or one made from the status.
func problemFrom(resp *http.Response, data []byte) *Problem {
	var p Problem
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemContentType) && json.Unmarshal(data, &p) == nil && p.Title != "" {
		return &p
	}
	text := string(bytes.TrimSpace(data[:min(len(data), 512)]))
	return &Problem{Type: "about:blank", Title: resp.Status, Status: resp.StatusCode, Detail: text}
}
