// Package upstream manages the upstreams of an agent: their announcements, leases,
// slots, connections and failures.
package upstream

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// The errors of a lease renewal or a departure.
var (
	// ErrUnknown means that no upstream of that name is registered.
	ErrUnknown = errors.New("unknown upstream")
	// ErrStaleLease means that the lease has another generation or has expired.
	ErrStaleLease = errors.New("stale lease")
)

// Config configures a Registry.
type Config struct {
	// DefaultSlots and DefaultConnections apply if an announcement omits them.
	DefaultSlots       int
	DefaultConnections int
	// DefaultTTL is the duration of a lease if an announcement omits it.
	DefaultTTL gypsumtide.Millis
	// ReserveShortPercent is the percentage of slots that long tasks may not use until
	// ShortReserveWindow after the last short task.
	ReserveShortPercent int
	// MaxRunTime limits the wait for the response to a task.
	MaxRunTime gypsumtide.Millis
	// MaxResponseBytes limits the body of a response, in bytes.
	MaxResponseBytes int64
	// SharedKey, if set, is sent to upstreams and required from them.
	SharedKey string
	// TLS returns the configuration for upstreams with an https URL. If it is nil, the
	// default configuration is used.
	TLS func() (*tls.Config, error)
	// Health controls the ejection of failing upstreams.
	Health HealthConfig
}

// Announcement describes an upstream. The upstream sends it to its agent.
type Announcement struct {
	Name        string            `json:"name"`
	URL         string            `json:"url"`
	Services    []string          `json:"services"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
	Capacity    gypsumtide.Size   `json:"capacity"`
	TTL         gypsumtide.Millis `json:"ttl-ms,omitempty"`
}

// Lease is the response to an announcement or a renewal.
type Lease struct {
	Generation uint64            `json:"generation"`
	TTL        gypsumtide.Millis `json:"ttl-ms"`
}

// Registry holds the announced upstreams of an agent. It is safe for concurrent use.
type Registry struct {
	clock    gypsumtide.Clock
	cfg      Config
	onChange func()

	mu sync.Mutex
	// lastShortAt is the time at which a short task last requested a slot.
	lastShortAt gypsumtide.Millis
	upstreams   map[string]*registration
	// generation is the generation of the lease that was granted last.
	generation uint64
}

// registration is an announced upstream. The registry's mutex protects it.
type registration struct {
	Announcement
	// generation and expiresAt describe the current lease.
	generation uint64
	expiresAt  gypsumtide.Millis
	leaving    bool
	// running is the number of slots in use, and runningLong the number of those that
	// long tasks use.
	running     int
	runningLong int
	// used is the resource usage that the upstream last reported.
	used   gypsumtide.Size
	health *health
	client *client
}

// New returns an empty registry. It calls onChange, without holding a lock, when an
// upstream announces itself, starts to leave, is ejected or serves again after an
// ejection, and when the last running task of a leaving upstream ends. It does not call
// onChange when a lease expires or a back-off ends.
func New(clock gypsumtide.Clock, cfg Config, onChange func()) *Registry {
	return &Registry{
		clock:     clock,
		cfg:       cfg,
		onChange:  onChange,
		upstreams: make(map[string]*registration),
		// Starting from the wall clock keeps the generations of successive agent
		// processes distinct.
		generation: uint64(clock.Wall()),
	}
}

// Announce registers an upstream, or replaces its previous announcement, and grants
// a lease of a new generation.
func (r *Registry) Announce(a Announcement) (Lease, error) {
	if err := r.normalize(&a); err != nil {
		return Lease{}, fmt.Errorf("upstream: announce: %w", err)
	}
	tlsConfig, err := r.tlsConfig()
	if err != nil {
		return Lease{}, fmt.Errorf("upstream: announce: %w", err)
	}
	r.mu.Lock()
	reg := r.upstreams[a.Name]
	if reg == nil {
		reg = &registration{health: newHealth(r.cfg.Health)}
		r.upstreams[a.Name] = reg
	}
	if reg.client == nil || reg.URL != a.URL || reg.Connections != a.Connections {
		reg.client.close()
		reg.client = newClient(a.Connections, tlsConfig)
	}
	r.generation++
	reg.Announcement = a
	reg.generation = r.generation
	reg.expiresAt = r.clock.Now() + a.TTL
	reg.leaving = false
	lease := Lease{Generation: reg.generation, TTL: a.TTL}
	r.mu.Unlock()
	r.onChange()
	return lease, nil
}

func (r *Registry) tlsConfig() (*tls.Config, error) {
	if r.cfg.TLS == nil {
		return nil, nil
	}
	return r.cfg.TLS()
}

// normalize validates the announcement and sets the defaults of omitted fields.
func (r *Registry) normalize(a *Announcement) error {
	if a.Name == "" {
		return errors.New("name must not be empty")
	}
	u, err := url.Parse(a.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("url %q is not an http or https URL with a host", a.URL)
	}
	if len(a.Services) == 0 {
		return errors.New("services must not be empty")
	}
	if a.Slots == 0 {
		a.Slots = r.cfg.DefaultSlots
	}
	if a.Connections == 0 {
		a.Connections = r.cfg.DefaultConnections
	}
	if a.TTL == 0 {
		a.TTL = r.cfg.DefaultTTL
	}
	if a.Slots < 1 || a.Connections < 1 || a.TTL < 1 {
		return errors.New("slots, connections and ttl-ms must be positive")
	}
	return a.checkLimits(u)
}

// maxSlots limits the slots and the connections of an upstream, so that the sums over many
// upstreams do not overflow.
const maxSlots = 1 << 20

// checkLimits returns a *gypsumtide.InvalidValueError for a value that is too large, and for a
// port that is out of range in the parsed URL.
func (a *Announcement) checkLimits(u *url.URL) error {
	switch {
	case a.Slots > maxSlots:
		return &gypsumtide.InvalidValueError{Field: "slots", Value: a.Slots}
	case a.Connections > maxSlots:
		return &gypsumtide.InvalidValueError{Field: "connections", Value: a.Connections}
	case a.TTL > gypsumtide.MaxDuration:
		return &gypsumtide.InvalidValueError{Field: "ttl-ms", Value: a.TTL}
	}
	if u.Port() != "" {
		if err := gypsumtide.ValidateAddress(u.Host); err != nil {
			return err
		}
	}
	return a.Capacity.Validate()
}

// Renew extends a lease of the current generation that has not expired.
func (r *Registry) Renew(name string, generation uint64) (Lease, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := r.upstreams[name]
	if reg == nil {
		return Lease{}, ErrUnknown
	}
	now := r.clock.Now()
	if reg.generation != generation || now >= reg.expiresAt {
		return Lease{}, ErrStaleLease
	}
	reg.expiresAt = now + reg.TTL
	return Lease{Generation: reg.generation, TTL: reg.TTL}, nil
}

// Leave marks the upstream as leaving: no more tasks start at it, and its running
// tasks finish.
func (r *Registry) Leave(name string) error {
	r.mu.Lock()
	reg := r.upstreams[name]
	if reg == nil {
		r.mu.Unlock()
		return ErrUnknown
	}
	reg.leaving = true
	r.removeInactive()
	r.mu.Unlock()
	r.onChange()
	return nil
}

// SetUsed records the resource usage that an upstream reports.
func (r *Registry) SetUsed(name string, used gypsumtide.Size) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reg := r.upstreams[name]; reg != nil {
		reg.used = used
	}
}

// Used returns the sum of the last reported resource usage of the upstreams.
func (r *Registry) Used() gypsumtide.Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum gypsumtide.Size
	for _, reg := range r.upstreams {
		sum.Processors += reg.used.Processors
		sum.Memory += reg.used.Memory
		sum.Accelerators += reg.used.Accelerators
	}
	return sum
}

// Announced returns the upstreams as the agent announces them to the entries, sorted
// by name. A leaving upstream is listed while it has running tasks, any other one until
// its lease expires. An upstream that is being probed offers one slot.
func (r *Registry) Announced() []wire.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeInactive()
	now := r.clock.Now()
	var list []wire.Upstream
	for _, reg := range r.upstreams {
		if now >= reg.expiresAt && !reg.leaving {
			continue
		}
		state := reg.health.stateAt(now)
		u := wire.Upstream{Name: reg.Name, Services: reg.Services, Slots: min(reg.Slots, reg.Connections), Capacity: reg.Capacity, Leaving: reg.leaving, Ejected: state == stateEjected}
		if state == stateProbing {
			u.Slots = 1
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b wire.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// removeInactive removes the upstreams that are leaving or have an expired lease, and
// have no running tasks. The mutex must be held.
func (r *Registry) removeInactive() {
	now := r.clock.Now()
	for name, reg := range r.upstreams {
		if reg.running == 0 && (reg.leaving || now >= reg.expiresAt) {
			reg.client.close()
			delete(r.upstreams, name)
		}
	}
}

// Close closes the idle connections to all upstreams.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reg := range r.upstreams {
		reg.client.close()
	}
}
