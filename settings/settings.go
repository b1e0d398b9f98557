// Package settings reads and validates the INI file of one box.
package settings

import (
	"cmp"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"leverdrum/internal/conf"
)

// Roles of a box.
const (
	// RoleControl boxes store the replicated state in a data folder.
	RoleControl = "control"
	// RoleEntry boxes accept callers' requests.
	RoleEntry = "entry"
)

// Schema lists all settings of a box.
var Schema = []conf.Section{
	{Kind: "box", Required: true, Description: "Identity of this box.", Keys: []conf.Key{
		{Name: "name", Type: conf.Name, Required: true, Description: "The box's name, unique in the cluster."},
		{Name: "hall", Type: conf.Name, Required: true, Description: "The data hall where it is located."},
		{Name: "regions", Type: conf.Texts, Default: "", Description: "HALL=REGION of each data hall, for halls whose region the fleet file does not state."},
		{Name: "roles", Type: conf.Choices, Choices: []string{RoleControl, RoleEntry}, Default: "entry", Description: "Its roles. `control` needs a data folder."},
	}},
	{Kind: "cluster", Required: true, Description: "The cluster to which the box belongs.", Keys: []conf.Key{
		{Name: "name", Type: conf.Name, Required: true, Description: "The cluster's name; boxes of other clusters are rejected."},
		{Name: "first-members", Type: conf.Names, Default: "", Description: "The control boxes that form the cluster together once, when all of them are new. Not with `seeds`."},
		{Name: "boxes", Type: conf.Addresses, Default: "", Description: "Box-to-box addresses known at the start: the control boxes at least. Not with `seeds`."},
		{Name: "seeds", Type: conf.Texts, Default: "", Description: "Instead of `boxes`: any addresses (IP number:port) of boxes. The name of each is its IP number, and its box-to-box port is that of this box."},
		{Name: "form", Type: conf.Bool, Default: "false", Description: "With `seeds`: whether these are the first members, all new, that form the cluster together; a majority of them is enough."},
		{Name: "voters", Type: conf.Int, Default: "0", Description: "Number of voters; 0: the number of first members."},
		{Name: "tolerate", Type: conf.Int, Default: "0", Description: "How many voters may fail at once; if above 0, there are twice as many voters plus one."},
		{Name: "voters-need-disks", Type: conf.Bool, Default: "false", Description: "Whether boxes without a disk never replace a lost voter temporarily."},
	}},
	{Kind: "peer", Required: true, Description: "Box-to-box traffic.", Keys: []conf.Key{
		{Name: "listen", Type: conf.Address, Required: true, Description: "Address on which this box listens for other boxes; it also calls them from this IP number."},
		{Name: "advertise", Type: conf.Address, Default: "", Description: "The address announced to other boxes; none: `listen`."},
		{Name: "plain-text", Type: conf.Choice, Choices: []string{"loopback", "anywhere"}, Default: "loopback", Description: "Where box-to-box and operators' traffic is allowed without TLS."},
	}},
	{Kind: "entry", Description: "Callers' traffic.", Keys: []conf.Key{
		{Name: "listen", Type: conf.Address, Default: "", Description: "Address on which callers reach this box; required by the role entry."},
		{Name: "dialect", Type: conf.Choice, Choices: []string{DialectOwn, DialectPlatform}, Default: DialectOwn, Description: "Header names of requests that are routed by host and path."},
		{Name: "parting", Type: conf.Duration, Default: "0s", Description: "How long a draining backend server still gets requests that no other server can take. Must be shorter than the time it keeps serving."},
		{Name: "ready-listen", Type: conf.Address, Default: "", Description: "Address for the platform's readiness check; none: disabled."},
		{Name: "max-body", Type: conf.Bytes, Default: "8MiB", Description: "Maximum size of a request body."},
		{Name: "header-timeout", Type: conf.Duration, Default: "5s", Description: "Time limit for a caller to send the headers."},
		{Name: "body-timeout", Type: conf.Duration, Default: "30s", Description: "Time limit for a caller to send a complete request."},
		{Name: "balancer-lag", Type: conf.Duration, Default: "3s", Description: "How long requests are still accepted at a planned stop after the readiness check began to fail."},
		{Name: "stop-timeout", Type: conf.Duration, Default: "10m", Description: "How long a planned stop waits for requests in flight after `balancer-lag`. Those that are left are then answered as unknown, or broken off."},
		{Name: "grace", Type: conf.Duration, Default: "0s", Description: "How long after the signal of a planned stop the platform kills the process; the stop takes less time, and `balancer-lag` at most half of it. 0s: the platform waits."},
	}},
	{Kind: "operator", Required: true, Description: "Operators' traffic, metrics and health.", Keys: []conf.Key{
		{Name: "listen", Type: conf.Address, Required: true, Description: "Address on which operators reach this box."},
		{Name: "platform-listen", Type: conf.Address, Default: "", Description: "Address on which the platform's operators and backend servers that announce themselves reach this box; none: disabled."},
		{Name: "accept-wait", Type: conf.Duration, Default: "4s", Description: "How long an apply waits until the file is active on all recently seen boxes, before a majority of them is enough."},
		{Name: "accept-most", Type: conf.Duration, Default: "8s", Description: "How long after a file was committed an apply of it waits for a majority of the boxes, over all its attempts."},
	}},
	{Kind: "orders", Description: "Orders to model servers.", Keys: []conf.Key{
		{Name: "pause", Type: conf.Duration, Default: "0s", Description: "How long a new leader sends no orders, so that the previous leader is certain to send none."},
		{Name: "demand-settles", Type: conf.Duration, Default: "10s", Description: "How long a new leader waits for demand reports before it moves anything to meet demand."},
	}},
	{Kind: "budget", Description: "Retry budget for requests that are routed by host and path, over all boxes.", Keys: []conf.Key{
		{Name: "ratio", Type: conf.Float, Default: "0.1", Description: "Retries that each request to a service adds to the budget."},
		{Name: "slack", Type: conf.Float, Default: "20", Description: "Additional retries to a service allowed in each window."},
		{Name: "window", Type: conf.Duration, Default: "10s", Description: "The time window of the budget."},
	}},
	{Kind: "upgrade", Description: "Rolling upgrades.", Keys: []conf.Key{
		{Name: "settles", Type: conf.Duration, Default: "10m", Description: "How long all boxes run a build before the cluster uses features that only this build supports. Until then it can be rolled back to the previous build."},
	}},
	{Kind: "quotas", Description: "Quotas of workspaces, over all boxes.", Keys: []conf.Key{
		{Name: "window", Type: conf.Duration, Default: "8s", Description: "The time window over which quotas are enforced: a request that does not fit into any such window is refused at once."},
	}},
	{Kind: "load", Description: "Exchange of the load and speed of backend servers between boxes.", Keys: []conf.Key{
		{Name: "share", Type: conf.Choice, Choices: []string{"off", "auto"}, Default: "off", Description: "Whether boxes share it; auto: for pools with streaming routes of three or more ranks and an event gap target of 400 ms or less, where there are 32 or more boxes."},
	}},
	{Kind: "limits", Description: "Resource limits of the process.", Keys: []conf.Key{
		{Name: "memory", Type: conf.Bytes, Default: "0B", Description: "Maximum memory of the process; 0: no limit. The garbage collector aims to stay below four fifths of it."},
		{Name: "link", Type: conf.Float, Default: "0", Description: "Bandwidth of the box's network link in Mbit/s; 0: unknown. Reads of a fleet file that takes long to send over the link are redirected to the leader."},
	}},
	{Kind: "data", Description: "The data folder.", Keys: []conf.Key{
		{Name: "folder", Type: conf.Text, Default: "", Description: "Folder for the replicated state; required by the role control."},
		{Name: "limit", Type: conf.Bytes, Default: "1GiB", Description: "Maximum size of the folder; above it, applies are rejected."},
		{Name: "compact-after", Type: conf.Int, Default: "1024", Min: 8, Description: "Log entries after which a snapshot is taken."},
	}},
	{Kind: "tls", Description: "Certificates for box-to-box and operators' traffic. They are reloaded when the files change.", Keys: []conf.Key{
		{Name: "certificate", Type: conf.Text, Default: "", Description: "File with this box's certificate; its name must be the box's."},
		{Name: "key", Type: conf.Text, Default: "", Description: "File with the certificate's key."},
		{Name: "authority", Type: conf.Text, Default: "", Description: "File with the certificates used to verify peers and operators."},
	}},
	{Kind: "platform", Description: "The platform's list of live and draining machines.", Keys: []conf.Key{
		{Name: "address", Type: conf.Address, Default: "", Description: "Address from which the list is read; none: no list."},
		{Name: "every", Type: conf.Duration, Default: "1s", Description: "Interval between reads."},
	}},
	{Kind: "timing", Description: "Consensus timings; must be the same on all boxes.", Keys: []conf.Key{
		{Name: "election", Type: conf.Duration, Default: "600ms", Description: "Minimum time without a leader before a new one is elected."},
		{Name: "heartbeat", Type: conf.Duration, Default: "100ms", Description: "Interval between a leader's heartbeats."},
		{Name: "lease", Type: conf.Duration, Default: "450ms", Description: "How long a heartbeat acknowledged by a quorum keeps its sender the leader. Must be below `election`."},
		{Name: "config-lease", Type: conf.Duration, Default: "3s", Description: "Maximum age of the last update from a leader before a box must ask other boxes whether it is up to date."},
		{Name: "repair-after", Type: conf.Duration, Default: "5s", Description: "Time after which an unresponsive voter is replaced."},
	}},
	{Kind: "log", Description: "Logs.", Keys: []conf.Key{
		{Name: "level", Type: conf.Choice, Choices: []string{"debug", "info", "warn", "error"}, Default: "info", Description: "Minimum level that is logged."},
	}},
}

// Dialects are sets of header names for requests that are routed by host and path.
const (
	DialectOwn      = "own"
	DialectPlatform = "platform"
)

// Settings are the validated settings of a box.
type Settings struct {
	Box   string
	Hall  string
	Roles []string
	// Regions maps data halls to their regions.
	Regions map[string]string

	Cluster      string
	FirstMembers []string
	// Boxes maps box names to box-to-box addresses.
	Boxes map[string]string
	// Seeded reports whether Boxes are derived from seeds, and FormCluster whether
	// they are new and form the cluster.
	Seeded          bool
	FormCluster     bool
	Voters          int
	VotersNeedDisks bool

	PeerListen     string
	PeerAdvertise  string
	AllowPlaintext bool

	EntryListen   string
	Dialect       string
	ReadyListen   string
	DrainingGrace time.Duration
	MaxBody       int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	BalancerLag   time.Duration
	StopTimeout   time.Duration
	// Grace is the time from the signal of a planned stop until the process is killed; 0: it is not.
	Grace time.Duration

	OperatorListen string
	PlatformListen string
	AcceptWait     time.Duration
	MaxAcceptWait  time.Duration

	OrderPause        time.Duration
	DemandSettleTime  time.Duration
	BudgetRatio       float64
	BudgetSlack       float64
	BudgetWindow      time.Duration
	QuotaWindow       time.Duration
	UpgradeSettleTime time.Duration
	// SharesLoad reports whether the box shares the load of backend servers with others where the fleet file asks for it.
	SharesLoad  bool
	MemoryLimit int64
	// LinkMbps is the bandwidth of the box's network link in Mbit/s; 0: unknown.
	LinkMbps float64

	DataFolder   string
	DataLimit    int64
	CompactAfter int

	TLS TLS

	PlatformAddress  string
	PlatformInterval time.Duration

	Election    time.Duration
	Heartbeat   time.Duration
	Lease       time.Duration
	ConfigLease time.Duration
	RepairAfter time.Duration

	LogLevel string
}

// TLS holds the paths of the certificate files; if all are empty, traffic is in plain text.
type TLS struct{ Certificate, Key, Authority string }

// Enabled reports whether TLS is set up.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// IsControl reports whether the box has the control role and stores the replicated state.
func (s *Settings) IsControl() bool { return slices.Contains(s.Roles, RoleControl) }

// IsEntry reports whether the box has the entry role and accepts callers' requests.
func (s *Settings) IsEntry() bool { return slices.Contains(s.Roles, RoleEntry) }

// Load reads and validates a file. The error is conf.Faults if the file cannot be
// read or is invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, conf.Faults{{File: path, Problem: "cannot be read: " + err.Error()}}
	}
	return Parse(path, data)
}

// Parse validates the settings in data. The path is used only in faults.
func Parse(path string, data []byte) (*Settings, error) {
	d := conf.Read(path, data, Schema)
	s := decode(d)
	crossCheck(d, s)
	if faults := d.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func decode(d *conf.Document) *Settings {
	box, cluster, peer := d.Section("box"), d.Section("cluster"), d.Section("peer")
	entry, data, tls := d.Section("entry"), d.Section("data"), d.Section("tls")
	timing, platform, operator, budget := d.Section("timing"), d.Section("platform"), d.Section("operator"), d.Section("budget")
	s := &Settings{
		Box: box.String("name"), Hall: box.String("hall"), Regions: parsePairs(box.List("regions")), Roles: box.List("roles"),
		Cluster: cluster.String("name"), FirstMembers: cluster.List("first-members"), Boxes: parsePairs(cluster.List("boxes")),
		PeerListen: peer.String("listen"), PeerAdvertise: cmp.Or(peer.String("advertise"), peer.String("listen")), AllowPlaintext: peer.String("plain-text") == "anywhere",
		EntryListen: entry.String("listen"), MaxBody: int64(entry.Bytes("max-body")),
		HeaderTimeout: entry.Duration("header-timeout"), BodyTimeout: entry.Duration("body-timeout"), BalancerLag: entry.Duration("balancer-lag"), StopTimeout: entry.Duration("stop-timeout"), Grace: entry.Duration("grace"),
		FormCluster: cluster.Bool("form"), Voters: voterCount(cluster.Int("voters"), cluster.Int("tolerate")), VotersNeedDisks: cluster.Bool("voters-need-disks"),
		Dialect: entry.String("dialect"), ReadyListen: entry.String("ready-listen"), DrainingGrace: entry.Duration("parting"),
		OperatorListen: operator.String("listen"), PlatformListen: operator.String("platform-listen"), AcceptWait: operator.Duration("accept-wait"), MaxAcceptWait: operator.Duration("accept-most"),
		OrderPause: d.Section("orders").Duration("pause"), DemandSettleTime: d.Section("orders").Duration("demand-settles"),
		BudgetRatio: budget.Float("ratio"), BudgetSlack: budget.Float("slack"), BudgetWindow: budget.Duration("window"), QuotaWindow: d.Section("quotas").Duration("window"), UpgradeSettleTime: d.Section("upgrade").Duration("settles"),
		SharesLoad:  d.Section("load").String("share") == "auto",
		MemoryLimit: int64(d.Section("limits").Bytes("memory")), LinkMbps: d.Section("limits").Float("link"),
		DataFolder: data.String("folder"), DataLimit: int64(data.Bytes("limit")), CompactAfter: data.Int("compact-after"),
		TLS:             TLS{tls.String("certificate"), tls.String("key"), tls.String("authority")},
		PlatformAddress: platform.String("address"), PlatformInterval: platform.Duration("every"),
		Election: timing.Duration("election"), Heartbeat: timing.Duration("heartbeat"), Lease: timing.Duration("lease"),
		ConfigLease: timing.Duration("config-lease"), RepairAfter: timing.Duration("repair-after"),
		LogLevel: d.Section("log").String("level"),
	}
	s.applySeeds(d, cluster.List("seeds"))
	return s
}

// voterCount returns the number of voters needed to tolerate the given number of
// failures, or the configured number; 0: the number of first members.
func voterCount(voters, tolerate int) int {
	if tolerate > 0 {
		return 2*tolerate + 1
	}
	return voters
}

// applySeeds derives the boxes from the seeds and names them by their IP numbers.
func (s *Settings) applySeeds(d *conf.Document, seeds []string) {
	if len(seeds) == 0 {
		return
	}
	s.Seeded, s.Boxes = true, map[string]string{}
	own, _ := netip.ParseAddrPort(s.PeerListen) // its faults have been added already
	for _, seed := range seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			d.Section("cluster").AddFault("seeds", seed+" is not an address", "IP number:port")
			continue
		}
		name := a.Addr().String()
		s.Boxes[name] = netip.AddrPortFrom(a.Addr(), own.Port()).String()
	}
	if s.FormCluster {
		s.FirstMembers = slices.Sorted(maps.Keys(s.Boxes))
	}
}

// AddressOf returns the box-to-box address of a box that is named by its IP number,
// as all boxes are if seeds are set, or "" for other names.
func (s *Settings) AddressOf(box string) string {
	ip, err := netip.ParseAddr(box)
	own, ownErr := netip.ParseAddrPort(s.PeerListen)
	if !s.Seeded || err != nil || ownErr != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, own.Port()).String()
}

func parsePairs(list []string) map[string]string {
	m := map[string]string{}
	for _, item := range list {
		name, address, _ := strings.Cut(item, "=")
		m[name] = address
	}
	return m
}

// crossCheck adds the faults that involve several keys.
func crossCheck(d *conf.Document, s *Settings) {
	if s.IsControl() && s.DataFolder == "" {
		d.Section("data").AddFault("folder", "the role control requires a data folder", "a path")
	}
	if s.IsEntry() && s.EntryListen == "" {
		d.Section("entry").AddFault("listen", "the role entry requires an address for callers", "IP number:port")
	}
	for hall, region := range s.Regions {
		if !conf.ValidName(hall) || region == "" {
			d.Section("box").AddFault("regions", "has an item that is not of the form HALL=REGION", "HALL=REGION, separated by commas")
		}
	}
	if s.Lease >= s.Election {
		d.Section("timing").AddFault("lease", "is not below election", "less than "+s.Election.String())
	}
	if s.Heartbeat*3 > s.Lease {
		d.Section("timing").AddFault("heartbeat", "does not tolerate a lost heartbeat within the lease", "at most a third of lease")
	}
	if s.ConfigLease <= s.Election*2 {
		d.Section("timing").AddFault("config-lease", "ends before a new leader can be elected", "more than "+(s.Election*2).String())
	}
	if !s.Seeded && (len(s.FirstMembers) == 0 || len(s.Boxes) == 0) {
		d.Section("cluster").AddFault("boxes", "neither first-members and boxes nor seeds are set", "one or the other")
	}
	if s.Seeded && len(d.Section("cluster").List("boxes")) > 0 {
		d.Section("cluster").AddFault("seeds", "is set together with boxes", "one or the other")
	}
	for _, name := range s.FirstMembers {
		if s.Boxes[name] == "" {
			d.Section("cluster").AddFault("boxes", "has no address of the first member "+name, "an address for each first member")
		}
	}
	set := []bool{s.TLS.Certificate != "", s.TLS.Key != "", s.TLS.Authority != ""}
	if slices.Contains(set, true) && slices.Contains(set, false) {
		d.Section("tls").AddFault("certificate", "only some of the TLS files are set", "certificate, key and authority, or none")
	}
	s.checkPlaintext(d)
}

// checkPlaintext rejects plain text on addresses other than loopback, unless the settings allow it.
func (s *Settings) checkPlaintext(d *conf.Document) {
	if s.TLS.Enabled() || s.AllowPlaintext {
		return
	}
	for section, address := range map[string]string{"peer": s.PeerListen, "operator": s.OperatorListen} {
		a, err := netip.ParseAddrPort(address)
		if err == nil && !a.Addr().IsLoopback() {
			d.Section(section).AddFault("listen", address+" accepts plain text from other machines", "loopback, or TLS, or [peer] plain-text = anywhere")
		}
	}
}
