package standin

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"leverdrum/engine"
	"leverdrum/fleet"
	"leverdrum/state"
	"leverdrum/wire"
)

// CommittedState returns the agreed state after one fleet file was accepted, as if by
// boxes that are not there. All model servers are known under incarnation "i".
func CommittedState(text string) (*state.State, error) {
	st := state.New()
	if r := ApplyFleetFile(st, text, 1); r.Err != nil {
		return nil, r.Err
	}
	for name := range st.Fleet.Servers {
		for _, settled := range []bool{false, true} {
			ApplyCommand(st, &wire.Command{Kind: &wire.Command_Server{Server: &wire.ServerSeen{Server: name, Incarnation: "i", Settled: settled}}})
		}
	}
	return st, nil
}

// ApplyFleetFile applies a fleet file under the given number in place of its own.
func ApplyFleetFile(st *state.State, text string, number uint64) state.Result {
	text = strings.Replace(text, "number = 1\n", fmt.Sprintf("number = %d\n", number), 1)
	return ApplyCommand(st, &wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: number, Digest: fleet.Digest([]byte(text)), Text: text}}})
}

// ApplyCommand applies one more command.
func ApplyCommand(st *state.State, c *wire.Command) state.Result {
	data, err := proto.Marshal(c)
	if err != nil {
		return state.Result{Err: err}
	}
	return st.Apply(&wire.Entry{Index: st.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

// AddReadyResident puts a model, or an adapter when it is named, ready on a server.
func AddReadyResident(st *state.State, server string, accelerator uint32, item *wire.Item, memory uint64) {
	r := &wire.Resident{Server: server, Accelerator: accelerator, Item: item, Memory: memory, Phase: wire.Phase_PHASE_READY}
	st.Residents.Put(r)
}

// Load makes a model server hold an item at once.
func (e *Engine) Load(accelerator uint32, model, adapter, version string, memory uint64) {
	out := e.carryOut(&engine.Order{ID: e.nextFence(), Incarnation: e.incarnation, Action: engine.Load, Accelerator: accelerator, Model: model, Adapter: adapter, Version: version, Memory: memory})
	if !out.Done {
		panic("standin: " + out.Detail)
	}
}

// Unload makes a model server drop a model at once.
func (e *Engine) Unload(accelerator uint32, model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.residents, keyOf(accelerator, model, "", version))
}

func (e *Engine) nextFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence + 1
}
