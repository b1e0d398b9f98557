// Package state holds the state that the boxes replicate: the active fleet file, the list of boxes, the backend
// servers, the items resident on them, and the open orders.
//
// A State changes only by applying log entries in order. The same entries give the same state on every box.
package state

import (
	"cmp"
	"maps"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"leverdrum/crasher"
	"leverdrum/ledger"
	"leverdrum/level"
	"leverdrum/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("state")

// historyLength bounds the accepted files that are remembered, so that resending an older one gets its first answer.
const historyLength = 256

// ApplyOutcome is the outcome of applying a fleet file.
type ApplyOutcome string

// The outcomes of an apply.
const (
	// Accepted: the file is now the newest.
	Accepted ApplyOutcome = "accepted"
	// Resent: the same file was accepted before and is still the newest.
	Resent ApplyOutcome = "resent"
	// Superseded: the same file was accepted before, and a newer one since.
	Superseded ApplyOutcome = "superseded"
	// Conflict: a different file with this number was accepted.
	Conflict ApplyOutcome = "conflict"
	// Older: the number is below that of the active file.
	Older ApplyOutcome = "older"
	// Invalid: the file fails the checks of this version.
	Invalid ApplyOutcome = "invalid"
)

// Result is the result of applying one entry.
type Result struct {
	// Apply and Winner are set for fleet files. Winner is the accepted file that decided the outcome.
	Apply  ApplyOutcome
	Winner *wire.FleetVersion
	// Err is the reason why an entry was rejected, for example why an order was not issued.
	Err error
	// Order is the order that was issued.
	Order *wire.Order
	// UnknownLevel is set if the entry needs a level that this build does not support. The state then differs from that
	// of the other boxes.
	UnknownLevel error
	// Blocked and Released are requests that are kept from servers from now on, and those that no longer are.
	Blocked, Released []*wire.Suspect
	// Ruled reports whether operators' ruling on a request or a prompt part was accepted.
	Ruled bool
}

// State is the replicated state at one index. The values in its maps are never modified in place, so that a Clone may be
// read while the original is updated.
type State struct {
	Index uint64
	// Level is the active level, see package level.
	Level   level.Level
	Version *wire.FleetVersion
	Text    string
	// Format is the codec of Text.
	Format  string
	packed  func() []byte // Text packed without a base; nil if there is no text
	History []*wire.FleetVersion
	// Announcements are the backend servers that announced themselves. Draining ones are included until no message of
	// theirs can arrive any more.
	Announcements *Announcements

	// Members are the listed boxes, by box.
	Members map[string]*wire.Member
	// Roster assigns an index to each listed box, see members.go.
	Roster []*wire.Place
	// Epochs are the newest lists of claim replicas, newest last.
	Epochs []*wire.Epoch

	// Limits are the rates per second that backend servers accept from all boxes together, by server. Servers without a
	// limit are absent.
	Limits map[string]*wire.ServerLimit

	// Crashers are the requests during which servers crashed.
	Crashers crasher.Registry

	// Versions are the software versions that services had until lately.
	Versions VersionHistory

	// Moves counts the loads other than the first placement of each item.
	Moves uint64
	// MaxCopies is the highest number of copies that each model or adapter ever had, by name. Loading copies count.
	MaxCopies map[string]uint32

	ledger.Inventory

	interner *interner
	// shared marks the maps that a clone refers to as well. They are copied before they are changed.
	shared sharedMaps
}

// sharedMaps are the maps that a state may share with its clones.
type sharedMaps struct{ members, maxCopies, limits bool }

var allShared = sharedMaps{true, true, true}

// ownMembers, ownMaxCopies and ownLimits copy a shared map before it is changed.
func (s *State) ownMembers() {
	if s.shared.members {
		s.Members, s.shared.members = maps.Clone(s.Members), false
	}
}

func (s *State) ownMaxCopies() {
	if s.shared.maxCopies {
		s.MaxCopies, s.shared.maxCopies = maps.Clone(s.MaxCopies), false
	}
}

func (s *State) ownLimits() {
	if s.shared.limits {
		s.Limits, s.shared.limits = maps.Clone(s.Limits), false
	}
}

// New returns the state before the first entry.
func New() *State {
	return &State{
		Members: map[string]*wire.Member{}, MaxCopies: map[string]uint32{}, Announcements: newAnnouncements(), Limits: map[string]*wire.ServerLimit{}, Crashers: crasher.NewRegistry(),
		Inventory: ledger.NewInventory(), interner: newInterner(),
	}
}

// Clone returns a copy that does not change with the original. Maps that grow with the number of servers are persistent
// and share their contents; the small maps are copied on the next write to either state.
func (s *State) Clone() *State {
	c := *s
	c.Announcements, c.Inventory = s.Announcements.clone(), s.Inventory.Clone()
	c.Versions = s.Versions.clone()
	s.shared, c.shared = allShared, allShared
	return &c
}

// Apply applies the next entry, the one at Index+1.
func (s *State) Apply(e *wire.Entry) Result {
	if e.Index != s.Index+1 {
		panic("state: entries must be applied in order")
	}
	s.Index = e.Index
	if e.Kind != wire.EntryKind_ENTRY_COMMAND {
		return Result{}
	}
	c := &wire.Command{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		return Result{Err: Error.New("entry %d cannot be decoded: %v", e.Index, err)}
	}
	defer s.recordDepartures()
	switch k := c.Kind.(type) {
	case *wire.Command_Apply:
		return s.applyFleet(k.Apply, c.UnixMs)
	case *wire.Command_Join:
		s.join(k.Join)
	case *wire.Command_Leave:
		s.leave(k.Leave)
	case *wire.Command_Issue:
		return s.issue(k.Issue.Order, e, c.UnixMs)
	case *wire.Command_Close:
		return s.closeOrder(k.Close)
	case *wire.Command_Server:
		s.applyServerSeen(k.Server)
	case *wire.Command_Announce:
		s.announce(k.Announce)
	case *wire.Command_Withdraw:
		s.withdraw(k.Withdraw)
	case *wire.Command_Crashes:
		return Result{Blocked: s.Crashers.Apply(k.Crashes, crasher.CommitPosition{Index: e.Index, Term: e.Term, UnixMs: c.UnixMs, PromptParts: s.Level >= level.PromptParts, ProvisionalBlocks: s.Level >= level.ProvisionalBlocks, SharedExposure: s.Level >= level.SharedExposure})}
	case *wire.Command_Raise:
		return s.raise(level.Level(k.Raise.Level), k.Raise.Durable)
	case *wire.Command_Limit:
		s.setLimit(k.Limit, c.UnixMs)
	case *wire.Command_Evacuate:
		s.evacuate(k.Evacuate, c.UnixMs)
	case *wire.Command_Rule:
		return Result{Ruled: s.Crashers.Rule(k.Rule, crasher.CommitPosition{Index: e.Index, Term: e.Term, UnixMs: c.UnixMs})}
	case *wire.Command_Release:
		return Result{Released: s.Crashers.Release(k.Release, crasher.CommitPosition{Index: e.Index, Term: e.Term, UnixMs: c.UnixMs})}
	case *wire.Command_Retire:
		s.retireVersions(k.Retire)
	default:
		return Result{UnknownLevel: Error.New("entry %d is a command that this build does not support", e.Index)}
	}
	return Result{}
}

// raise raises the active level, which never decreases (package level, 1). It fails if this build does not support the
// level.
func (s *State) raise(to level.Level, durable bool) Result {
	if to > level.Newest {
		return Result{UnknownLevel: Error.New("entry %d raises the level to %v", s.Index, to)}
	}
	s.Level = max(s.Level, to)
	s.beginVersionHistory(durable)
	return Result{}
}

// removeUnknownServers removes servers that the fleet file no longer names and that did not announce themselves.
func (s *State) removeUnknownServers() {
	var unknown []string
	for name := range s.Servers.All() {
		if s.Fleet.Servers[name] == nil && s.Announcements.Get(name) == nil {
			unknown = append(unknown, name)
		}
	}
	for _, name := range unknown {
		s.removeServer(name)
	}
	s.ownLimits()
	maps.DeleteFunc(s.Limits, func(name string, _ *wire.ServerLimit) bool { return !s.KnowsServer(name) })
}

func (s *State) removeServer(name string) {
	s.Servers.Delete(name)
	if s.Limits[name] != nil {
		s.ownLimits()
		delete(s.Limits, name)
	}
	s.Residents.Clear(name, nil)
	s.Orders.Clear(name)
}

func (s *State) issue(o *wire.Order, e *wire.Entry, unixMs int64) Result {
	if err := s.Check(o); err != nil {
		return Result{Err: err}
	}
	o.Id, o.Term, o.UnixMs = e.Index, e.Term, unixMs
	s.Orders.Set(o.Id, o)
	phase := wire.Phase_PHASE_LOADING
	if o.Action == wire.OrderAction_ORDER_UNLOAD {
		phase = wire.Phase_PHASE_UNLOADING
	}
	s.Residents.Put(&wire.Resident{
		Server: o.Server, Accelerator: o.Accelerator, Item: o.Item, Memory: s.sizeOf(o), Phase: phase, Order: o.Id,
	})
	if o.Action == wire.OrderAction_ORDER_LOAD {
		s.countMove(o.Item)
	}
	s.recordOrderIndex(o.Server)
	return Result{Order: o}
}

// recordOrderIndex records the current entry as the last one about an order to the server.
func (s *State) recordOrderIndex(server string) {
	if old := s.Servers.Get(server); old != nil {
		next := proto.CloneOf(old)
		next.Ordered = s.Index
		s.Servers.Set(server, next)
	}
}

// countMove counts a load as a move unless it belongs to the first placement: the item never had this many copies, and
// the fleet file asks for them.
func (s *State) countMove(item *wire.Item) {
	name := cmp.Or(item.Adapter, item.Model)
	have := uint32(0)
	for range s.Residents.ByItem(item.Model, item.Adapter) {
		have++
	}
	wanted := uint32(1)
	if m := s.Fleet.Models[item.Model]; m != nil {
		wanted = uint32(m.MinCopies)
	}
	if have <= s.MaxCopies[name] || have > wanted {
		s.Moves++
	}
	if have > s.MaxCopies[name] {
		s.ownMaxCopies()
		s.MaxCopies[name] = have
	}
}

// sizeOf returns the size that was counted when the item was loaded.
func (s *State) sizeOf(o *wire.Order) uint64 {
	if r := s.Residents.Get(ledger.OrderLocation(o)); r != nil {
		return r.Memory
	}
	return o.Memory
}

// removeOnDemandAdapters removes the on-demand adapters of an unloaded model: they are unloaded with it.
func (s *State) removeOnDemandAdapters(model ledger.Location) {
	if model.Adapter != "" {
		return
	}
	s.Residents.Clear(model.Server, func(p ledger.Location) bool {
		a := s.Fleet.Adapters[p.Adapter]
		return a != nil && a.OnDemand && p.Accelerator == model.Accelerator && p.Model == model.Model
	})
}

func (s *State) closeOrder(c *wire.CloseOrder) Result {
	o := s.Orders.Get(c.Id)
	if o == nil {
		return Result{Err: Error.New("order %d is not open", c.Id)}
	}
	s.Orders.Delete(c.Id)
	s.recordOrderIndex(o.Server)
	location := ledger.OrderLocation(o)
	done := c.Outcome == wire.OrderOutcome_OUTCOME_DONE
	load := o.Action == wire.OrderAction_ORDER_LOAD
	if done != load {
		s.Residents.Delete(location)
		s.removeOnDemandAdapters(location)
		return Result{}
	}
	if old := s.Residents.Get(location); old != nil {
		r := proto.CloneOf(old)
		r.Phase, r.Order = wire.Phase_PHASE_READY, 0
		s.Residents.Put(r)
	}
	return Result{}
}

// applyServerSeen records a server's report. Under a new incarnation the server has lost its residents. A server that
// does not check fences may still run an order issued earlier, whether open or closed: it is quarantined and gets no
// orders until its state was read after the last such order can have arrived.
func (s *State) applyServerSeen(seen *wire.ServerSeen) {
	server := s.Server(seen.Server)
	if server == nil {
		return
	}
	old := s.Servers.Get(seen.Server)
	next := &wire.ServerState{Name: seen.Server, Incarnation: seen.Incarnation, Leaving: seen.Leaving, Ordered: old.GetOrdered()}
	if old.GetIncarnation() != seen.Incarnation {
		s.resetServer(seen)
		next.Quarantined = !server.Kind.ChecksFences
	} else if old.Quarantined {
		next.Quarantined = !seen.Settled
		if seen.Settled {
			s.resetServer(seen)
		}
	}
	s.Servers.Set(seen.Server, next)
}

// resetServer replaces everything recorded about a server.
func (s *State) resetServer(seen *wire.ServerSeen) {
	s.removeServer(seen.Server)
	for _, r := range seen.Residents {
		s.Residents.Put(r)
	}
}
