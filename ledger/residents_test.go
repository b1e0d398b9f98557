package ledger_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"leverdrum/ledger"
	"leverdrum/wire"
)

// After any sequence of changes, lookups by location, by server and by item must agree, and clones must keep their own
// contents.
func TestResidentsIndexesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type one struct {
			have *ledger.Residents
			want map[ledger.Location]*wire.Resident
		}
		all := []one{{ledger.NewResidents(), map[ledger.Location]*wire.Resident{}}}
		draw := func(name string, n int) string {
			return fmt.Sprint(name, rapid.IntRange(0, n).Draw(t, name))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			x := all[rapid.IntRange(0, len(all)-1).Draw(t, "copy")]
			r := &wire.Resident{Server: draw("s", 3), Accelerator: uint32(rapid.IntRange(0, 1).Draw(t, "a")), Item: &wire.Item{Model: draw("m", 2), Version: draw("v", 1)}}
			if rapid.Bool().Draw(t, "adapter") {
				r.Item.Adapter = draw("d", 1)
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				all = append(all, one{x.have.Clone(), maps.Clone(x.want)})
			case 1:
				x.have.Delete(ledger.ResidentLocation(r))
				delete(x.want, ledger.ResidentLocation(r))
			case 2:
				x.have.Clear(r.Server, func(p ledger.Location) bool { return p.Model == r.Item.Model })
				maps.DeleteFunc(x.want, func(p ledger.Location, _ *wire.Resident) bool {
					return p.Server == r.Server && p.Model == r.Item.Model
				})
			default:
				x.have.Put(r)
				x.want[ledger.ResidentLocation(r)] = r
			}
		}
		for _, x := range all {
			byServer, byItem := map[ledger.Location]*wire.Resident{}, map[ledger.Location]*wire.Resident{}
			for p, r := range x.want {
				if x.have.Get(p) != r {
					t.Fatalf("%v is not found", p)
				}
				maps.Insert(byServer, x.have.ByServer(p.Server))
				maps.Insert(byItem, x.have.ByItem(p.Model, p.Adapter))
			}
			for how, got := range map[string]map[ledger.Location]*wire.Resident{"all": maps.Collect(x.have.All()), "by server": byServer, "by item": byItem} {
				if !maps.Equal(got, x.want) {
					t.Fatalf("%s: %v, not %v", how, got, x.want)
				}
			}
			if x.have.Len() != len(x.want) {
				t.Fatalf("%d, not %d", x.have.Len(), len(x.want))
			}
		}
	})
}
