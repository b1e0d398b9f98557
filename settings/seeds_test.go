package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"leverdrum/settings"
)

const settingsWithSeeds = `[box]
name = 10.0.0.1
hall = h
roles = control,entry
[cluster]
name = c
seeds = 10.0.0.1:8144, 10.0.0.2:8144
form = true
tolerate = 2
[peer]
listen = 10.0.0.1:7380
plain-text = anywhere
[entry]
listen = 10.0.0.1:8149
[operator]
listen = 10.0.0.1:7395
[data]
folder = /data
`

var _ = Describe("seeds", func() {
	It("name boxes by their IP numbers, at this box's own port", func() {
		s, err := settings.Parse("box.ini", []byte(settingsWithSeeds))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Boxes).To(Equal(map[string]string{"10.0.0.1": "10.0.0.1:7380", "10.0.0.2": "10.0.0.2:7380"}))
		Expect(s.FirstMembers).To(Equal([]string{"10.0.0.1", "10.0.0.2"}))
		Expect(s.Voters).To(Equal(5), "tolerates two failures at once")
		Expect(s.AddressOf("10.0.0.9")).To(Equal("10.0.0.9:7380"), "a box that is not a seed is found by its name")
		Expect(s.AddressOf("one")).To(BeEmpty())
	})

	It("form no cluster unless form is set", func() {
		s, err := settings.Parse("box.ini", []byte(strings.Replace(settingsWithSeeds, "form = true", "form = false", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.FirstMembers).To(BeEmpty())
	})

	DescribeTable("are checked", func(old, changed, problem string) {
		_, err := settings.Parse("box.ini", []byte(strings.Replace(settingsWithSeeds, old, changed, 1)))
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		Entry("neither seeds nor boxes", "seeds = 10.0.0.1:8144, 10.0.0.2:8144\n", "", "nor seeds"),
		Entry("both", "form = true", "boxes = one=10.0.0.1:1", "together with boxes"),
		Entry("no address", "10.0.0.2:8144", "box2:8144", "is not an address"),
	)
})
