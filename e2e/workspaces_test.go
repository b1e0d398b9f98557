package e2e

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	atelierKey = "key-of-the-atelier"
	libraryKey = "key-of-the-library"
)

// workspaceSections returns the fleet file sections of two workspaces. The quota of the
// library is rate tokens per second.
func workspaceSections(rate string) string {
	return "[workspace atelier]\nkeys = " + atelierKey + "\n[workspace library]\nkeys = " + libraryKey + "\nunit = tokens\nplain-tokens = 100\nrate = " + rate + "\nburst = " + rate + "\n"
}

func (c *cluster) requestPrices(b *boxProcess, key string) callResponse {
	return b.post(context.Background(), "/services/shop/prices", "{}", map[string]string{"X-Api-Key": key})
}

// TestWorkspaceKeys checks that all boxes accept the keys of workspaces and reject other
// keys, and that a key that a file removed stays rejected, also after all boxes are killed
// and restarted.
func TestWorkspaceKeys(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	c.addServiceAndModel()
	c.fleetText += workspaceSections("1000000")
	c.startReady()
	for _, b := range c.boxes {
		eventually(t, "the box serves with a key", 20*time.Second, func() bool { return c.requestPrices(b, libraryKey).status == http.StatusOK })
		g.Expect(c.requestPrices(b, "").status).To(Equal(http.StatusUnauthorized))
		g.Expect(c.requestPrices(b, "key-of-nobody").status).To(Equal(http.StatusUnauthorized))
	}
	c.fleetText = strings.ReplaceAll(c.fleetText, libraryKey, "another-key-of-the-library")
	c.awaitAccepted(2)
	c.awaitActive(2, 20*time.Second)
	for _, b := range c.boxes {
		g.Expect(c.requestPrices(b, libraryKey).status).To(Equal(http.StatusUnauthorized))
		g.Expect(c.requestPrices(b, atelierKey).status).To(Equal(http.StatusOK))
	}
	for _, b := range c.boxes {
		b.kill()
	}
	for _, b := range c.boxes {
		b.start()
	}
	for _, b := range c.boxes {
		eventually(t, "the box serves again", 30*time.Second, func() bool { return c.requestPrices(b, atelierKey).status == http.StatusOK })
		g.Expect(c.requestPrices(b, libraryKey).status).To(Equal(http.StatusUnauthorized), "a removed key must not become valid again")
	}
}

// TestWorkspaceQuotaAcrossBoxes checks that all boxes together serve a workspace its
// quota, also while the leader is killed. The other workspace has no quota; its requests
// are checked before the load starts.
func TestWorkspaceQuotaAcrossBoxes(t *testing.T) {
	g := NewWithT(t)
	const rate = 2000.0 // tokens per second, 20 requests
	c := newCluster(t, 3, 2)
	c.addServiceAndModel()
	c.fleetText += workspaceSections("2000")
	c.startReady()
	for _, b := range c.boxes {
		eventually(t, "the box serves with a key", 20*time.Second, func() bool { return c.requestPrices(b, atelierKey).status == http.StatusOK })
	}
	var served, refused, other atomic.Int64
	began := time.Now()
	const duration = 8 * time.Second
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			for time.Since(began) < duration {
				switch c.requestPrices(c.boxes[i%len(c.boxes)], libraryKey).status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	killed := c.leader()
	killed.kill()
	time.Sleep(time.Second)
	killed.start()
	callers.Wait()
	elapsed := time.Since(began).Seconds()
	t.Logf("served %d, over quota %d, otherwise refused %d in %.1f s", served.Load(), refused.Load(), other.Load(), elapsed)
	g.Expect(float64(served.Load()) * 100).To(BeNumerically("<=", (rate*elapsed+rate)*1.1))
	g.Expect(float64(served.Load()) * 100).To(BeNumerically(">=", rate*elapsed/2))
	g.Expect(refused.Load()).To(BeNumerically(">", 0))
}
