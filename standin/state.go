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

// CommittedState returns the state after one fleet file has been committed, without running any boxes. All its model servers
// are known under incarnation "i".
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

// ApplyFleetFile applies a fleet file with its number 1 replaced by the given one.
func ApplyFleetFile(st *state.State, text string, number uint64) state.Result {
	text = strings.Replace(text, "number = 1\n", fmt.Sprintf("number = %d\n", number), 1)
	return ApplyCommand(st, &wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: number, Digest: fleet.Digest([]byte(text)), Text: text}}})
}

// ApplyCommand applies a command as the next committed entry.
func ApplyCommand(st *state.State, c *wire.Command) state.Result {
	data, err := proto.Marshal(c)
	if err != nil {
		return state.Result{Err: err}
	}
	return st.Apply(&wire.Entry{Index: st.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

// AddReadyResident records a model, or an adapter if item names one, as resident and ready on a server.
func AddReadyResident(st *state.State, server string, accelerator uint32, item *wire.Item, memory uint64) {
	r := &wire.Resident{Server: server, Accelerator: accelerator, Item: item, Memory: memory, Phase: wire.Phase_PHASE_READY}
	st.Residents.Put(r)
}

// Load makes a model server load a model or adapter and returns when it is ready. It panics if the load fails.
func (e *Engine) Load(accelerator uint32, model, adapter, version string, memory uint64) {
	out := e.executeOrder(&engine.Order{ID: e.nextFence(), Incarnation: e.incarnation, Action: engine.Load, Accelerator: accelerator, Model: model, Adapter: adapter, Version: version, Memory: memory})
	if !out.Done {
		panic("standin: " + out.Detail)
	}
}

// Unload removes a model from a model server without an order.
func (e *Engine) Unload(accelerator uint32, model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.residents, residentKey(accelerator, model, "", version))
}

func (e *Engine) nextFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence + 1
}
