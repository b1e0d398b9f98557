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

// addShopService adds a service with one simulated, in-process instance.
func (c *cluster) addShopService() *standin.Service {
	shop := standin.NewService("shop", "Idempotency-Key", 0)
	c.services["shop"] = shop
	c.fleetText = smallFleet + fmt.Sprintf(`
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

// servesRequests reports whether a request to the shop through the box succeeds.
func (b *boxProcess) servesRequests() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.post(ctx, "/services/shop/stock", "", nil).status == http.StatusOK
}

// TestIsolatedBoxStopsServing partitions a box while a file is applied. The box must
// report that it is not ready and refuse requests as not-current until the partition
// heals.
func TestIsolatedBoxStopsServing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.addShopService()
	c.startReady()
	isolated := c.boxes[4]
	eventually(t, "both boxes serve", 5*time.Second, func() bool { return isolated.servesRequests() && c.boxes[0].servesRequests() })
	c.isolate(isolated)
	c.awaitAccepted(2)
	eventually(t, "the isolated box reports that it is not ready", 6*time.Second, func() bool { return isolated.get("/readyz") == http.StatusServiceUnavailable })
	a := isolated.post(t.Context(), "/services/shop/stock", "", nil)
	g.Expect(a.reason).To(Equal("not-current"))
	g.Expect(a.outcome).To(Equal("not-run"))
	g.Expect(c.boxes[0].servesRequests()).To(BeTrue())
	c.network.heal()
	c.awaitActive(2, 10*time.Second)
	eventually(t, "the box serves again", 5*time.Second, isolated.servesRequests)
}

// TestServingGoesOnWithoutControlBoxes kills all boxes with a disk. The other boxes are
// a majority and must continue to serve, until one more is lost.
func TestServingGoesOnWithoutControlBoxes(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 4)
	defer c.dumpLogs()
	c.addShopService()
	c.startReady()
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
	// After one more loss, the remaining three of seven boxes are no majority.
	c.boxes[3].kill()
	eventually(t, "a minority stops serving", 8*time.Second, func() bool { return !c.boxes[4].servesRequests() })
}

// TestRestartedBoxServesWithoutControlBoxes restarts a box without a disk while no box
// with a disk runs. Such a box knew no peer to query and rejected all requests for as
// long as the outage lasted, while five other boxes served.
func TestRestartedBoxServesWithoutControlBoxes(t *testing.T) {
	c := newCluster(t, 3, 6)
	defer c.dumpLogs()
	c.addShopService()
	c.startReady()
	for _, b := range c.boxes[:3] {
		b.kill()
	}
	time.Sleep(4 * time.Second) // longer than a configuration lease
	restarted := c.boxes[8]
	restarted.kill()
	restarted.start()
	eventually(t, "the box serves again", 12*time.Second, restarted.servesRequests)
	for _, b := range c.boxes[3:] {
		NewWithT(t).Expect(b.servesRequests()).To(BeTrue(), b.name)
	}
}

// TestAllBoxesKilledAtOnce kills all boxes after 200 files. The last file must be active
// on all boxes after their restart.
func TestAllBoxesKilledAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.fleetText = smallFleet
	c.start()
	c.awaitAccepted(1)
	const last = 200
	for n := 2; n <= last; n++ {
		status, answer := c.boxes[n%5].apply(t.Context(), c.fleetFile(n, "many"), "test")
		g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusAccepted), "%+v", answer)
	}
	for _, b := range c.boxes {
		b.kill()
	}
	began := time.Now()
	for _, b := range c.boxes {
		b.start()
	}
	c.awaitActive(last, 20*time.Second)
	t.Logf("active on all boxes %v after the restart", time.Since(began).Round(time.Millisecond))
}

// voterBoxes returns the sorted names of the boxes that vote.
func (c *cluster) voterBoxes() []string {
	s := c.readStatus()
	if s == nil {
		return nil
	}
	var names []string
	for _, id := range s.Voters {
		box, _, _ := strings.Cut(id, "/")
		names = append(names, box)
	}
	slices.Sort(names)
	return names
}

// TestSecondLossRightAfterRepair loses one disk permanently, waits until a temporary
// voter replaces it, and loses a second disk immediately.
func TestSecondLossRightAfterRepair(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.fleetText = smallFleet
	c.startReady()
	began := time.Now()
	c.boxes[0].kill()
	eventually(t, "a temporary voter replaces box0", 20*time.Second, func() bool {
		voters := c.voterBoxes()
		return len(voters) == 3 && !slices.Contains(voters, "box0")
	})
	t.Logf("a temporary voter was added %v after the loss", time.Since(began).Round(10*time.Millisecond))
	c.boxes[1].kill()
	eventually(t, "a file is accepted after the second loss", 20*time.Second, func() bool {
		status, _ := c.boxes[2].apply(t.Context(), c.fleetFile(2, "second"), "test")
		return status == http.StatusOK
	})
	eventually(t, "a second temporary voter replaces box1", 20*time.Second, func() bool {
		v := c.voterBoxes()
		return len(v) == 3 && !slices.Contains(v, "box1")
	})
	// The first box restarts with an empty disk, the second with its data. Both become
	// voters again: boxes with disks replace temporary voters.
	c.boxes[0].wipe()
	c.boxes[0].start()
	c.boxes[1].start()
	eventually(t, "the boxes with disks are the voters again", 60*time.Second, func() bool {
		return slices.Equal(c.voterBoxes(), []string{"box0", "box1", "box2"})
	})
	s := c.readStatus()
	g.Expect(s.Fleet.Number).To(BeEquivalentTo(2))
}

// TestFullDiskRefusesFilesWithoutLoss fills the data folders of all boxes. Further files
// must be refused as disk-full, and no accepted file may be lost by a restart.
func TestFullDiskRefusesFilesWithoutLoss(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 0)
	defer c.dumpLogs()
	c.fleetText, c.fillerBytes = smallFleet, 4000
	c.extraSettings = "limit = 150KB\n"
	c.start()
	c.awaitAccepted(1)
	number := 1
	var reason string
	for reason == "" && number < 200 {
		status, answer := c.boxes[0].apply(t.Context(), c.fleetFile(number+1, "full"), "test")
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
	c.awaitActive(uint64(number), 20*time.Second)
}

// TestFollowerWithFullDisk fills the data folder of one follower. It must pause while
// the other voters continue, and catch up once it has free space.
func TestFollowerWithFullDisk(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 0)
	defer c.dumpLogs()
	c.fleetText, c.fillerBytes = smallFleet, 4000
	fullBox := c.boxes[2]
	c.boxSettings[fullBox.name] = "limit = 100KB\n"
	c.start()
	c.awaitAccepted(1)
	if c.leader() == fullBox {
		fullBox.kill()
		eventually(t, "another box is the leader", 20*time.Second, func() bool { l := c.leader(); return l != nil && l != fullBox })
		fullBox.start()
	}
	const files = 60
	for number := 2; number <= files; number++ {
		c.awaitAccepted(number)
	}
	g.Expect(fullBox.log()).To(ContainSubstring("data-folder-full"))
	g.Expect(fullBox.get("/healthz")).To(Equal(http.StatusOK), "the process must keep running")
	c.boxSettings[fullBox.name] = ""
	fullBox.writeSettings()
	fullBox.kill()
	fullBox.start()
	c.awaitActive(files, 30*time.Second)
	g.Expect(c.readStatus().Voters).To(HaveLen(3))
}
