package gateway_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/clock"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

var errNobody = errors.New("no box answers")

// limited is a limiter whose only allocator is that of a lessor in this process; nil is a box that is alone.
func limited(t *testing.T, lessor *rate.Lessor, book func() *workspace.Registry) *rate.Limiter {
	l := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 8 * time.Second, Boxes: func() int { return 1000 },
		Lease: func(_ context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
			if lessor == nil {
				return rate.LeaseResponse{}, errNobody
			}
			return lessor.Lease("box", epoch, rate.Leadership{IsLeader: true, Term: 1, Boxes: 1}, limitsOf(book()), asks), nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

// limitsOf tells the limits of a book's workspaces.
func limitsOf(book *workspace.Registry) func(rate.LimitRequest) (rate.Limit, bool) {
	return func(a rate.LimitRequest) (rate.Limit, bool) {
		w := book.ByName(a.Name)
		if w == nil {
			return rate.Limit{}, false
		}
		return w.Quota.Limit(), true
	}
}

// quotaSetup is a setup with one workspace, whose quota is in tokens.
func quotaSetup(t *testing.T, q workspace.Quota, alone bool) *setup {
	var s *setup
	var lessor *rate.Lessor
	if !alone {
		lessor = rate.NewLessor("p", clock.New().Now)
	}
	quotas := limited(t, lessor, func() *workspace.Registry { return s.view.Fleet.Workspaces })
	s = newLimitedSetup(t, quotas, 5*time.Second, newBackend(t, "i1", ok))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}, Quota: q})
	return s
}

func sized(tokens string) string {
	return request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\nX-Prompt-Tokens: "+tokens+"\r\n")
}

func TestWhatAQuotaDoesNotBearIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 100, Burst: 100}, false)
	began := time.Now()
	answer := ""
	for range 20 { // what the bucket begins with bears none of these, and 60 ms bring six tokens
		if answer = s.send(sized("80")); strings.HasPrefix(answer, "HTTP/1.1 429 ") {
			break
		}
	}
	g.Expect(answer).To(HavePrefix("HTTP/1.1 429 "))
	g.Expect(answer).To(ContainSubstring(reason.OverQuota.Code))
	g.Expect(answer).To(ContainSubstring("Retry-After: "))
	g.Expect(time.Since(began)).To(BeNumerically("<", within))
}

func TestARequestBeyondAllQuotaIsToldSo(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 100, Burst: 100}, false)
	answer := s.send(sized("901"))
	g.Expect(answer).To(HavePrefix("HTTP/1.1 429 "))
	g.Expect(answer).To(ContainSubstring(reason.BeyondQuota.Code))
	g.Expect(answer).NotTo(ContainSubstring("Retry-After"))
}

func TestWithinItsQuotaAWorkspaceIsServed(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 1e6, Burst: 1e6}, false)
	for range 50 {
		g.Expect(s.send(sized("900"))).To(HavePrefix("HTTP/1.1 200 OK"))
	}
}

// Alone a box has its part of the rate only, and cannot say that the workspace has used its quota.
func TestABoxAloneSaysThatItIsUnsure(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 1000, Burst: 1000}, true)
	var answers []string
	for range 5 {
		answers = append(answers, s.send(sized("500")))
	}
	g.Expect(answers).To(ContainElement(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.QuotaUnsure.Code), ContainSubstring("Retry-After: "))))
}
