//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// program is built by the command of the deploy file.
const program = "target/gypsumtide-platform"

// Ports are the same on all machines.
type ports struct{ frontend, readiness, control, worker, rangeFirst, store int }

// Process is a machine of the system with its one process.
type Process struct {
	role, name, ip string
	conf           string
	sys            *System

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// System is a small deployment on loopback addresses.
type System struct {
	rec     *Record
	dir     string
	ports   ports
	net     string // First three bytes of the addresses.
	store   *Store
	entries []*Process
	agents  []*Process
	workers []*Worker
	client  *http.Client
	version int
	claim   net.Listener
	// closing is set once the processes are being killed for good.
	closing atomic.Bool
	// ownStoreIPs gives each process an address of its own for the store.
	ownStoreIPs bool
}

// newSystem prepares a deployment. Nothing is started.
func newSystem(rec *Record, entries, agents int) (*System, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &System{rec: rec, dir: dir, store: newStore(rec)}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	if err := s.choosePorts(entries, agents); err != nil {
		return nil, err
	}
	for i := range entries {
		s.entries = append(s.entries, &Process{role: "entry", name: fmt.Sprintf("edge-z-a-%d", i+1), ip: s.entryIP(i), sys: s})
	}
	for i := range agents {
		s.agents = append(s.agents, &Process{role: "agent", name: fmt.Sprintf("side-z-a-%d", i+1), ip: s.agentIP(i), sys: s})
	}
	return s, nil
}

func (s *System) entryIP(i int) string { return fmt.Sprintf("%s.%d", s.net, 10+i) }
func (s *System) agentIP(i int) string { return fmt.Sprintf("%s.%d", s.net, 100+i) }
func (s *System) storeIP() string      { return s.net + ".2" }

// choosePorts chooses a loopback network and free ports on its addresses.
func (s *System) choosePorts(entries, agents int) error {
	// The choice is the same in each run if its ports are free, since agents choose their
	// entries by the addresses.
	choice := rand.New(rand.NewPCG(uint64(entries), uint64(agents)))
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 10+choice.IntN(200), choice.IntN(250))
		base := 12000 + 20*choice.IntN(900)
		s.ports = ports{frontend: base, readiness: base + 1, control: base + 2, worker: base + 3, store: base + 4, rangeFirst: base + 5}
		ips := []string{s.storeIP()}
		for i := range entries {
			ips = append(ips, s.entryIP(i))
		}
		for i := range agents {
			ips = append(ips, s.agentIP(i))
		}
		// This listener keeps other runs of the scripts from choosing the same addresses.
		claim, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.net, base))
		if err != nil {
			continue
		}
		if allFree(ips, base, base+10) {
			s.claim = claim
			return nil
		}
		_ = claim.Close()
	}
	return errors.New("no free ports")
}

func allFree(ips []string, from, to int) bool {
	for _, ip := range ips {
		for p := from; p < to; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns the settings file of a process.
func (s *System) settings(p *Process) string {
	var seeds []string
	for i := 0; i < min(3, len(s.entries)); i++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.entries[i].ip, s.ports.control))
	}
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=z-a", "region=r", "zones.z-a=r",
		fmt.Sprintf("portRange=%d,%d", s.ports.rangeFirst, s.ports.rangeFirst+4), "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "countsAsLoss=false", "limits.cpuQuota=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"discovery=local", "entry=vip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.slackMs=200", "bounds.configMs=2000",
		"bounds.holdMaxMs=1000", "bounds.stopMs=50", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remoteFactor=1.5", "bounds.leaseMs=3000", "bounds.resendMs=1300", "controlMode=rpc",
		fmt.Sprintf("platform.addr=%s:%d", p.storeIP(), s.ports.store), "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000",
		fmt.Sprintf("platform.parts=%d", storePartitions), "platform.appendMs=2.0", "platform.recordBytes=262144", "platform.callBytes=2097152",
		"platform.keep_s=300", "platform.partMb=200", "platform.ttlMinMs=1000",
	}
	if p.role == "entry" {
		lines = append(lines, "nodeClass=edge", "serves=edge,control",
			fmt.Sprintf("listen.frontend=%s:%d", p.ip, s.ports.frontend), fmt.Sprintf("listen.readiness=%s:%d", p.ip, s.ports.readiness))
	} else {
		lines = append(lines, "nodeClass=side", "serves=side")
	}
	lines = append(lines, fmt.Sprintf("listen.controlPlane=%s:%d", p.ip, s.ports.control))
	return strings.Join(lines, "\n") + "\n"
}

// startStore starts the store with the first table.
func (s *System) startStore(table string) error {
	s.publish(table)
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.storeIP(), s.ports.store))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s.store.Handler()) }()
	if !s.ownStoreIPs {
		return nil
	}
	for _, p := range append(append([]*Process{}, s.entries...), s.agents...) {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.storeIP(), s.ports.store))
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(l, s.store.Handler()) }()
	}
	return nil
}

// storeIP returns the address at which the process calls the store.
func (p *Process) storeIP() string {
	if !p.sys.ownStoreIPs {
		return p.sys.storeIP()
	}
	var last int
	_, _ = fmt.Sscanf(p.ip[len(p.sys.net):], ".%d", &last)
	return fmt.Sprintf("%s.%d", p.sys.net, 130+last/100*40+last%100)
}

// publish writes a new version of the configuration. The text holds the routes.
func (s *System) publish(routes string) {
	s.version += 3
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"orders"},{"name":"spares"}],"limits":{"maxBodyBytes":262144}}`, s.version, routes))
	s.rec.Log("operator: version %d is acknowledged: %s", s.version, routes)
}

// route returns a route of the configuration.
func route(name, service string, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":"shop.example","prefix":"/%s/","service":%q,"priority":1,"attempts":%d,"timeoutMs":30000,"slackFactor":1.6,"sloMs":60}`, name, name, service, attempts)
}

// startAll starts the store, the workers and the processes.
func (s *System) startAll(table string, workers []WorkerConfig) error {
	if err := s.startStore(table); err != nil {
		return err
	}
	for _, p := range append(append([]*Process{}, s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for i, cfg := range workers {
		p := s.agents[i]
		w := newWorker(s.rec, fmt.Sprintf("%s:%d", p.ip, s.ports.worker), fmt.Sprintf("%s:%d", p.ip, s.ports.control))
		s.workers = append(s.workers, w)
		if err := w.Start(cfg); err != nil {
			return err
		}
	}
	return s.awaitReady(15 * time.Second)
}

// awaitReady waits until all entries report that they are ready.
func (s *System) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range s.entries {
		for !s.ready(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *System) ready(p *Process) bool {
	resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/gypsumtide/readyz", p.ip, s.ports.readiness))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close kills all processes that were started and removes the temporary folder, unless
// REVIEW_KEEP is set.
func (s *System) close() {
	s.closing.Store(true)
	for _, p := range append(append([]*Process{}, s.entries...), s.agents...) {
		p.kill()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// start starts the process with the command of the deploy file.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() || p.sys.closing.Load() {
		return nil
	}
	if p.conf == "" {
		p.conf = filepath.Join(p.sys.dir, p.name+".conf")
		if err := os.WriteFile(p.conf, []byte(p.sys.settings(p)), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.sys.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GYPSUMTIDE_CONFIG=" + p.conf}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.sys.rec.Log("%s starts at %s, process %d", p.name, p.ip, cmd.Process.Pid)
	return nil
}

// running reports whether the process has been started and has not ended. The caller holds
// the lock.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.sys.rec.Log("%s gets signal %v", p.name, sig)
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits for the end of the process.
func (p *Process) wait() { p.waitFor(maxTime) }

// waitFor waits for the end of the process, but no longer than limit.
func (p *Process) waitFor(limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// kill kills the process and waits for its end.
func (p *Process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Kill()
	<-exited
	p.sys.rec.Log("%s is killed", p.name)
}

// call sends a request of a client to an entry. The status is 0 without an answer.
func (s *System) call(p *Process, method, path, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, s.ports.frontend, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "shop.example"
	r.Header.Set("X-Gypsumtide-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// submit hands a stored job in until an entry answers other than with no answer, 502 or 504.
// It returns the status of the last answer.
func (s *System) submit(path, body string, choose func(attempt int) *Process) int {
	status := 0
	for attempt := range 12 {
		p := choose(attempt)
		var text string
		status, text = s.call(p, http.MethodPost, path, body, 1500*time.Millisecond)
		s.rec.Log("client: POST %s at %s -> %d %s", path, p.name, status, strings.TrimSpace(text))
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job.
func (s *System) state(p *Process, path string) (int, string) {
	status, text := s.call(p, http.MethodGet, path, "", 1500*time.Millisecond)
	s.rec.Log("client: GET %s at %s -> %d %s", path, p.name, status, strings.TrimSpace(text))
	return status, text
}

// step is a step of a job.
type step struct {
	count      int
	cpu, ms    int64
	constraint string
}

// jobBody returns the body of a job. All its tasks take the same time and size, which the
// spec tells the workers.
func jobBody(ephemeral bool, steps ...step) string {
	var list []string
	for i, st := range steps {
		text := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d`, st.count, st.cpu, st.ms)
		if st.constraint != "" {
			text += fmt.Sprintf(`,"constraints":%q`, st.constraint)
		}
		if i > 0 {
			text += fmt.Sprintf(`,"dependsOn":[%d]`, i-1)
		}
		list = append(list, text+"}")
	}
	best := ""
	if ephemeral {
		best = `"bestEffort":true,`
	}
	return fmt.Sprintf(`{%s"spec":"%d %d","steps":[%s]}`, best, steps[0].ms, steps[0].cpu, strings.Join(list, ","))
}
