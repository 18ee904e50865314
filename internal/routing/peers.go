package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
)

// The HTTP paths of the API between entries.
const (
	PeerPath  = "/v1/peers"
	TablePath = "/v1/route-table"
)

// Intervals and limits of the exchange between entries.
const (
	exchangeInterval gypsumtide.Millis = 500
	exchangeTimeout  gypsumtide.Millis = 400
	// fetchTimeout limits the transfer of a compressed table.
	fetchTimeout gypsumtide.Millis = 1500
	// startExchangeInterval replaces exchangeInterval while an entry without a table cannot
	// reach the store, since it refuses all requests until a peer has provided a table.
	startExchangeInterval gypsumtide.Millis = 100
	// peerTableDelay is how long a starting entry without a table waits for an answer of the
	// store before it accepts a table from a peer, since the peer may have lost the store as
	// well. It waits no longer once the store has rejected a read.
	peerTableDelay gypsumtide.Millis = 1000
	// announceInterval is the time after which an entry reads the directory again and renews
	// its record.
	announceInterval   gypsumtide.Millis = 30_000
	announceRetryDelay gypsumtide.Millis = 1000
	// maxPeerConnections is the number of idle connections kept open to a peer.
	maxPeerConnections = 2
	// maxTableBytes is the maximum size of a message or a table from a peer.
	maxTableBytes = 8 << 20
	// exchangesPerInterval is the number of randomly chosen entries with which an entry
	// exchanges messages in each interval. Each of them passes on what it has learned, so
	// that news reaches all entries within a few intervals. With all of them the cost
	// would grow with the square of the number of entries.
	exchangesPerInterval = 6
)

// peerMessage describes the state of its sender. Two entries exchange their messages in
// one HTTP request and its response.
type peerMessage struct {
	Address string   `cbor:"1,keyasint,omitempty"`
	Version uint64   `cbor:"2,keyasint,omitempty"`
	Entries []string `cbor:"3,keyasint,omitempty"`
	// Stored is set once stored jobs are in use.
	Stored bool `cbor:"4,keyasint,omitempty"`
	// Queued holds, by route, the number of the sender's stored jobs of which no task has
	// started.
	Queued map[string]int `cbor:"5,keyasint,omitempty"`
	// Evacuations is the newest set of evacuated zones of the sender.
	Evacuations gypsumtide.Evacuations `cbor:"6,keyasint,omitempty"`
	// Saturated is set while the sender has too little processor time for its requests.
	Saturated bool `cbor:"7,keyasint,omitempty"`
}

// Peers exchanges messages with the other entries, and fetches their route tables if these
// are newer, so that an entry receives new tables and evacuations even if it cannot reach the
// store.
type Peers struct {
	ownAddress string
	name       string
	entries    *link.Addresses
	holder     *TableHolder
	decode     func(raw []byte) (*gypsumtide.RouteTable, error)
	directory  gypsumtide.Directory
	clock      gypsumtide.Clock
	log        gypsumtide.DecisionLogger
	client     *link.Client
	startedAt  gypsumtide.Millis

	// queued returns, by route, the number of this entry's stored jobs of which no task
	// has started. It is set before Run.
	queued func() map[string]int
	// saturated reports whether this entry is saturated. It is set before Run.
	saturated func() bool
	usage     *storedUsage
	check     usageCheck

	// unreadable is the last logged text about directory records that cannot be decoded.
	// Only the goroutine of syncDirectory accesses it.
	unreadable string

	// fetching is locked while a table is fetched, since several transfers at a time would
	// delay each other on a thin link.
	fetching sync.Mutex
	// tables compresses the table for other entries.
	tables tableCompressor

	// ahead receives the address of an entry whose message named a newer table.
	ahead chan string

	// zonesChanged receives a value when the evacuated zones have changed. evacuatedZones are
	// the zones at the last change. Only noteEvacuations accesses them.
	zonesChanged   chan struct{}
	evacuatedZones []string

	mu sync.Mutex
	// inProgress holds the addresses with which an exchange of messages is in progress.
	inProgress map[string]bool
	// queueCounts holds the numbers of queued jobs that the other entries last sent, by the
	// address of the entry.
	queueCounts map[string]peerCounts
	// peerStates holds the states that the other entries last sent, by address.
	peerStates map[string]peerState
}

// NewPeers returns the Peers of the entry with the given name and ownAddress. The entry
// exchanges messages with the addresses in entries, and adds those that it learns of.
func NewPeers(name, ownAddress string, entries *link.Addresses, holder *TableHolder, source gypsumtide.TableSource, directory gypsumtide.Directory, clock gypsumtide.Clock, log gypsumtide.DecisionLogger) *Peers {
	p := &Peers{
		ownAddress: ownAddress, name: name, entries: entries, holder: holder, decode: source.Decode, directory: directory,
		clock: clock, log: log, startedAt: clock.Now(), ahead: make(chan string, 1), zonesChanged: make(chan struct{}, 1), inProgress: make(map[string]bool),
		queued: func() map[string]int { return nil }, usage: newStoredUsage(), queueCounts: make(map[string]peerCounts),
		saturated: func() bool { return false }, peerStates: make(map[string]peerState),
		client: link.NewClient(exchangeTimeout, maxPeerConnections, maxTableBytes),
	}
	holder.OnEvacuations(p.noteEvacuations)
	return p
}

// Run exchanges messages with the other entries, reads the directory and renews this entry's
// record in it, until ctx is done.
func (p *Peers) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("directory", p.syncDirectory)
	ticker := time.NewTicker(exchangeInterval.Duration())
	defer ticker.Stop()
	for {
		for _, address := range p.choosePeers() {
			p.startExchange(g, address)
		}
		ticker.Reset(p.untilNextExchange().Duration())
		for waiting := true; waiting; {
			select {
			case <-g.Context().Done():
				return g.Wait()
			case address := <-p.ahead:
				p.startExchange(g, address)
			case <-p.zonesChanged:
				// An evacuation must reach all entries within its bound, also those that
				// cannot reach the store.
				waiting = false
			case <-ticker.C:
				waiting = false
			}
		}
	}
}

// untilNextExchange returns the time until the next exchanges with other entries.
func (p *Peers) untilNextExchange() gypsumtide.Millis {
	if p.holder.awaitsPeerTable() {
		return startExchangeInterval
	}
	return exchangeInterval
}

// startExchange starts an exchange with the entry at the address, unless one is in progress.
func (p *Peers) startExchange(g *group.Group, address string) {
	if !p.beginExchange(address) {
		return
	}
	g.Add("exchange with "+address, func(ctx context.Context) error {
		p.exchangeWith(ctx, address)
		return nil
	})
}

// choosePeers returns the addresses with which to exchange messages now. While stored jobs
// are in use these are all, since an entry adds up the queue counts of all others.
func (p *Peers) choosePeers() []string {
	peers := slices.DeleteFunc(p.entries.List(), func(address string) bool { return address == p.ownAddress })
	if active, _ := p.usage.Active(); active || len(peers) <= exchangesPerInterval {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:exchangesPerInterval]
}

// beginExchange reports whether an exchange with the address may start. There is at most
// one at a time with each address. The transfer of a table is not part of it, since news of
// an evacuation must not wait for the table on a thin link.
func (p *Peers) beginExchange(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[address] {
		return false
	}
	p.inProgress[address] = true
	return true
}

func (p *Peers) endExchange(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, address)
}

// syncDirectory reads the directory and renews this entry's record until ctx is done.
func (p *Peers) syncDirectory(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.readAndAnnounce(ctx); err != nil {
			p.log.Decision("directory-unreachable", "error", err.Error())
			gypsumtide.Sleep(ctx, announceRetryDelay)
			continue
		}
		gypsumtide.Sleep(ctx, announceInterval)
	}
	return ctx.Err()
}

// readAndAnnounce reads the directory and then writes this entry's record. It reads first
// because the record that it replaces, of an earlier incarnation, may say that stored jobs
// are in use. It ignores records that cannot be decoded.
func (p *Peers) readAndAnnounce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	records, err := p.directory.Records(callCtx)
	var unreadable *gypsumtide.UnreadableRecordsError
	if err != nil && !errors.As(err, &unreadable) {
		return err
	}
	p.logUnreadable(unreadable)
	p.entries.AddRecords(records)
	p.usage.updateFromDirectory(records)
	active, _ := p.usage.Active()
	return p.announce(callCtx, active)
}

// logUnreadable logs the records that cannot be decoded once, until others cannot be.
func (p *Peers) logUnreadable(unreadable *gypsumtide.UnreadableRecordsError) {
	text := ""
	if unreadable != nil {
		text = unreadable.Error()
	}
	if text != "" && text != p.unreadable {
		p.log.Decision("directory-record-unreadable", "error", text)
	}
	p.unreadable = text
}

// announce writes this entry's directory record, which says whether stored jobs are in
// use.
func (p *Peers) announce(ctx context.Context, stored bool) error {
	return p.directory.Announce(ctx, gypsumtide.DirectoryRecord{Name: p.name, Address: p.ownAddress, Announced: p.clock.Wall(), Stored: stored})
}

func (p *Peers) message() peerMessage {
	active, _ := p.usage.Active()
	return peerMessage{Address: p.ownAddress, Version: p.holder.Version(), Entries: p.entries.Shareable(), Stored: active, Queued: p.queued(), Evacuations: p.holder.Evacuations(), Saturated: p.saturated()}
}

// exchangeWith exchanges messages with another entry, and fetches the route table of that
// entry if it is newer than the table of this entry. The evacuations of that entry are
// adopted before.
func (p *Peers) exchangeWith(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	m, err := p.sendMessage(callCtx, address)
	p.endExchange(address)
	if err != nil {
		// The error is not logged: the other entry may have stopped, which its agents and
		// callers notice first.
		return
	}
	p.applyMessage(address, &m)
	if m.Version <= p.holder.Version() || !p.acceptsPeerTables() || !p.fetching.TryLock() {
		return
	}
	defer p.fetching.Unlock()
	fetchCtx, cancelFetch := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancelFetch()
	if err := p.fetch(fetchCtx, address); err != nil {
		p.log.Decision("peer-table-failed", "peer", address, "version", m.Version, "error", err.Error())
	}
}

// applyMessage processes a message of the entry at the address: it updates the known
// addresses, the evacuations, whether stored jobs are in use, and the queue counts of that
// entry.
func (p *Peers) applyMessage(address string, m *peerMessage) {
	// Unlike a table, a set is adopted before the store has been read: the entry would
	// otherwise know of no evacuation at all.
	p.holder.OfferEvacuations(m.Evacuations, address)
	p.entries.Confirm(address)
	for _, a := range m.Entries {
		p.entries.Add(a)
	}
	if m.Stored {
		p.usage.activate()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteState(address, m.Saturated)
	if len(m.Queued) == 0 {
		delete(p.queueCounts, address)
		return
	}
	p.queueCounts[address] = peerCounts{receivedAt: p.clock.Now(), queued: m.Queued}
}

// acceptsPeerTables reports whether a table may be fetched from a peer. A starting entry
// without a table tries the store first, since a peer may have lost the store, and takes no
// table before it knows the evacuations.
func (p *Peers) acceptsPeerTables() bool {
	if p.holder.Table() != nil {
		return true
	}
	storeTried := p.holder.awaitsPeerTable() || p.clock.Now()-p.startedAt > peerTableDelay
	return storeTried && p.holder.Evacuations().Version > 0
}

// noteEvacuations requests exchanges with other entries if the set of evacuated zones has
// changed. A version that rises without a change waits for the next interval.
func (p *Peers) noteEvacuations(e gypsumtide.Evacuations) {
	if slices.Equal(e.Zones, p.evacuatedZones) {
		return
	}
	p.evacuatedZones = e.Zones
	select {
	case p.zonesChanged <- struct{}{}:
	default:
		// A request is pending already.
	}
}

func (p *Peers) sendMessage(ctx context.Context, address string) (peerMessage, error) {
	var m peerMessage
	err := p.client.Exchange(ctx, address, PeerPath, p.message(), &m)
	return m, err
}

func (p *Peers) fetch(ctx context.Context, address string) error {
	raw, err := p.client.Call(ctx, http.MethodGet, address, TablePath, nil)
	if err != nil {
		return err
	}
	t, err := p.decode(raw)
	if err != nil {
		return err
	}
	p.holder.Offer(t, raw, address)
	return nil
}

// RegisterHandlers registers the handlers of the API between entries.
func (p *Peers) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PeerPath, p.handleMessage)
	mux.HandleFunc("GET "+TablePath, p.serveTable)
}

func (p *Peers) handleMessage(w http.ResponseWriter, r *http.Request) {
	var m peerMessage
	reply, ok := p.client.HandleExchange(w, r, &m, func() any {
		p.applyMessage(m.Address, &m)
		p.noteVersion(&m)
		return p.message()
	})
	if ok {
		p.write(w, reply)
	}
}

// noteVersion requests an exchange with the sender of a message that names a newer table.
func (p *Peers) noteVersion(m *peerMessage) {
	newer := m.Version > p.holder.Version()
	if !newer || gypsumtide.ValidateAddress(m.Address) != nil {
		return
	}
	select {
	case p.ahead <- m.Address:
	default:
		// The next one will be noted, or an exchange of the next interval finds the table.
	}
}

// serveTable serves the route table to other entries, which all accept gzip.
func (p *Peers) serveTable(w http.ResponseWriter, _ *http.Request) {
	raw, version := p.holder.Encoded()
	if raw == nil {
		http.Error(w, "no route table", http.StatusNotFound)
		return
	}
	compressed, err := p.tables.compress(raw, version)
	if err != nil {
		p.log.Decision("table-not-compressed", "version", version, "error", err.Error())
		p.write(w, raw)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	p.write(w, compressed)
}

func (p *Peers) write(w http.ResponseWriter, data []byte) {
	if _, err := w.Write(data); err != nil && !errors.Is(err, context.Canceled) {
		p.log.Decision("peer-answer-lost", "error", err.Error())
	}
}
