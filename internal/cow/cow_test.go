package cow_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/internal/cow"
)

// Maps and their clones have the same content as built-in maps that are copied completely.
func TestClonesAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := []map[int]int{{}}
		actual := []*cow.Map[int, int]{cow.New[int, int]()}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(expected)-1).Draw(t, "map")
			key := rapid.IntRange(0, 60).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				delete(expected[i], key)
				actual[i].Delete(key)
			case 1:
				expected = append(expected, maps.Clone(expected[i]))
				actual = append(actual, actual[i].Clone())
			default:
				expected[i][key]++
				actual[i].Set(key, actual[i].Get(key)+1)
			}
		}
		for i := range expected {
			if got := maps.Collect(actual[i].All()); !maps.Equal(got, expected[i]) || actual[i].Len() != len(expected[i]) {
				t.Fatalf("map %d: got %v, want %v", i, got, expected[i])
			}
		}
	})
}

func TestOrder(t *testing.T) {
	g := NewWithT(t)
	m := cow.NewFunc[string, int](func(a, b string) int { return len(a) - len(b) })
	for _, word := range []string{"aaaa", "a", "aaa"} {
		m.Set(word, len(word))
	}
	var all []int
	for _, n := range m.All() {
		all = append(all, n)
	}
	g.Expect(all).To(Equal([]int{1, 3, 4}))
	for key, n := range m.From("bb") {
		g.Expect(key).To(Equal("aaa"))
		g.Expect(n).To(Equal(3))
		break
	}
	_, ok := m.Lookup("bb")
	g.Expect(ok).To(BeFalse())
	g.Expect(slices.Collect(maps.Keys(maps.Collect(m.All())))).To(HaveLen(3))
}

// The allocations of a clone and a subsequent change do not depend on the size of the map.
func TestChangeCopiesOnlyItsPath(t *testing.T) {
	allocations := func(size int) float64 {
		m := cow.New[int, int]()
		for i := range size {
			m.Set(i, i)
		}
		i := 0
		return testing.AllocsPerRun(500, func() {
			m.Clone()
			i++
			m.Set(i*7%size, i)
		})
	}
	small, large := allocations(1000), allocations(32000)
	NewWithT(t).Expect(large).To(BeNumerically("<=", 2*small), "32 times as many keys need one more tree level")
}
