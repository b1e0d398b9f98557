// Package fleet reads and validates the fleet file: the operators' complete
// description of the servers, models and services, and where they may run.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"leverdrum/internal/conf"
	"leverdrum/level"
	"leverdrum/workspace"
)

// Fleet is the content of a valid fleet file.
type Fleet struct {
	Number           uint64
	AttainmentWeight float64
	MoveWeight       float64
	// DemandHorizon is how long demand is assumed to last. The gain of a move is
	// computed over that time.
	DemandHorizon time.Duration
	AffinitySlack float64
	// TargetUtilization is the share of a model server's slots up to which responses
	// are on time.
	TargetUtilization  float64
	LoadsPerSecond     float64
	MaxConcurrentLoads int

	Halls     map[string]*Hall
	Classes   map[string]*Class
	Servers   map[string]*Server
	Models    map[string]*Model
	Adapters  map[string]*Adapter
	Services  map[string]*Service
	Instances map[string]*Instance
	// Routes map hosts and paths to pools.
	Routes []*Route
	// Pools are the services whose backend servers announce themselves.
	Pools map[string]*Pool
	// HasWarmUp reports whether the servers of some pool accept fewer requests while
	// they warm up.
	HasWarmUp bool
	Limits    Limits
	// Workspaces own the requests; nil if no caller needs a key.
	Workspaces *workspace.Registry
	kinds      map[string]*Kind
}

// Hall is a data hall.
type Hall struct{ Name, Region string }

// Class is a service class.
type Class struct {
	Name         string
	Deadline     time.Duration
	FirstToken   time.Duration
	StallTimeout time.Duration
	Priority     int
}

// Kind is a kind of model server.
type Kind struct {
	Name          string
	ChecksFences  bool
	MaxOrderDelay time.Duration
	Accelerators  int
	Memory        uint64 // bytes of one accelerator
	KVReserve     uint64 // bytes of one accelerator
	Concurrency   int
	// ResumesStreams reports whether a stream can resume at another server of the kind.
	ResumesStreams bool
	// CountsOrders reports whether a server rejects an order that does not state
	// the number of orders that the server has accepted, so that at most one of all
	// duplicates of an order runs.
	CountsOrders bool
	// AdapterSlots is the maximum number of adapters on one accelerator; 0: no limit.
	AdapterSlots int
	// FetchPerToken is how long a server takes to fetch one token of a prompt prefix
	// that another server of its kind has cached; 0: it cannot fetch.
	FetchPerToken time.Duration
	// CacheTokens is how many tokens of prompts and running requests a server holds in memory; 0: unknown.
	CacheTokens int
}

// UsableMemory returns the bytes of one accelerator that are available to models and adapters.
func (k *Kind) UsableMemory() uint64 { return k.Memory - k.KVReserve }

// Server is a model server.
type Server struct {
	Name     string
	Address  string
	Hall     string
	Kind     *Kind
	Draining bool
	// Pool is the service for which the server announced itself, or "" if the file
	// lists the server.
	Pool string
}

// Model is a model.
type Model struct {
	Name         string
	Version      string
	Memory       uint64 // bytes
	Class        *Class
	Priority     int
	Halls        []string
	MinCopies    int
	MaxCopies    int
	ExpectedRate float64 // requests a second
	Adapters     []*Adapter
	// Pool is the service whose servers hold the model, or "" for the servers that
	// the file lists.
	Pool string
	// LoadTime is the duration of a load from the weight store without concurrent
	// loads. WarmTime and DiskTime are those of loads from the server's own memory
	// and disk. 0 if unknown.
	LoadTime, WarmTime, DiskTime time.Duration
}

// Footprint returns the size in bytes of one copy with all its adapters.
func (m *Model) Footprint() uint64 {
	sum := m.Memory
	for _, a := range m.Adapters {
		sum += a.Memory
	}
	return sum
}

// MayRunIn reports whether a copy may be placed in the hall.
func (m *Model) MayRunIn(hall string) bool {
	return len(m.Halls) == 0 || slices.Contains(m.Halls, hall)
}

// Adapter is an adapter of a model.
type Adapter struct {
	Name    string
	Model   string
	Version string
	Memory  uint64 // bytes
	// OnDemand adapters are resident only where requests ask for them.
	OnDemand bool
}

// Service is a plain service.
type Service struct {
	Name          string
	Class         *Class
	NonRepeatable []Call
	KeyHeader     string
	// SharesLoad reports whether boxes share the load of its servers (package loadshare).
	SharesLoad bool
	Instances  []*Instance
}

// Call matches calls by method and path.
type Call struct {
	Method string
	Path   string // without the trailing *
	Prefix bool
}

// Matches reports whether c covers the call.
func (c Call) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if c.Prefix {
		return strings.HasPrefix(path, c.Path)
	}
	return path == c.Path
}

// Repeatable reports whether a call may be retried after an attempt with unknown
// outcome.
func (s *Service) Repeatable(method, path string) bool {
	return !slices.ContainsFunc(s.NonRepeatable, func(c Call) bool { return c.Matches(method, path) })
}

// Instance is a backend server of a service.
type Instance struct {
	Name        string
	Service     string
	Address     string
	Hall        string
	Draining    bool
	Concurrency int
}

// Digest returns the hexadecimal SHA-256 hash of a file's content.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Parse reads and validates a fleet file. The path is used only in faults. The
// error is conf.Faults.
func Parse(path string, text []byte) (*Fleet, error) { return parseAt(level.Newest, path, text) }

func parseAt(l level.Level, path string, text []byte) (*Fleet, error) {
	d := conf.Read(path, text, schemaAt(l))
	r := &reader{level: l, doc: d, fleet: newFleet()}
	r.read()
	if len(d.Faults()) == 0 {
		r.checkCapacity()
	}
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return r.fleet, nil
}

func newFleet() *Fleet {
	return &Fleet{
		Halls: map[string]*Hall{}, Classes: map[string]*Class{}, kinds: map[string]*Kind{},
		Servers: map[string]*Server{}, Models: map[string]*Model{}, Adapters: map[string]*Adapter{},
		Services: map[string]*Service{}, Instances: map[string]*Instance{}, Pools: map[string]*Pool{},
	}
}

type reader struct {
	level level.Level
	doc   *conf.Document
	fleet *Fleet
}

func (r *reader) read() {
	head := r.doc.Section("fleet")
	f := r.fleet
	f.Number = uint64(head.Int("number"))
	f.AttainmentWeight, f.MoveWeight = head.Float("attainment-weight"), head.Float("move-weight")
	f.AffinitySlack, f.TargetUtilization = head.Float("affinity-slack"), head.Float("good-use")
	f.DemandHorizon = head.Duration("demand-lasts")
	f.LoadsPerSecond, f.MaxConcurrentLoads = head.Float("loads-per-second"), head.Int("loads-at-once")
	for _, p := range r.doc.Sections("hall") {
		f.Halls[p.Name] = &Hall{p.Name, p.String("region")}
	}
	for _, p := range r.doc.Sections("class") {
		f.Classes[p.Name] = &Class{p.Name, p.Duration("deadline"), p.Duration("first-token"), p.Duration("stall-after"), p.Int("priority")}
	}
	r.readServers()
	r.readModels()
	r.readServices()
	r.readWorkspaces()
}

func (r *reader) readWorkspaces() {
	var list []*workspace.Workspace
	parts := map[string]*conf.SectionValues{}
	for _, p := range r.doc.Sections(sectionWorkspace) {
		w := &workspace.Workspace{Name: p.Name, Urgency: p.Int("urgency"), Quota: workspace.Quota{
			Unit: workspace.Unit(p.String("unit")), Rate: p.Float("rate"), Burst: p.Float("burst"), DefaultTokens: p.Float("plain-tokens"),
		}}
		for i, text := range p.List("keys") {
			d, err := workspace.ParseKey(text)
			if err != nil {
				p.AddFault("keys", fmt.Sprintf("key %d is invalid: %v", i+1, err), "keys generated by `leverdrum key`, or their digests")
				continue
			}
			w.Keys = append(w.Keys, d)
		}
		parts[p.Name] = p
		list = append(list, w)
	}
	registry, conflicts := workspace.NewRegistry(list)
	for _, c := range conflicts {
		parts[c.Second].AddFault("keys", c.String(), "each key in one workspace only")
	}
	r.fleet.Workspaces = registry
}

func (r *reader) readServers() {
	f := r.fleet
	for _, p := range r.doc.Sections("kind") {
		k := &Kind{
			Name: p.Name, ChecksFences: p.Bool("checks-fences"), MaxOrderDelay: p.Duration("order-late"),
			Accelerators: p.Int("accelerators"), Memory: p.Bytes("memory"), KVReserve: p.Bytes("kv-reserve"), Concurrency: p.Int("concurrency"),
			ResumesStreams: p.Bool("resumes-streams"),
		}
		if k.KVReserve >= k.Memory {
			p.AddFault("kv-reserve", "leaves no memory for models", "a value below memory")
		}
		f.kinds[p.Name] = k
	}
	for _, p := range r.doc.Sections("server") {
		s := &Server{Name: p.Name, Address: p.String("address"), Hall: p.String("hall"), Draining: p.Bool("leaving")}
		s.Kind = lookup(p, "kind", f.kinds)
		lookup(p, "hall", f.Halls)
		f.Servers[p.Name] = s
	}
}

func (r *reader) readModels() {
	f := r.fleet
	for _, p := range r.doc.Sections("model") {
		m := &Model{
			Name: p.Name, Version: p.String("version"), Memory: p.Bytes("memory"), Class: lookup(p, "class", f.Classes),
			Priority: p.Int("priority"), Halls: p.List("halls"), MinCopies: p.Int("copies"), MaxCopies: p.Int("max-copies"), ExpectedRate: p.Float("expected"),
		}
		if m.MaxCopies < m.MinCopies {
			p.AddFault("max-copies", "is below copies", fmt.Sprintf("at least %d", m.MinCopies))
		}
		for _, hall := range m.Halls {
			if f.Halls[hall] == nil {
				p.AddFault("halls", fmt.Sprintf("%q is not a hall of this file", hall), names(f.Halls))
			}
		}
		f.Models[p.Name] = m
	}
	for _, p := range r.doc.Sections("adapter") {
		a := &Adapter{Name: p.Name, Model: p.String("model"), Version: p.String("version"), Memory: p.Bytes("memory")}
		if f.Models[p.Name] != nil {
			p.AddFault("", "a model has the same name", "a unique name")
		}
		if m := lookup(p, "model", f.Models); m != nil {
			m.Adapters = append(m.Adapters, a)
		}
		f.Adapters[p.Name] = a
	}
}

func (r *reader) readServices() {
	f := r.fleet
	for _, p := range r.doc.Sections("service") {
		s := &Service{Name: p.Name, Class: lookup(p, "class", f.Classes), KeyHeader: p.String("key-header")}
		if r.level >= level.SharedLoad {
			s.SharesLoad = p.String(keyShareLoad) == "on"
		}
		for _, text := range p.List("non-repeatable") {
			c, ok := parseCall(text)
			if !ok {
				p.AddFault("non-repeatable", fmt.Sprintf("%q is not a call", text), "METHOD /path, METHOD /path*")
			}
			s.NonRepeatable = append(s.NonRepeatable, c)
		}
		f.Services[p.Name] = s
	}
	for _, p := range r.doc.Sections("instance") {
		i := &Instance{
			Name: p.Name, Service: p.String("service"), Address: p.String("address"), Hall: p.String("hall"),
			Draining: p.Bool("leaving"), Concurrency: p.Int("concurrency"),
		}
		lookup(p, "hall", f.Halls)
		if s := lookup(p, "service", f.Services); s != nil {
			s.Instances = append(s.Instances, i)
		}
		if f.Servers[p.Name] != nil {
			p.AddFault("", "a model server has the same name", "a unique name")
		}
		f.Instances[p.Name] = i
	}
}

func parseCall(text string) (Call, bool) {
	method, path, ok := strings.Cut(text, " ")
	path = strings.TrimSpace(path)
	if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		return Call{}, false
	}
	c := Call{Method: method, Path: path}
	c.Path, c.Prefix = strings.CutSuffix(path, "*")
	return c, true
}

// lookup returns the section that a key refers to, and adds a fault if there is none.
func lookup[T any](p *conf.SectionValues, key string, in map[string]*T) *T {
	name := p.String(key)
	if v := in[name]; v != nil || name == "" {
		return v
	}
	p.AddFault(key, fmt.Sprintf("%q is not in this file", name), names(in))
	return nil
}

func names[T any](m map[string]*T) string {
	const maxNames = 8
	list := sortedNames(m)
	if len(list) > maxNames {
		return strings.Join(list[:maxNames], ", ") + ", …"
	}
	return strings.Join(list, ", ")
}
