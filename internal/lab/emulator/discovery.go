package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// discovery is a stand-in for discovery: GET /v1/endpoints, with index and wait for a watch. Each front door has
// an address of its own there, so that it is known who was told what.
type discovery struct {
	e       *Emu
	servers []*http.Server
	at      []string
	mu      sync.Mutex
	index   int64
	lines   []line
	news    chan struct{} // closed at the next change
	late    time.Duration
	stale   int
	held    []func()
	refused int
	names   *updater // where changes are told by DNS
}

// line is a backend as it is told.
type line struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
	n       int
	since   int64
	stage   policy.EndpointState
	version int64
}

type list struct {
	Index     int64  `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []line `json:"endpoints"`
}

func newDiscovery(e *Emu) (*discovery, error) {
	d := &discovery{e: e, index: 1, news: make(chan struct{})}
	for n, b := range e.backends {
		d.lines = append(d.lines, line{n: n, Name: scenario.BackendName(n), Address: b.gate.address, Type: "m1",
			Zone: scenario.ZoneName(n % e.s.Backends.Zones), Group: n % e.s.Backends.Groups, Status: "up", Weight: 1,
			stage: policy.EndpointReady, version: 1})
	}
	if e.s.Discovery.Source == "dns" {
		d.names = newUpdater(e)
	}
	for n := range e.s.Instances.Count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(w, r, n) }),
			ReadHeaderTimeout: 5 * time.Second}
		d.servers, d.at = append(d.servers, server), append(d.at, l.Addr().String())
		go server.Serve(l)
	}
	return d, nil
}

func (d *discovery) address(door int) string { return d.at[door] }

func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

var words = map[policy.EndpointState]string{policy.EndpointReady: "up", policy.EndpointDraining: "draining", policy.EndpointGone: "removed"}

// publish tells of a backend's state now, after the usual delay.
func (d *discovery) publish(b *backend) {
	b.mu.Lock()
	stage, started := b.stage, b.started
	b.mu.Unlock()
	d.mu.Lock()
	late := d.late
	d.mu.Unlock()
	apply := func() {
		l := &d.lines[b.n]
		d.index++
		l.stage, l.Status, l.since, l.version = stage, words[stage], started, d.index
		if l.SinceMs = 0; started > 0 {
			l.SinceMs = float64(d.e.log.Start().UnixNano()+started) / 1e6
		}
		close(d.news)
		d.news = make(chan struct{})
		if d.names != nil {
			d.names.tell(*l)
		}
	}
	d.e.after(time.Duration(d.e.s.Discovery.Delay)+late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stale > 0 {
			d.held = append(d.held, apply)
		} else {
			apply()
		}
	})
}

func (d *discovery) hold(step int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stale += step; d.stale == 0 {
		for _, apply := range d.held {
			apply()
		}
		d.held = nil
	}
}

func (d *discovery) delay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late += by
}

func (d *discovery) refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.refused++
	} else {
		d.refused--
	}
	close(d.news) // watches that are out end with an error
	d.news = make(chan struct{})
}

// whole is the whole list, as told to a door; -1: to nobody.
func (d *discovery) whole(door int) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Index: d.index, Snapshot: true, Endpoints: []line{}}
	for n, x := range d.lines {
		if x.stage != policy.EndpointGone {
			l.Endpoints = append(l.Endpoints, x)
		}
		d.told(door, n)
	}
	return l
}

// told notes that a door is told of a backend, before it is: what follows counts as known.
func (d *discovery) told(door, n int) {
	if door >= 0 {
		d.e.log.Observe(invariants.Event{Kind: invariants.EndpointDelivered, Instance: door, Backend: n, State: d.lines[n].stage, StartedNanos: d.lines[n].since})
	}
}

// since is what is newer than a version.
func (d *discovery) since(index int64, door int) (list, chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Index: d.index, Endpoints: []line{}}
	for n, x := range d.lines {
		if x.version > index {
			l.Endpoints = append(l.Endpoints, x)
			d.told(door, n)
		}
	}
	return l, d.news, d.refused > 0
}

func (d *discovery) answer(w http.ResponseWriter, r *http.Request, door int) {
	d.mu.Lock()
	refused := d.refused > 0
	d.mu.Unlock()
	if refused {
		panic(http.ErrAbortHandler) // the connection breaks
	}
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	index, err := strconv.ParseInt(r.FormValue("index"), 10, 64)
	if err != nil {
		json.NewEncoder(w).Encode(d.whole(door))
		return
	}
	wait, _ := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	until := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer until.Stop()
	for {
		l, news, refused := d.since(index, door)
		if refused {
			panic(http.ErrAbortHandler)
		}
		if len(l.Endpoints) > 0 {
			json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-news:
		case <-until.C:
			json.NewEncoder(w).Encode(l)
			return
		case <-r.Context().Done():
			return
		}
	}
}
