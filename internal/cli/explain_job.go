package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"gypsumtide/internal/explain"
)

// maxExplanationBytes limits the answer that explain-job reads.
const maxExplanationBytes = 16 << 20

// explainJobCommand returns the command that asks an entry on the users' platform where a
// submission would go.
func explainJobCommand() *cli.Command {
	return &cli.Command{
		Name: "explain-job", ArgsUsage: "FILE", Action: explainJob,
		Usage: "show where an entry on the users' platform would send a submission now, and why, without sending it; FILE, or - for standard input, has its body",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "metrics `ADDRESS` of the entry"},
			&cli.StringFlag{Name: "host", Required: true, Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "`PATH` of the request, which ends with the id of the job"},
			&cli.Int64Flag{Name: "deadline", Usage: "time in `MILLISECONDS` that the caller waits; default is the timeout of the route"},
		},
	}
}

func explainJob(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("give one file with the body of the submission, or -")
	}
	body, err := readFile(cmd, cmd.Args().First())
	if err != nil {
		return fmt.Errorf("read submission: %w", err)
	}
	query := url.Values{explain.ParameterHost: {cmd.String("host")}, explain.ParameterPath: {cmd.String("path")}}
	if ms := cmd.Int64("deadline"); ms > 0 {
		query.Set(explain.ParameterDeadline, strconv.FormatInt(ms, 10))
	}
	data, err := fetchExplanation(ctx, cmd.String("entry"), query, body)
	if err != nil {
		return fmt.Errorf("explain-job: %w", err)
	}
	if cmd.Bool("json") {
		_, err := fmt.Fprintf(cmd.Root().Writer, "%s\n", data)
		return err
	}
	var answer explain.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("explain-job: answer of the entry: %w", err)
	}
	return answer.Write(cmd.Root().Writer)
}

// readFile reads the file, or standard input if the path is -.
func readFile(cmd *cli.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(path)
}

// fetchExplanation returns the answer of the entry with the metrics address.
func fetchExplanation(ctx context.Context, address string, query url.Values, body []byte) ([]byte, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	target := strings.TrimSuffix(address, "/") + explain.Path + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}
