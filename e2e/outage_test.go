package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/standin"
)

// withShop adds a service that runs in-process.
func (c *cluster) withShop() *standin.Service {
	shop := standin.NewService("shop", "Idempotency-Key", 0)
	c.services["shop"] = shop
	c.fleet = smallFleet + fmt.Sprintf(`
[service shop]
class = any
non-repeatable = POST /orders
[instance shop1]
service = shop
address = %s
hall = hall0
`, c.serve("shop", shop))
	return shop
}

func (b *boxProc) serves() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.post(ctx, "/services/shop/stock", "", nil).status == http.StatusOK
}

func TestCutOffBoxStopsServing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.withShop()
	c.up()
	cut := c.boxes[4]
	eventually(t, "all serve", 5*time.Second, func() bool { return cut.serves() && c.boxes[0].serves() })
	c.isolate(cut)
	c.applyNow(2)
	eventually(t, "the box that is cut off says so", 6*time.Second, func() bool { return cut.get("/readyz") == http.StatusServiceUnavailable })
	a := cut.post(t.Context(), "/services/shop/stock", "", nil)
	g.Expect(a.reason).To(Equal("not-current"))
	g.Expect(a.outcome).To(Equal("not-run"))
	g.Expect(c.boxes[0].serves()).To(BeTrue())
	c.way.heal()
	c.inForceEverywhere(2, 10*time.Second)
	eventually(t, "the box serves again", 5*time.Second, cut.serves)
}

func TestServingGoesOnWithoutControlBoxes(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4)
	defer c.dumpLogs()
	c.withShop()
	c.up()
	for _, b := range c.boxes[:3] {
		b.kill()
	}
	for range 60 { // three configuration leases
		for _, b := range c.boxes[3:] {
			a := b.post(t.Context(), "/services/shop/stock", "", nil)
			g.Expect(a.status).To(Equal(http.StatusOK), "%s %s", b.name, a.reason)
		}
		time.Sleep(150 * time.Millisecond)
	}
	// One more loss, and what is left is no majority of the seven.
	c.boxes[3].kill()
	eventually(t, "a minority stops serving", 8*time.Second, func() bool { return !c.boxes[4].serves() })
}

// A box without a disk that came back while no box with one ran knew nobody to ask, and rejected all requests for as
// long as that lasted, beside five that served.
func TestABoxThatComesBackWithoutControlBoxesServes(t *testing.T) {
	c := newCluster(t, 3, 6)
	defer c.dumpLogs()
	c.withShop()
	c.up()
	for _, b := range c.boxes[:3] {
		b.kill()
	}
	time.Sleep(4 * time.Second) // longer than a configuration lease
	back := c.boxes[8]
	back.kill()
	back.start()
	eventually(t, "the box serves again", 12*time.Second, back.serves)
	for _, b := range c.boxes[3:] {
		NewWithT(t).Expect(b.serves()).To(BeTrue(), b.name)
	}
}

func TestAllBoxesStoppedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.fleet = smallFleet
	c.start()
	c.applyNow(1)
	const last = 200
	for n := 2; n <= last; n++ {
		status, answer := c.boxes[n%5].apply(t.Context(), c.file(n, "many"), "test")
		g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusAccepted), "%+v", answer)
	}
	for _, b := range c.boxes {
		b.kill()
	}
	began := time.Now()
	for _, b := range c.boxes {
		b.start()
	}
	c.inForceEverywhere(last, 20*time.Second)
	t.Logf("in force on all boxes %v after the start of all", time.Since(began).Round(time.Millisecond))
}

func (c *cluster) voters() []string {
	s := c.read()
	if s == nil {
		return nil
	}
	var boxes []string
	for _, id := range s.Voters {
		box, _, _ := strings.Cut(id, "/")
		boxes = append(boxes, box)
	}
	slices.Sort(boxes)
	return boxes
}

// TestSecondLossRightAfterRepair loses one disk for good, waits until a stand-in
// votes, and loses a second disk at once.
func TestSecondLossRightAfterRepair(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.fleet = smallFleet
	c.up()
	began := time.Now()
	c.boxes[0].kill()
	eventually(t, "a stand-in votes in place of box0", 20*time.Second, func() bool {
		v := c.voters()
		return len(v) == 3 && !slices.Contains(v, "box0")
	})
	t.Logf("a stand-in counted %v after the loss", time.Since(began).Round(10*time.Millisecond))
	c.boxes[1].kill()
	eventually(t, "a file is accepted after the second loss", 20*time.Second, func() bool {
		status, _ := c.boxes[2].apply(t.Context(), c.file(2, "second"), "test")
		return status == http.StatusOK
	})
	eventually(t, "a second stand-in votes", 20*time.Second, func() bool {
		v := c.voters()
		return len(v) == 3 && !slices.Contains(v, "box1")
	})
	// The first box comes back without its disk, the second with it: both are
	// taken in as what they are, and disks go before boxes without.
	c.boxes[0].wipe()
	c.boxes[0].start()
	c.boxes[1].start()
	eventually(t, "the boxes with disks vote again", 60*time.Second, func() bool {
		return slices.Equal(c.voters(), []string{"box0", "box1", "box2"})
	})
	s := c.read()
	g.Expect(s.Fleet.Number).To(BeEquivalentTo(2))
}

func TestFullDiskRefusesAndLosesNothing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 0)
	defer c.dumpLogs()
	c.fleet, c.filler = smallFleet, 4000
	c.extra = "limit = 150KB\n"
	c.start()
	c.applyNow(1)
	number := 1
	var reason string
	for reason == "" && number < 200 {
		status, answer := c.boxes[0].apply(t.Context(), c.file(number+1, "full"), "test")
		if status == http.StatusOK {
			number++
		} else if answer != nil {
			reason = answer.Reason
		}
	}
	g.Expect(reason).To(Equal("disk-full"))
	g.Expect(number).To(BeNumerically(">", 5))
	for _, b := range c.boxes {
		b.kill()
		b.start()
	}
	c.inForceEverywhere(uint64(number), 20*time.Second)
}

// TestFollowersFullDisk: a voter whose folder is full pauses; the others go on,
// and it catches up once it has room.
func TestFollowersFullDisk(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 0)
	defer c.dumpLogs()
	c.fleet, c.filler = smallFleet, 4000
	full := c.boxes[2]
	c.own[full.name] = "limit = 100KB\n"
	c.start()
	c.applyNow(1)
	if c.leader() == full {
		full.kill()
		eventually(t, "another box leads", 20*time.Second, func() bool { l := c.leader(); return l != nil && l != full })
		full.start()
	}
	const files = 60
	for number := 2; number <= files; number++ {
		c.applyNow(number)
	}
	g.Expect(full.log()).To(ContainSubstring("data-folder-full"))
	g.Expect(full.get("/healthz")).To(Equal(http.StatusOK), "it runs on")
	c.own[full.name] = ""
	full.writeSettings()
	full.kill()
	full.start()
	c.inForceEverywhere(files, 30*time.Second)
	g.Expect(c.read().Voters).To(HaveLen(3))
}
