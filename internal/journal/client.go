package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"gypsumtide"
)

const (
	// DefaultTimeout bounds an append, and a read beyond its long poll. A
	// synced write takes several ms.
	DefaultTimeout gypsumtide.Millis = 1000
	// readBatch is the number of records asked for in one read.
	readBatch = 1000
	// maxAnswerBytes bounds an answer, so that a faulty log cannot exhaust memory.
	maxAnswerBytes = 256 << 20
)

// Client reads and appends over the HTTP protocol of the platform's log.
type Client struct {
	base    string
	http    *http.Client
	timeout gypsumtide.Millis
}

var _ gypsumtide.Log = (*Client)(nil)

// NewClient returns a client for the log at the base URL. A timeout of 0 means
// DefaultTimeout.
func NewClient(base string, client *http.Client, timeout gypsumtide.Millis) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{base: strings.TrimRight(base, "/"), http: client, timeout: timeout}
}

// BatchLimit returns the number of records that a read returns at most. A read
// that returns fewer has reached the end of the stream.
func (c *Client) BatchLimit() int { return readBatch }

// Append implements gypsumtide.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, c.fail("append", err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.http.Do(req)
	if err != nil {
		if gypsumtide.NotSent(err) {
			return 0, c.fail("append", err)
		}
		return 0, c.fail("append", unsettled(err))
	}
	defer closeBody(resp)
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return 0, c.fail("append", statusError(resp))
	}
	if resp.StatusCode != http.StatusOK {
		return 0, c.fail("append", unsettled(statusError(resp)))
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decodeAnswer(resp, &answer); err != nil {
		return 0, c.fail("append", unsettled(err))
	}
	if answer.Offset == nil {
		return 0, c.fail("append", unsettled(errors.New("answer without an offset")))
	}
	return *answer.Offset, nil
}

// Read implements gypsumtide.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait gypsumtide.Millis) ([]gypsumtide.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.timeout).Duration())
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("wait-ms", strconv.FormatInt(int64(wait), 10))
	query.Set("max", strconv.Itoa(readBatch))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, c.fail("read", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, c.fail("read", err)
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusGone {
		return nil, 0, c.fail("read", trimmedError(resp))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, c.fail("read", statusError(resp))
	}
	var answer struct {
		Records []struct {
			Offset uint64 `json:"offset"`
			Data   []byte `json:"data"`
		} `json:"records"`
		Next *uint64 `json:"next"`
	}
	if err := decodeAnswer(resp, &answer); err != nil {
		return nil, 0, c.fail("read", err)
	}
	if answer.Next == nil || *answer.Next < from {
		return nil, 0, c.fail("read", errors.New("answer without a valid next offset"))
	}
	records := make([]gypsumtide.Record, 0, len(answer.Records))
	least := from
	for _, r := range answer.Records {
		if r.Offset < least || r.Offset >= *answer.Next {
			return nil, 0, c.fail("read", fmt.Errorf("offset %d out of order", r.Offset))
		}
		least = r.Offset + 1
		records = append(records, gypsumtide.Record{Offset: r.Offset, Data: r.Data})
	}
	return records, *answer.Next, nil
}

func (c *Client) streamURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) fail(step string, err error) error {
	return gypsumtide.NewError("journal: "+step, c.base, err)
}

func unsettled(err error) error {
	return fmt.Errorf("%w: %w", gypsumtide.ErrAppendOutcomeUnknown, err)
}

func trimmedError(resp *http.Response) error {
	var answer struct {
		First *uint64 `json:"first"`
	}
	if err := decodeAnswer(resp, &answer); err != nil {
		return err
	}
	if answer.First == nil {
		return errors.New("trimmed, and the answer names no first offset")
	}
	return &gypsumtide.TrimmedError{First: *answer.First}
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}

func decodeAnswer(resp *http.Response, v any) error {
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// closeBody drains the rest of the body, so that the connection can be used again.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
