package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"gypsumtide"
	"gypsumtide/internal/program"
	"gypsumtide/internal/standin/worker"
)

// StandinUpstream returns the command line of standin-upstream.
func StandinUpstream() *cli.Command {
	defaults := worker.DefaultConfig()
	return &cli.Command{
		Name:    "standin-upstream",
		Usage:   "stand-in for a worker with one upstream, for tests",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Value: defaults.Name, Usage: "`NAME` of the upstream"},
			&cli.StringFlag{Name: "agent", Value: defaults.Agent, Usage: "base `URL` of the agent"},
			&cli.StringFlag{Name: "listen", Value: defaults.Listen, Usage: "IP `ADDRESS` and port of the HTTP server"},
			&cli.StringFlag{Name: "url", Usage: "base `URL` that the upstream announces; by default derived from the listen address"},
			&cli.StringSliceFlag{Name: "service", Value: defaults.Services, Usage: "`SERVICE` that the upstream serves (repeatable)"},
			&cli.Int64Flag{Name: "slots", Value: int64(defaults.Slots), Usage: "maximum number of concurrent tasks"},
			&cli.Int64Flag{Name: "connections", Value: int64(defaults.Connections), Usage: "maximum number of concurrent connections"},
			&cli.Int64Flag{Name: "processors-milli", Value: defaults.Capacity.Processors, Usage: "processor capacity in thousandths of a core"},
			&cli.Int64Flag{Name: "memory-mib", Value: defaults.Capacity.Memory, Usage: "memory capacity in MiB"},
			&cli.Int64Flag{Name: "accelerators", Value: defaults.Capacity.Accelerators, Usage: "number of accelerators"},
			&cli.Int64Flag{Name: "ttl-ms", Value: int64(defaults.TTL), Usage: "time to live of the lease in milliseconds"},
			&cli.Int64Flag{Name: "usage-lag-ms", Value: int64(defaults.UsageLag), Usage: "age of the reported resource usage in milliseconds"},
			&cli.StringFlag{Name: "history", Usage: "append the starts and ends of tasks to `FILE`"},
			&cli.StringFlag{Name: "authority-file", Usage: "PEM `FILE` with the certificate authority of the agent"},
			&cli.StringFlag{Name: "shared-key-file", Usage: "`FILE` with the shared key"},
		},
		Action: runStandinUpstream,
	}
}

func runStandinUpstream(ctx context.Context, cmd *cli.Command) error {
	cfg := worker.DefaultConfig()
	cfg.Name = cmd.String("name")
	cfg.Agent = strings.TrimSuffix(cmd.String("agent"), "/")
	cfg.Listen = cmd.String("listen")
	cfg.URL = cmd.String("url")
	cfg.Services = cmd.StringSlice("service")
	cfg.Slots = int(cmd.Int64("slots"))
	cfg.Connections = int(cmd.Int64("connections"))
	cfg.Capacity = gypsumtide.Size{Processors: cmd.Int64("processors-milli"), Memory: cmd.Int64("memory-mib"), Accelerators: cmd.Int64("accelerators")}
	cfg.TTL = gypsumtide.Millis(cmd.Int64("ttl-ms"))
	cfg.UsageLag = gypsumtide.Millis(cmd.Int64("usage-lag-ms"))
	cfg.History = cmd.String("history")
	if path := cmd.String("shared-key-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("standin-upstream: shared key: %w", err)
		}
		cfg.Key = strings.TrimSpace(string(data))
	}
	if path := cmd.String("authority-file"); path != "" {
		client, err := newTLSClient(path)
		if err != nil {
			return err
		}
		cfg.Client = client
	}
	w, err := worker.New(cfg)
	if err != nil {
		return err
	}
	return w.Run(ctx)
}

// newTLSClient returns an HTTP client that verifies servers against the
// authorities in the PEM file.
func newTLSClient(path string) (*http.Client, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("standin-upstream: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("standin-upstream: authority: no certificate in %s", path)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}}, nil
}
