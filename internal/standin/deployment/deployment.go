// Package deployment runs the programs as local processes that communicate over
// loopback, for integration tests and demos. Only test tools may start processes.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"gypsumtide/internal/standin/faultproxy"
)

// Config configures a deployment.
type Config struct {
	// Bin is the directory of the programs. The default is ./bin.
	Bin string
	// Dir is where settings, logs and histories are written. The default is a new
	// temporary directory, which Close does not delete.
	Dir string
	// Workers is the number of upstreams, each with an agent. Entries, Workers and Zones
	// below 1 count as 1.
	Entries int
	Workers int
	Zones   int
	// Slots is the number of tasks that an upstream with an agent runs at the same time.
	// The default is 8.
	Slots int
	// Services are the services of every upstream. The default is stock-check.
	Services []string
	// Direct adds an upstream without an agent, for calls that bypass the dispatcher.
	Direct bool
	// Proxies inserts a fault proxy into every link between entries, agents, the log
	// and callers.
	Proxies bool
	// ZoneDelay is the one-way delay between availability zones; it needs Proxies.
	ZoneDelay time.Duration
	// CallerDelay is the one-way delay between callers and entries; it needs Proxies.
	CallerDelay time.Duration
	// EntrySettings and AgentSettings are merged into the settings files and override
	// the generated values.
	EntrySettings, AgentSettings map[string]any
}

// rackSize is the maximum number of workers per rack, as on the platforms of the
// organisations that run gypsumtide.
const rackSize = 3

// Link identifies the connections that From opens to To, by process name. From
// may also be Callers or Peers.
type Link struct{ From, To string }

// Values of Link.From for links that several processes share.
const (
	// Callers stands for the callers that submit jobs.
	Callers = "callers"
	// Peers stands for the processes that dial the address that an entry announces.
	Peers = "peers"
)

// Deployment is a set of running processes.
type Deployment struct {
	cfg         Config
	log         *Process
	entries     []*Process
	agents      []*Process
	upstreams   []*Process
	direct      *Process
	leaseServer *leaseServer

	mu    sync.Mutex
	links map[Link]*faultproxy.Proxy
}

// ErrNoProgram means that a program has not been built.
var ErrNoProgram = errors.New("program not found")

// Programs lists the programs that a deployment runs.
var Programs = []string{"standin-log", "gypsumtide-entry", "gypsumtide-agent", "standin-upstream"}

// Start starts all processes and waits until they are ready. If that fails, it
// stops the processes that it has started.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	cfg.setDefaults()
	var err error
	// exec.Command would search PATH for a path without a separator.
	if cfg.Bin, err = filepath.Abs(cfg.Bin); err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	for _, name := range Programs {
		if _, err := os.Stat(filepath.Join(cfg.Bin, name)); err != nil {
			return nil, fmt.Errorf("deployment: %s: %w", name, ErrNoProgram)
		}
	}
	if cfg.Dir == "" {
		cfg.Dir, err = os.MkdirTemp("", "gypsumtide-")
	} else {
		err = os.MkdirAll(cfg.Dir, 0o700)
	}
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	d := &Deployment{cfg: cfg, links: map[Link]*faultproxy.Proxy{}}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (c *Config) setDefaults() {
	if c.Bin == "" {
		c.Bin = "./bin"
	}
	c.Entries = max(c.Entries, 1)
	c.Workers = max(c.Workers, 1)
	c.Zones = max(c.Zones, 1)
	if c.Slots == 0 {
		c.Slots = 8
	}
	if len(c.Services) == 0 {
		c.Services = []string{"stock-check"}
	}
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.plan(); err != nil {
		return err
	}
	for _, p := range d.Processes() {
		if err := p.start(); err != nil {
			return err
		}
		// The entries connect to the log when they start.
		if p == d.log {
			if err := awaitPort(ctx, p.addr); err != nil {
				return fmt.Errorf("deployment: %s: %w", p.name, err)
			}
		}
	}
	return d.WaitReady(ctx)
}

// plan assigns addresses, starts the fault proxies and the lease server, and writes the
// settings files. It starts no processes.
func (d *Deployment) plan() error {
	ports := &portPicker{used: map[int]bool{}}
	addr, err := ports.pick()
	if err != nil {
		return err
	}
	d.log = d.newProcess("log", "standin-log", addr, d.zone(0))
	if err := d.writeSettings(d.log, map[string]any{"listen": addr}, nil); err != nil {
		return err
	}
	for i := range d.cfg.Entries {
		if addr, err = ports.pick(); err != nil {
			return err
		}
		d.entries = append(d.entries, d.newProcess(fmt.Sprintf("entry-%d", i+1), "gypsumtide-entry", addr, d.zone(i)))
	}
	for i := range d.cfg.Workers {
		if addr, err = ports.pick(); err != nil {
			return err
		}
		a := d.newProcess(fmt.Sprintf("agent-%d", i+1), "gypsumtide-agent", addr, d.zone(i))
		a.rack = fmt.Sprintf("%s-rack-%d", a.zone, i/d.cfg.Zones/rackSize+1)
		d.agents = append(d.agents, a)
		if addr, err = ports.pick(); err != nil {
			return err
		}
		d.upstreams = append(d.upstreams, d.newProcess(fmt.Sprintf("upstream-%d", i+1), "standin-upstream", addr, d.zone(i)))
	}
	if err := d.planEntries(); err != nil {
		return err
	}
	if err := d.planWorkers(); err != nil {
		return err
	}
	return d.planDirect(ports)
}

func (d *Deployment) zone(i int) string { return fmt.Sprintf("zone-%d", i%d.cfg.Zones+1) }

// planEntries adds the links of the entries and writes their settings files.
func (d *Deployment) planEntries() error {
	for _, e := range d.entries {
		logURL, err := d.addLink(e.name, d.log, 0)
		if err != nil {
			return err
		}
		if e.callerURL, err = d.addLink(Callers, e, d.cfg.CallerDelay); err != nil {
			return err
		}
		// The entry writes this address to the log. All processes that learn it from there
		// or from another entry share one link with one delay.
		announced, err := d.addLink(Peers, e, d.maxPeerDelay(e))
		if err != nil {
			return err
		}
		peers := []string{}
		for _, o := range d.entries {
			if o == e {
				continue
			}
			u, err := d.addLink(e.name, o, d.delay(e, o))
			if err != nil {
				return err
			}
			peers = append(peers, u)
		}
		values := map[string]any{"name": e.name, "listen": e.addr, "zone": e.zone, "rack": e.zone + "-entries", "url": announced, "log-url": logURL, "peers": peers}
		if err := d.writeSettings(e, values, d.cfg.EntrySettings); err != nil {
			return err
		}
	}
	return nil
}

// planWorkers adds the links of the agents, writes their settings files and sets the
// arguments of the upstreams.
func (d *Deployment) planWorkers() error {
	for i, a := range d.agents {
		urls := []string{}
		for _, e := range d.entries {
			u, err := d.addLink(a.name, e, d.delay(a, e))
			if err != nil {
				return err
			}
			urls = append(urls, u)
		}
		values := map[string]any{"name": a.name, "listen": a.addr, "zone": a.zone, "rack": a.rack, "entries": urls}
		if err := d.writeSettings(a, values, d.cfg.AgentSettings); err != nil {
			return err
		}
		d.setUpstreamArgs(d.upstreams[i], a.URL(), d.cfg.Slots)
	}
	return nil
}

func (d *Deployment) setUpstreamArgs(u *Process, agentURL string, slots int) {
	u.args = func(run int) []string {
		args := []string{"--listen", u.addr, "--agent", agentURL, "--name", u.name, "--slots", fmt.Sprint(slots), "--history", u.historyFile(run)}
		for _, s := range d.cfg.Services {
			args = append(args, "--service", s)
		}
		return args
	}
}

// maxPeerDelay returns the longest one-way delay between e and any other entry.
func (d *Deployment) maxPeerDelay(e *Process) time.Duration {
	var longest time.Duration
	for _, o := range d.entries {
		longest = max(longest, d.delay(e, o))
	}
	return longest
}

// delay returns the one-way delay between two processes.
func (d *Deployment) delay(a, b *Process) time.Duration {
	if a.zone == b.zone {
		return 0
	}
	return d.cfg.ZoneDelay
}

// addLink returns the URL at which from connects to to. If the deployment uses
// proxies, it starts one for this link.
func (d *Deployment) addLink(from string, to *Process, delay time.Duration) (string, error) {
	if !d.cfg.Proxies {
		return to.URL(), nil
	}
	p, err := faultproxy.Listen("127.0.0.1:0", to.addr)
	if err != nil {
		return "", fmt.Errorf("deployment: %w", err)
	}
	p.SetDelay(delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[Link{from, to.name}] = p
	return p.URL(), nil
}

// writeSettings writes the settings file of a process, in which overrides take
// precedence over values, and makes the process use it. It adds the overrides to values.
func (d *Deployment) writeSettings(p *Process, values, overrides map[string]any) error {
	for k, v := range overrides {
		values[k] = v
	}
	data, err := yaml.Marshal(values)
	if err != nil {
		return fmt.Errorf("deployment: settings of %s: %w", p.name, err)
	}
	path := filepath.Join(d.cfg.Dir, p.name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("deployment: settings of %s: %w", p.name, err)
	}
	p.args = func(int) []string { return []string{"--settings", path} }
	return nil
}

// Processes returns all processes in the order in which they are started.
func (d *Deployment) Processes() []*Process {
	var all []*Process
	if d.log != nil {
		all = append(all, d.log)
	}
	all = append(all, d.entries...)
	all = append(all, d.agents...)
	all = append(all, d.upstreams...)
	if d.direct != nil {
		all = append(all, d.direct)
	}
	return all
}

// Log returns the stand-in for the platform's log.
func (d *Deployment) Log() *Process { return d.log }

// Entries returns the entries.
func (d *Deployment) Entries() []*Process { return d.entries }

// Agents returns the agents. Upstream i registers with agent i.
func (d *Deployment) Agents() []*Process { return d.agents }

// Upstreams returns the upstreams.
func (d *Deployment) Upstreams() []*Process { return d.upstreams }

// Dir returns the directory that holds settings, logs and histories.
func (d *Deployment) Dir() string { return d.cfg.Dir }

// Links returns a copy of the map of fault proxies by link. It is empty without proxies.
func (d *Deployment) Links() map[Link]*faultproxy.Proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := make(map[Link]*faultproxy.Proxy, len(d.links))
	for l, p := range d.links {
		links[l] = p
	}
	return links
}

// EntryURLs returns the base URLs that callers use.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.entries {
		urls = append(urls, e.callerURL)
	}
	return urls
}

// MetricsURLs returns the base URLs of entries and agents, bypassing the proxies.
func (d *Deployment) MetricsURLs() []string {
	var urls []string
	for _, p := range append(append([]*Process(nil), d.entries...), d.agents...) {
		urls = append(urls, p.URL())
	}
	return urls
}

// HistoryFiles returns the files that the upstreams have written in all their runs,
// without those of the direct upstream.
func (d *Deployment) HistoryFiles() []string {
	var files []string
	for _, u := range d.upstreams {
		for run := 1; run <= u.Runs(); run++ {
			if _, err := os.Stat(u.historyFile(run)); err == nil {
				files = append(files, u.historyFile(run))
			}
		}
	}
	return files
}

// Close terminates every process, kills those that do not exit in time, and closes
// the lease server and the proxies. It signals each process by its own ID and never a
// process group.
func (d *Deployment) Close() error {
	all := d.Processes()
	if len(all) > 0 && all[0] == d.log {
		// The entries write to the log while they shut down.
		terminateAll(all[1:])
	}
	terminateAll(all)
	var errs []error
	if d.leaseServer != nil {
		errs = append(errs, d.leaseServer.close())
	}
	for _, p := range d.Links() {
		errs = append(errs, p.Close())
	}
	return errors.Join(errs...)
}

// terminateTimeout is the time after which terminateAll kills processes that are still
// shutting down.
const terminateTimeout = 5 * time.Second

func terminateAll(all []*Process) {
	ctx, cancel := context.WithTimeout(context.Background(), terminateTimeout)
	defer cancel()
	var exits sync.WaitGroup
	for _, p := range all {
		exits.Go(func() { p.terminateOrKill(ctx) })
	}
	exits.Wait()
}

// portPicker chooses different free ports below Linux's default ephemeral range, so that
// no outgoing connection can take the port of a process while it is down.
type portPicker struct{ used map[int]bool }

func (pp *portPicker) pick() (string, error) {
	for range 1000 {
		port := 18_000 + rand.IntN(14_000)
		if pp.used[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		pp.used[port] = true
		return addr, ln.Close()
	}
	return "", errors.New("deployment: no free port")
}
