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

// workspaces are sections of a fleet file, where the library may spend so many tokens a second.
func workspaces(rate string) string {
	return "[workspace atelier]\nkeys = " + atelierKey + "\n[workspace library]\nkeys = " + libraryKey + "\nunit = tokens\nplain-tokens = 100\nrate = " + rate + "\nburst = " + rate + "\n"
}

func (c *cluster) ask(b *boxProc, key string) answerOf {
	return b.post(context.Background(), "/services/shop/prices", "{}", map[string]string{"X-Api-Key": key})
}

// Keys open what they should at every box, and nothing more once a file has taken them away, also after all boxes
// were killed.
func TestKeysOfWorkspaces(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	c.withAll()
	c.fleet += workspaces("1000000")
	c.up()
	for _, b := range c.boxes {
		eventually(t, "the box serves with a key", 20*time.Second, func() bool { return c.ask(b, libraryKey).status == http.StatusOK })
		g.Expect(c.ask(b, "").status).To(Equal(http.StatusUnauthorized))
		g.Expect(c.ask(b, "key-of-nobody").status).To(Equal(http.StatusUnauthorized))
	}
	c.fleet = strings.ReplaceAll(c.fleet, libraryKey, "another-key-of-the-library")
	c.applyNow(2)
	c.inForceEverywhere(2, 20*time.Second)
	for _, b := range c.boxes {
		g.Expect(c.ask(b, libraryKey).status).To(Equal(http.StatusUnauthorized))
		g.Expect(c.ask(b, atelierKey).status).To(Equal(http.StatusOK))
	}
	for _, b := range c.boxes {
		b.kill()
	}
	for _, b := range c.boxes {
		b.start()
	}
	for _, b := range c.boxes {
		eventually(t, "the box serves again", 30*time.Second, func() bool { return c.ask(b, atelierKey).status == http.StatusOK })
		g.Expect(c.ask(b, libraryKey).status).To(Equal(http.StatusUnauthorized), "no older set of keys comes back")
	}
}

// All boxes together serve a workspace its quota, while the leader is killed, and another workspace all it asks.
func TestQuotaOverAllBoxes(t *testing.T) {
	g := NewWithT(t)
	const rate = 2000.0 // tokens a second: 20 requests
	c := newCluster(t, 3, 2)
	c.withAll()
	c.fleet += workspaces("2000")
	c.up()
	for _, b := range c.boxes {
		eventually(t, "the box serves with a key", 20*time.Second, func() bool { return c.ask(b, atelierKey).status == http.StatusOK })
	}
	var served, refused, other atomic.Int64
	began := time.Now()
	const lasts = 8 * time.Second
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			for time.Since(began) < lasts {
				switch c.ask(c.boxes[i%len(c.boxes)], libraryKey).status {
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
	took := time.Since(began).Seconds()
	t.Logf("served %d, over quota %d, otherwise refused %d in %.1f s", served.Load(), refused.Load(), other.Load(), took)
	g.Expect(float64(served.Load()) * 100).To(BeNumerically("<=", (rate*took+rate)*1.1))
	g.Expect(float64(served.Load()) * 100).To(BeNumerically(">=", rate*took/2))
	g.Expect(refused.Load()).To(BeNumerically(">", 0))
}
