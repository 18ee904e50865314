//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

// Names of the deployment.
const (
	zone     = "kgn-a"
	service  = "peg-orders"
	hostName = "orders.example"
	prefix   = "/firm/"
)

// Ports of the hosts. Each host has its own loopback address.
const (
	portCallers = 28161
	portControl = 28166
	portReady   = 28167
	portStore   = 28169
	portWorker  = 28171
	portFirst   = 27720
)

// deployment is a running system with stand-ins for the store and the workers.
type deployment struct {
	rec     *recorder
	dir     string
	block   string
	program string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker

	mu   sync.Mutex
	live map[*process]bool
	stop chan struct{}
}

// process is one process of the system on a host of its own.
type process struct {
	d        *deployment
	role, ip string
	name     string
	cmd      *exec.Cmd
	done     chan struct{}
}

// newDeployment starts the store. It returns an error if an address is not free.
func newDeployment(rec *recorder, program string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, dir: dir, program: program, store: newStore(rec), live: make(map[*process]bool), stop: make(chan struct{}),
		block: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(240), 1+rand.IntN(250)),
	}
	routes := []map[string]any{{
		"name": "firm-order", "host": hostName, "prefix": prefix, "service": service, "priority": 1, "attempts": 3,
		"timeoutMs": 1500, "slackFactor": 1.5, "sloMs": 60,
	}}
	config, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes, "services": []map[string]any{{"name": service, "admissionCheck": false}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		return nil, err
	}
	d.store.put("keyed.op", "config", config)
	return d, d.listen(d.storeAddress(), d.store)
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s250:%d", d.block, portStore) }

func (d *deployment) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }() // Ends with this process.
	return nil
}

// addEntry adds an entry, which the caller starts.
func (d *deployment) addEntry() *process {
	n := len(d.entries) + 1
	p := &process{d: d, role: "entry", ip: fmt.Sprintf("%s%d", d.block, n), name: fmt.Sprintf("edge-%s-%d", zone, n)}
	d.entries = append(d.entries, p)
	return p
}

// addWorker adds a worker with its agent, and starts the worker only.
func (d *deployment) addWorker(cpu int64, labels ...string) (*process, *worker, error) {
	n := len(d.agents) + 1
	p := &process{d: d, role: "agent", ip: fmt.Sprintf("%s%d", d.block, 100+n), name: fmt.Sprintf("side-%s-%d", zone, n)}
	address := fmt.Sprintf("%s:%d", p.ip, portWorker)
	w := newWorker(d.rec, fmt.Sprintf("i-%08x", 0x7f3a0000+n), service, address, fmt.Sprintf("%s:%d", p.ip, portControl), cpu, labels...)
	d.agents, d.workers = append(d.agents, p), append(d.workers, w)
	if err := d.listen(address, w); err != nil {
		return nil, nil, err
	}
	go w.run(d.stop)
	return p, w, nil
}

// settings returns the settings file of a process, as DEPLOY.md shows it.
func (p *process) settings() string {
	var seeds []string
	for _, e := range p.d.entries[:min(3, len(p.d.entries))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip, portControl))
	}
	class, serves := "edge", "edge,control"
	if p.role == "agent" {
		class, serves = "side", "side"
	}
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "nodeClass=" + class, "serves=" + serves, "ip=" + p.ip,
		"zone=" + zone, "region=jm-south", "zones." + zone + "=jm-south",
		fmt.Sprintf("listen.controlPlane=%s:%d", p.ip, portControl), fmt.Sprintf("portRange=%d,%d", portFirst, portFirst+15),
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "countsAsLoss=false", "limits.cpuQuota=0.4", "limits.cores=1",
		"limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=local", "entry=vip",
		"heartbeatMs=1500", "faultTolerance.machines=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.slackMs=200", "bounds.configMs=2000", "bounds.recoveryS=12", "bounds.holdMaxMs=1000",
		"bounds.stopMs=50", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remoteFactor=1.5", "bounds.resendMs=1300", "controlMode=rpc", "platform.addr=" + p.d.storeAddress(), "platform.form=log",
		"platform.writesPerS=800", "platform.readsPerS=2000", fmt.Sprintf("platform.parts=%d", storeParts), "platform.appendMs=2.0",
		fmt.Sprintf("platform.recordBytes=%d", storeRecordBytes), fmt.Sprintf("platform.callBytes=%d", storeCallBytes),
		"platform.keep_s=300", "platform.partMb=200", "platform.ttlMinMs=1000",
	}
	if p.role == "entry" {
		lines = append(lines, fmt.Sprintf("listen.frontend=%s:%d", p.ip, portCallers), fmt.Sprintf("listen.readiness=%s:%d", p.ip, portReady))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	path := filepath.Join(p.d.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.d.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMTIDE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.cmd, p.done = cmd, make(chan struct{})
	p.d.mu.Lock()
	p.d.live[p] = true
	p.d.mu.Unlock()
	p.d.rec.add("%s %s starts at %s", p.role, p.name, p.ip)
	go func(done chan struct{}) {
		_ = cmd.Wait() // An end by a signal is expected.
		_ = log.Close()
		close(done)
	}(p.done)
	return nil
}

// dump lets the process end with SIGQUIT, and copies into the record where the goroutine waits
// that sends to a full channel, if any.
func (p *process) dump() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	<-p.done
	data, err := os.ReadFile(filepath.Join(p.d.dir, p.name+".log"))
	if err != nil {
		return
	}
	_, stacks, _ := strings.Cut(string(data), "SIGQUIT: quit")
	for _, stack := range strings.Split(stacks, "\n\n") {
		if strings.Contains(stack, "[chan send") {
			p.d.rec.add("%s: %s", p.name, stack)
		}
	}
}

func startAll(processes ...*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.d.rec.add("%s %s is killed", p.role, p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.d.mu.Lock()
	delete(p.d.live, p)
	p.d.mu.Unlock()
}

// killAll kills the processes at the same moment.
func killAll(processes ...*process) {
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		p.kill()
	}
}

// close ends all processes. It keeps their logs in keep, if that is set.
func (d *deployment) close() {
	close(d.stop)
	d.mu.Lock()
	var left []*process
	for p := range d.live {
		left = append(left, p)
	}
	d.mu.Unlock()
	for _, p := range left {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// awaitReady waits until all entries are ready, or an error after some time.
func (d *deployment) awaitReady(entries ...*process) error {
	until := time.Now().Add(20 * time.Second)
	for _, e := range entries {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/gypsumtide/readyz", e.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.add("all entries are ready")
	return nil
}
