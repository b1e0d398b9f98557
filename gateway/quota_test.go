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

var errUnreachable = errors.New("no box reachable")

// newQuotaLimiter returns a limiter that leases from the given lessor in this process, or an
// isolated one where lessor is nil.
func newQuotaLimiter(t *testing.T, lessor *rate.Lessor, registry func() *workspace.Registry) *rate.Limiter {
	l := rate.NewLimiter(rate.Options{
		Now: clock.New().Now, Window: 8 * time.Second, Boxes: func() int { return 1000 },
		Lease: func(_ context.Context, epoch string, asks []rate.LimitRequest) (rate.LeaseResponse, error) {
			if lessor == nil {
				return rate.LeaseResponse{}, errUnreachable
			}
			return lessor.Lease("box", epoch, rate.Leadership{IsLeader: true, Term: 1, Boxes: 1}, limitsOf(registry()), asks), nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

// limitsOf returns the limits of a registry's workspaces.
func limitsOf(registry *workspace.Registry) func(rate.LimitRequest) (rate.Limit, bool) {
	return func(a rate.LimitRequest) (rate.Limit, bool) {
		w := registry.ByName(a.Name)
		if w == nil {
			return rate.Limit{}, false
		}
		return w.Quota.Limit(), true
	}
}

// quotaSetup returns a setup with one workspace that has the given quota in tokens.
func quotaSetup(t *testing.T, q workspace.Quota, isolated bool) *setup {
	var s *setup
	var lessor *rate.Lessor
	if !isolated {
		lessor = rate.NewLessor("p", clock.New().Now)
	}
	quotas := newQuotaLimiter(t, lessor, func() *workspace.Registry { return s.view.Fleet.Workspaces })
	s = newLimitedSetup(t, quotas, 5*time.Second, newBackend(t, "i1", answerOK))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}, Quota: q})
	return s
}

func requestWithTokens(tokens string) string {
	return request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\nX-Prompt-Tokens: "+tokens+"\r\n")
}

func TestRequestsOverQuotaAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 100, Burst: 100}, false)
	start := time.Now()
	answer := ""
	for range 20 { // the initial tokens of the bucket admit none of these, and 60 ms add six
		if answer = s.send(requestWithTokens("80")); strings.HasPrefix(answer, "HTTP/1.1 429 ") {
			break
		}
	}
	g.Expect(answer).To(HavePrefix("HTTP/1.1 429 "))
	g.Expect(answer).To(ContainSubstring(reason.OverQuota.Code))
	g.Expect(answer).To(ContainSubstring("Retry-After: "))
	g.Expect(time.Since(start)).To(BeNumerically("<", within))
}

func TestRequestBeyondTheWholeQuotaIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 100, Burst: 100}, false)
	answer := s.send(requestWithTokens("901"))
	g.Expect(answer).To(HavePrefix("HTTP/1.1 429 "))
	g.Expect(answer).To(ContainSubstring(reason.BeyondQuota.Code))
	g.Expect(answer).NotTo(ContainSubstring("Retry-After"))
}

func TestRequestsWithinQuotaAreServed(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 1e6, Burst: 1e6}, false)
	for range 50 {
		g.Expect(s.send(requestWithTokens("900"))).To(HavePrefix("HTTP/1.1 200 OK"))
	}
}

// An isolated box has its share of the rate only, and cannot tell whether the workspace has used
// its quota.
func TestIsolatedBoxReportsQuotaUnsure(t *testing.T) {
	g := NewWithT(t)
	s := quotaSetup(t, workspace.Quota{Unit: workspace.Tokens, Rate: 1000, Burst: 1000}, true)
	var answers []string
	for range 5 {
		answers = append(answers, s.send(requestWithTokens("500")))
	}
	g.Expect(answers).To(ContainElement(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(reason.QuotaUnsure.Code), ContainSubstring("Retry-After: "))))
}
