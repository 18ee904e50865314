//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts. Each host has a loopback address of its own.
const (
	portFrontend  = 18161
	portControl   = 18166
	portReady     = 18167
	portWorker    = 18165
	portStore     = 18169
	portFirst     = 17720
	storeTopicOp  = "keyed.op"
	storeKeyTable = "config"
)

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recorder writes record.txt and keeps the events of the workers.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	begin  time.Time
	events []event
	lines  int
}

// maxEventLines limits the events that are written out one by one.
const maxEventLines = 20000

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) event(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	if r.lines++; r.lines <= maxEventLines {
		fmt.Fprintf(r.file, "%8.3f %s %s run %d of %s %s\n", e.At.Sub(r.begin).Seconds(), e.Worker, e.Kind, e.Run, e.Task, e.How)
	}
}

func (r *recorder) history() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// process is a process of the system.
type process struct {
	role, ip string
	path     string // of the settings file
	cmd      *exec.Cmd
	done     chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	ctx     context.Context
	rec     *recorder
	dir     string
	network string // "127.x.y."
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	trouble bool
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", c.network, host, port)
}

// Host numbers in the network.
const (
	hostStore      = 2
	hostFirstEntry = 10
	hostFirstAgent = 100
)

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	return nil
}

// newCluster starts the store. The operator's first configuration is there before the processes.
func newCluster(ctx context.Context, rec *recorder, dir string, trouble bool, table map[string]any) (*cluster, error) {
	c := &cluster{ctx: ctx, rec: rec, dir: dir, trouble: trouble, store: newStore(rec)}
	data, err := json.Marshal(table)
	if err != nil {
		return nil, err
	}
	c.store.Put(storeTopicOp, storeKeyTable, data)
	for range 20 {
		c.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if err = serve(ctx, c.address(hostStore, portStore), c.store.handler()); err == nil {
			return c, nil
		}
	}
	return nil, err
}

func (c *cluster) settings(role string, host, entries int) string {
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, c.address(hostFirstEntry+i, portControl))
	}
	ip := fmt.Sprintf("%s%d", c.network, host)
	zone := []string{"kgn-a", "kgn-b", "spt-a", "mbay-a"}[host%4]
	lines := []string{
		fmt.Sprintf("nodeName=%s-%d", role, host), "role=" + role, "ip=" + ip, "zone=" + zone, "region=jm-south",
		fmt.Sprintf("portRange=%d,%d", portFirst, portFirst+15), "seeds=" + strings.Join(seeds, ","), "bootstrap=true",
		fmt.Sprintf("listen.controlPlane=%s:%d", ip, portControl), "limits.cores=1", "limits.maxFds=4096", "limits.linkMbps=1000.0",
		"discovery=local", "entry=vip", "heartbeatMs=1500", "controlMode=rpc",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.slackMs=200", "bounds.configMs=2000",
		"bounds.holdMaxMs=1000", "bounds.stopMs=50", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remoteFactor=1.5", "bounds.restoreMs=250", "bounds.leaseMs=3000", "bounds.fencingEnforced=true", "bounds.resendMs=1300",
		"platform.addr=" + c.address(hostStore, portStore), "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000", "platform.parts=4",
		"platform.appendMs=2.0", "platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300", "platform.ttlMinMs=1000",
	}
	if role == "entry" {
		lines = append(lines, "nodeClass=edge", "serves=edge,control", "limits.cpuQuota=0.4", "limits.memoryMb=284",
			fmt.Sprintf("listen.frontend=%s:%d", ip, portFrontend), fmt.Sprintf("listen.readiness=%s:%d", ip, portReady))
	} else {
		lines = append(lines, "nodeClass=side", "serves=side", "limits.cpuQuota=0.24", "limits.memoryMb=152", "app="+c.address(host, portWorker))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the entries, the workers and their agents.
func (c *cluster) start(entries int, services []string, cpu int64) error {
	for i := range entries {
		p, err := c.newProcess("entry", hostFirstEntry+i, entries)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	for i, service := range services {
		host := hostFirstAgent + i
		w := newWorker(fmt.Sprintf("i-%08x", rand.Uint32()), service, c.address(host, portWorker), "kgn-a", cpu, c.rec)
		if err := serve(c.ctx, w.address, w.handler()); err != nil {
			return err
		}
		p, err := c.newProcess("agent", host, entries)
		if err != nil {
			return err
		}
		c.workers, c.agents = append(c.workers, w), append(c.agents, p)
		c.rec.add("worker %s of service %s on host %s%d", w.id, service, c.network, host)
		go w.run(c.ctx, c.address(host, portControl))
	}
	return nil
}

func (c *cluster) newProcess(role string, host, entries int) (*process, error) {
	p := &process{role: role, ip: fmt.Sprintf("%s%d", c.network, host), path: filepath.Join(c.dir, fmt.Sprintf("%s-%d.conf", role, host))}
	if err := os.WriteFile(p.path, []byte(c.settings(role, host, entries)), 0o600); err != nil {
		return nil, err
	}
	return p, c.launch(p)
}

func (c *cluster) launch(p *process) error {
	log, err := os.OpenFile(p.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/gypsumtide-platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMTIDE_CONFIG=" + p.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	c.rec.add("%s %s started, process %d", p.role, p.ip, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill ends a process with SIGKILL and waits for its end.
func (c *cluster) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.done
	c.rec.add("%s %s killed", p.role, p.ip)
}

func (c *cluster) ended(p *process) bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, p := range append(append([]*process(nil), c.entries...), c.agents...) {
		if !c.ended(p) {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// awaitReady waits until all entries are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	deadline := time.Now().Add(limit)
	for _, p := range c.entries {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/gypsumtide/readyz", p.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) || c.ctx.Err() != nil {
				return fmt.Errorf("%w: entry %s is not ready", errNotRun, p.ip)
			}
			pause(c.ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// reply is the answer to a client. Status is 0 if there was none.
type reply struct {
	Status int
	State  string
	Queued int
}

func (r reply) String() string {
	if r.Status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %s", r.Status, r.State)
}

const clientDeadline = 1500 * time.Millisecond

// call sends a request of a client to an entry.
func (c *cluster) call(p *process, method, path, body string) reply {
	return c.callWithin(p, method, path, body, clientDeadline)
}

func (c *cluster) callWithin(p *process, method, path, body string, within time.Duration) reply {
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(c.ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, portFrontend, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}
	}
	r.Host = "nony24.example"
	r.Header.Set("X-Gypsumtide-Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	var b struct {
		State  string `json:"state"`
		Queued int    `json:"queuedJobs"`
	}
	_ = json.Unmarshal(data, &b)
	return reply{resp.StatusCode, b.State, b.Queued}
}

// submit hands in a job, as often as a client does that gets no answer. It records what was sent
// and answered.
func (c *cluster) submit(p *process, path, body string) bool {
	for range 8 {
		begin := time.Now()
		a := c.call(p, http.MethodPost, path, body)
		shown := body
		if len(shown) > 300 {
			shown = fmt.Sprintf("%s... (%d bytes)", shown[:300], len(body))
		}
		c.rec.add("POST %s to %s: %s after %v: %s", path, p.ip, a, time.Since(begin).Round(time.Millisecond), shown)
		if a.Status/100 == 2 {
			return true
		}
		if c.ctx.Err() != nil {
			return false
		}
		pause(c.ctx, 500*time.Millisecond)
	}
	return false
}

// route returns a route of the operator's table.
func route(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "nony24.example", "prefix": "/" + name + "/", "service": service, "priority": 0, "attempts": 4,
		"timeoutMs": 1500, "slackFactor": 1.6, "sloMs": 60,
	}
}

func table(routes ...map[string]any) map[string]any {
	return map[string]any{"version": 3, "routes": routes, "services": []any{}, "limits": map[string]any{"maxBodyBytes": 262144}}
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
