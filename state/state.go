// Package state is what the boxes agree on: the fleet file in force, the list
// of boxes, the backend servers, what is resident on them, and the open orders.
//
// A State changes only by applying the entries of the log one after another.
// The same entries give the same state on every box.
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

// historyLength is how many accepted files are remembered, so that a resend of
// an older one gets its first answer.
const historyLength = 256

// ApplyOutcome is what became of a fleet file.
type ApplyOutcome string

// The outcomes of an apply.
const (
	// Accepted: the file is the newest now.
	Accepted ApplyOutcome = "accepted"
	// Resent: the same file was accepted before, and is the newest.
	Resent ApplyOutcome = "resent"
	// Superseded: the same file was accepted before; a newer one followed.
	Superseded ApplyOutcome = "superseded"
	// Conflict: another file of this number was accepted.
	Conflict ApplyOutcome = "conflict"
	// Older: the number is below that of the file in force.
	Older ApplyOutcome = "older"
	// Invalid: the file does not pass the checks of this version.
	Invalid ApplyOutcome = "invalid"
)

// Result is what applying one entry gave.
type Result struct {
	// Apply and Winner are set for fleet files.
	Apply  ApplyOutcome
	Winner *wire.FleetVersion
	// Err says why an order was not issued.
	Err error
	// Order is the order that was issued.
	Order *wire.Order
	// UnknownLevel tells that the entry is of a level that this build does not know, so that the state is
	// that of the other boxes no more.
	UnknownLevel error
	// Blocked and Released are requests that are kept from servers now, and those that no longer are.
	Blocked, Released []*wire.Suspect
}

// State is the agreed state at one index. What its maps hold is never changed
// in place, so that a Clone may be read while the original goes on.
type State struct {
	Index uint64
	// Level is in force (package level).
	Level   level.Level
	Version *wire.FleetVersion
	Text    string
	// Format is the codec of Text.
	Format  string
	packed  func() []byte // Text packed by itself; nil without one
	History []*wire.FleetVersion
	// Announcements are the backend servers that announced themselves, those that left included until nothing of them can
	// arrive any more.
	Announcements *Announcements

	// Members by box.
	Members map[string]*wire.Member
	// Roster gives listed boxes their places, see members.go.
	Roster []*wire.Place
	// Epochs are the newest lists of processes that guard keys, newest last.
	Epochs []*wire.Epoch

	// Limits are what backend servers take a second from all boxes together, by server; those that named none are
	// missing.
	Limits map[string]*wire.ServerLimit

	// Crashers are the requests under which servers ended.
	Crashers crasher.Book

	// Moves counts the loads behind the first placement of each item.
	Moves uint64
	// MaxCopies is the most copies that each model or adapter ever had, loads under
	// way included, by name.
	MaxCopies map[string]uint32

	ledger.Inventory

	texts *texts
	// shared tells which maps a clone holds, too: they are copied before they are changed.
	shared shared
}

// shared are the maps that a state may share with its clones.
type shared struct{ members, most, limits bool }

var allShared = shared{true, true, true}

// ownMembers, ownMost and ownLimits make a map the state's own before it is changed.
func (s *State) ownMembers() {
	if s.shared.members {
		s.Members, s.shared.members = maps.Clone(s.Members), false
	}
}

func (s *State) ownMost() {
	if s.shared.most {
		s.MaxCopies, s.shared.most = maps.Clone(s.MaxCopies), false
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
		Members: map[string]*wire.Member{}, MaxCopies: map[string]uint32{}, Announcements: newAnnounced(), Limits: map[string]*wire.ServerLimit{}, Crashers: crasher.NewBook(),
		Inventory: ledger.NewInventory(), texts: newTexts(),
	}
}

// Clone returns a copy that stays as it is. What goes by the count of servers is shared until it changes; the small maps are
// copied by whoever changes them next.
func (s *State) Clone() *State {
	c := *s
	c.Announcements, c.Inventory = s.Announcements.clone(), s.Inventory.Clone()
	s.shared, c.shared = allShared, allShared
	return &c
}

// Apply applies the entry behind Index.
func (s *State) Apply(e *wire.Entry) Result {
	if e.Index != s.Index+1 {
		panic("state: entries must be applied one after another")
	}
	s.Index = e.Index
	if e.Kind != wire.EntryKind_ENTRY_COMMAND {
		return Result{}
	}
	c := &wire.Command{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		return Result{Err: Error.New("entry %d cannot be read: %v", e.Index, err)}
	}
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
		s.serverSeen(k.Server)
	case *wire.Command_Announce:
		s.announce(k.Announce)
	case *wire.Command_Withdraw:
		s.withdraw(k.Withdraw)
	case *wire.Command_Crashes:
		return Result{Blocked: s.Crashers.Take(k.Crashes, crasher.At{Index: e.Index, Term: e.Term, UnixMs: c.UnixMs})}
	case *wire.Command_Raise:
		return s.raise(level.Level(k.Raise.Level))
	case *wire.Command_Limit:
		s.limitServer(k.Limit, c.UnixMs)
	case *wire.Command_Evacuate:
		s.evacuate(k.Evacuate, c.UnixMs)
	case *wire.Command_Release:
		return Result{Released: s.Crashers.Release(k.Release, crasher.At{Index: e.Index, Term: e.Term, UnixMs: c.UnixMs})}
	default:
		return Result{UnknownLevel: Error.New("entry %d is a command that this build does not know", e.Index)}
	}
	return Result{}
}

// raise is rule 1 of package level.
func (s *State) raise(to level.Level) Result {
	if to > level.Newest {
		return Result{UnknownLevel: Error.New("entry %d raises to %v", s.Index, to)}
	}
	s.Level = max(s.Level, to)
	return Result{}
}

// dropStrangers forgets servers that the fleet file does not name any more.
func (s *State) dropStrangers() {
	var strangers []string
	for name := range s.Servers.All() {
		if s.Fleet.Servers[name] == nil && s.Announcements.Get(name) == nil {
			strangers = append(strangers, name)
		}
	}
	for _, name := range strangers {
		s.forgetServer(name)
	}
	s.ownLimits()
	maps.DeleteFunc(s.Limits, func(name string, _ *wire.ServerLimit) bool { return !s.KnowsServer(name) })
}

func (s *State) forgetServer(name string) {
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
	s.noteOrdered(o.Server)
	return Result{Order: o}
}

// noteOrdered remembers the entry that was about an order to a server last.
func (s *State) noteOrdered(server string) {
	if old := s.Servers.Get(server); old != nil {
		next := proto.CloneOf(old)
		next.Ordered = s.Index
		s.Servers.Set(server, next)
	}
}

// countMove counts a load as a move, unless it is part of the first placement:
// the item never had so many copies, and the fleet file asks for them.
func (s *State) countMove(item *wire.Item) {
	name := cmp.Or(item.Adapter, item.Model)
	have := uint32(0)
	for range s.Residents.ByItem(item.Model, item.Adapter) {
		have++
	}
	wanted := uint32(1)
	if m := s.Fleet.Models[item.Model]; m != nil {
		wanted = uint32(m.Copies)
	}
	if have <= s.MaxCopies[name] || have > wanted {
		s.Moves++
	}
	if have > s.MaxCopies[name] {
		s.ownMost()
		s.MaxCopies[name] = have
	}
}

// sizeOf keeps the size that was counted when the item was loaded.
func (s *State) sizeOf(o *wire.Order) uint64 {
	if r := s.Residents.Get(ledger.OrderLocation(o)); r != nil {
		return r.Memory
	}
	return o.Memory
}

// dropAdapters forgets the on-demand adapters of a model that was unloaded: they
// went with it.
func (s *State) dropAdapters(model ledger.Location) {
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
	s.noteOrdered(o.Server)
	place := ledger.OrderLocation(o)
	done := c.Outcome == wire.OrderOutcome_OUTCOME_DONE
	load := o.Action == wire.OrderAction_ORDER_LOAD
	if done != load {
		s.Residents.Delete(place)
		s.dropAdapters(place)
		return Result{}
	}
	if old := s.Residents.Get(place); old != nil {
		r := proto.CloneOf(old)
		r.Phase, r.Order = wire.Phase_PHASE_READY, 0
		s.Residents.Put(r)
	}
	return Result{}
}

// serverSeen takes over what a server said. Under a new incarnation it has lost
// what was resident. One that does not check fences may still run an order that
// was given before, be it open or closed: it is quarantined, and gets nothing
// until its state was read after none can arrive any more.
func (s *State) serverSeen(seen *wire.ServerSeen) {
	server := s.Server(seen.Server)
	if server == nil {
		return
	}
	old := s.Servers.Get(seen.Server)
	next := &wire.ServerState{Name: seen.Server, Incarnation: seen.Incarnation, Leaving: seen.Leaving, Ordered: old.GetOrdered()}
	if old.GetIncarnation() != seen.Incarnation {
		s.takeResidents(seen)
		next.Quarantined = !server.Kind.ChecksFences
	} else if old.Quarantined {
		next.Quarantined = !seen.Settled
		if seen.Settled {
			s.takeResidents(seen)
		}
	}
	s.Servers.Set(seen.Server, next)
}

// takeResidents replaces all that was known of a server.
func (s *State) takeResidents(seen *wire.ServerSeen) {
	s.forgetServer(seen.Server)
	for _, r := range seen.Residents {
		s.Residents.Put(r)
	}
}
