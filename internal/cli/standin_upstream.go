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
	d := worker.DefaultConfig()
	return &cli.Command{
		Name:    "standin-upstream",
		Usage:   "stand-in for a worker with one upstream, for tests",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Value: d.Name, Usage: "`NAME` of the upstream"},
			&cli.StringFlag{Name: "agent", Value: d.Agent, Usage: "base `URL` of the agent"},
			&cli.StringFlag{Name: "listen", Value: d.Listen, Usage: "IP `ADDRESS` and port of the HTTP server"},
			&cli.StringFlag{Name: "url", Usage: "announced base `URL`; the listen address if empty"},
			&cli.StringSliceFlag{Name: "service", Value: d.Services, Usage: "served `SERVICE`, may be repeated"},
			&cli.Int64Flag{Name: "slots", Value: int64(d.Slots), Usage: "tasks at once"},
			&cli.Int64Flag{Name: "connections", Value: int64(d.Connections), Usage: "connections at once"},
			&cli.Int64Flag{Name: "processors-milli", Value: d.Capacity.Processors, Usage: "thousandths of a core"},
			&cli.Int64Flag{Name: "memory-mib", Value: d.Capacity.Memory, Usage: "memory"},
			&cli.Int64Flag{Name: "accelerators", Value: d.Capacity.Accelerators, Usage: "accelerators"},
			&cli.Int64Flag{Name: "ttl-ms", Value: int64(d.TTL), Usage: "time to live of the lease"},
			&cli.Int64Flag{Name: "usage-lag-ms", Value: int64(d.UsageLag), Usage: "age of the reported use"},
			&cli.StringFlag{Name: "history", Usage: "append starts and ends to `FILE`"},
			&cli.StringFlag{Name: "authority-file", Usage: "PEM `FILE` that verifies the agent"},
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
		client, err := clientWith(path)
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

// clientWith returns a client that verifies servers by the PEM file.
func clientWith(path string) (*http.Client, error) {
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
