package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/state"
	"leverdrum/wire"
)

// versionedServer is a server with models of 20 GB each; it has room for three.
type versionedServer struct {
	version string
	models  []int
}

func newVersionedFleet(models int, servers ...versionedServer) *fullFleet {
	var list []string
	for i := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weights_mb":20000,"load_s":4,"adapters":2,"adapter_mb":66}`, modelName(i)))
	}
	text := fmt.Sprintf(`{"version":1,"backends":[{"name":"s","engine":{"slots":64,"weights_mb":70000,"adapter_slots":8,"loads_per_s":8,"models":[%s]}}]}`, strings.Join(list, ","))
	f := &fullFleet{state.New(), map[string]Demand{}}
	f.apply(&wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: 1, Digest: fleet.Digest([]byte(text)), Text: text, Format: "platform"}}})
	for i, s := range servers {
		a := &wire.Announcement{Id: serverName(i), Service: "s", Address: fmt.Sprintf("10.9.%d.1:80", i), Hall: "h", Slots: 64, Engine: true, Version: s.version}
		for _, k := range s.models {
			a.Residents = append(a.Residents, &wire.Item{Model: modelName(k), Version: "newest"})
		}
		f.apply(&wire.Command{Kind: &wire.Command_Announce{Announce: a}})
	}
	return f
}

// orders returns the orders of a decision that concern an item, or make room for it, as "load server1".
func (f *fullFleet) orders(item string, in Input) (list []string) {
	in.State, in.Demand, in.LeaderFor = f.State, f.demand, time.Hour
	for _, d := range Decide(in).Decisions {
		o := d.Order
		name := o.Item.Model
		if o.Item.Adapter != "" {
			name = o.Item.Adapter
		}
		switch {
		case o.RoomFor == item:
			list = append(list, "make room on "+o.Server)
		case name == item:
			list = append(list, strings.ToLower(strings.TrimPrefix(o.Action.String(), "ORDER_"))+" "+o.Server)
		}
	}
	return list
}

// Guards against streams that cannot be resumed, since the only copies of their model are at servers of another software version
// (LOST).
func TestStreamsGetACopyAtTheirVersion(t *testing.T) {
	const awaited = 0 // the model that streams wait for at v1
	adapter := adapterOf(awaited, 1)
	for name, c := range map[string]struct {
		servers []versionedServer
		down    []int
		item    string
		want    []string
	}{
		"a server of the version has memory":       {[]versionedServer{{"v2", []int{0}}, {"v2", nil}, {"v1", []int{1}}}, nil, "", []string{"load " + serverName(2)}},
		"a copy at the version":                    {[]versionedServer{{"v2", nil}, {"v1", []int{0}}, {"v1", nil}}, nil, "", nil},
		"the copy at the version is down":          {[]versionedServer{{"v2", []int{0}}, {"v1", []int{0}}, {"v1", []int{1}}}, []int{1}, "", []string{"load " + serverName(2)}},
		"no server of the version":                 {[]versionedServer{{"v2", []int{0}}, {"v2", nil}}, nil, "", nil},
		"the server is full, copies elsewhere":     {[]versionedServer{{"v2", []int{0, 1, 2}}, {"v2", []int{3, 4, 5}}, {"v1", []int{1, 2, 3}}}, nil, "", []string{"make room on " + serverName(2)}},
		"the server is full of last copies":        {[]versionedServer{{"v2", []int{0}}, {"v1", []int{1, 2, 3}}}, nil, "", nil},
		"an adapter beside the copy":               {[]versionedServer{{"v2", []int{0}}, {"v1", []int{0}}}, nil, adapter, []string{"load " + serverName(1)}},
		"an adapter whose model is not there":      {[]versionedServer{{"v2", []int{0}}, {"v1", nil}}, nil, adapter, nil},
		"the model of an adapter comes first":      {[]versionedServer{{"v2", []int{0}}, {"v1", nil}}, nil, adapter + " ", []string{"load " + serverName(1)}},
		"several servers: one copy of the version": {[]versionedServer{{"v2", []int{0}}, {"v1", nil}, {"v1", nil}, {"v1", nil}}, nil, "", []string{"load " + serverName(1)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(6, c.servers...)
			in := Input{AwaitedAtVersions: []AwaitedItem{{modelName(awaited), "v1"}}, Down: map[string]bool{}}
			item := modelName(awaited)
			if c.item != "" {
				in.AwaitedAtVersions = []AwaitedItem{{adapter, "v1"}}
			}
			if c.item == adapter {
				item = adapter
			}
			for _, i := range c.down {
				in.Down[serverName(i)] = true
			}
			NewWithT(t).Expect(f.orders(item, in)).To(Equal(c.want))
		})
	}
}
