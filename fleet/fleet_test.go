package fleet_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/internal/conf"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet file")
}

const validFile = `
[fleet]
number = 7
[hall a]
[hall b]
region = west
[class till]
deadline = 2s
priority = 9
[kind big]
memory = 80GiB
kv-reserve = 16GiB
accelerators = 2
[server m1]
address = 127.0.0.1:1
hall = a
kind = big
[model cat]
version = 1
memory = 40GiB
class = till
halls = a
[adapter parish]
model = cat
version = 2
memory = 1GiB
[service shop]
class = till
non-repeatable = POST /orders, PUT /orders/*
[instance shop1]
service = shop
address = 127.0.0.1:2
hall = b
`

var _ = Describe("a fleet file", func() {
	It("is read completely", func() {
		f, err := fleet.Parse("f.ini", []byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Number).To(BeEquivalentTo(7))
		Expect(f.Models["cat"].Footprint()).To(BeEquivalentTo(41 << 30))
		Expect(f.Servers["m1"].Kind.UsableMemory()).To(BeEquivalentTo(64 << 30))
		Expect(f.Servers["m1"].Kind.ChecksFences).To(BeFalse(), "the default assumes no fencing check")
		Expect(f.Services["shop"].Instances).To(HaveLen(1))
	})

	DescribeTable("reports each fault",
		func(old, changed, section, key, problem string) {
			text := strings.Replace(validFile, old, changed, 1)
			Expect(text).NotTo(Equal(validFile))
			_, err := fleet.Parse("f.ini", []byte(text))
			Expect(err).To(BeAssignableToTypeOf(conf.Faults{}))
			Expect(err).To(ContainElement(SatisfyAll(
				HaveField("File", "f.ini"), HaveField("Section", section), HaveField("Key", key), HaveField("Problem", ContainSubstring(problem)),
			)), "%v", err)
		},
		Entry("no number", "number = 7", "", "fleet", "number", "missing"),
		Entry("number zero", "number = 7", "number = 0", "fleet", "number", "out of range"),
		Entry("an unknown hall", "hall = b", "hall = c", "instance shop1", "hall", "not in this file"),
		Entry("an unknown kind", "kind = big", "kind = small", "server m1", "kind", "not in this file"),
		Entry("an unknown class", "class = till\nhalls", "class = x\nhalls", "model cat", "class", "not in this file"),
		Entry("an unknown model", "model = cat", "model = dog", "adapter parish", "model", "not in this file"),
		Entry("an unknown service", "service = shop", "service = s", "instance shop1", "service", "not in this file"),
		Entry("an unknown hall of a model", "halls = a", "halls = a, z", "model cat", "halls", "not a hall"),
		Entry("a reserve above the memory", "kv-reserve = 16GiB", "kv-reserve = 80GiB", "kind big", "kv-reserve", "no memory"),
		Entry("too few copies allowed", "halls = a", "copies = 5", "model cat", "max-copies", "below copies"),
		Entry("a call without a path", "POST /orders,", "POST,", "service shop", "non-repeatable", "not a call"),
		Entry("a model and an adapter with the same name", "[adapter parish]", "[adapter cat]", "adapter cat", "", "same name"),
		Entry("a model that is too large", "memory = 40GiB", "memory = 70GiB", "fleet", "", "7.0 GiB short"),
		Entry("a model that may not run where memory is free", "halls = a", "halls = b", "fleet", "", "cannot be resident"),
		Entry("only draining servers", "kind = big", "kind = big\nleaving = true", "fleet", "", "cannot be resident"),
	)

	DescribeTable("determines which calls may be retried",
		func(method, path string, repeatable bool) {
			f, err := fleet.Parse("f.ini", []byte(validFile))
			Expect(err).NotTo(HaveOccurred())
			Expect(f.Services["shop"].Repeatable(method, path)).To(Equal(repeatable))
		},
		Entry("a read", "GET", "/orders", true),
		Entry("an order", "POST", "/orders", false),
		Entry("another path", "POST", "/orders/1", true),
		Entry("a path under a prefix", "PUT", "/orders/1", false),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[model x]\nmemory=99999999999EiB"))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := fleet.Parse("x", data)
		if (v == nil) == (err == nil) {
			t.Fatal("want either a fleet or faults")
		}
	})
}
