package cow_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/internal/cow"
)

// A map and its clones hold what plain maps hold that are copied whole.
func TestClonesDoNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := []map[int]int{{}}
		tried := []*cow.Map[int, int]{cow.New[int, int]()}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(plain)-1).Draw(t, "map")
			key := rapid.IntRange(0, 60).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				delete(plain[i], key)
				tried[i].Delete(key)
			case 1:
				plain = append(plain, maps.Clone(plain[i]))
				tried = append(tried, tried[i].Clone())
			default:
				plain[i][key]++
				tried[i].Set(key, tried[i].Get(key)+1)
			}
		}
		for i := range plain {
			if got := maps.Collect(tried[i].All()); !maps.Equal(got, plain[i]) || tried[i].Len() != len(plain[i]) {
				t.Fatalf("map %d holds %v, not %v", i, got, plain[i])
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

// What a clone and a change after it allocate does not go by the size of the map.
func TestAChangeCostsItsPath(t *testing.T) {
	cost := func(size int) float64 {
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
	small, large := cost(1000), cost(32000)
	NewWithT(t).Expect(large).To(BeNumerically("<=", 2*small), "32 times as many keys take one level more")
}
