package spread

import (
	"slices"
	"time"

	"leverdrum/consensus"
	"leverdrum/wire"
)

// Rules for a box that has heard of no leader since it started:
//
//  1. It is current, too, while a majority of the voters has answered it lately, all of
//     them know the same voters, and none has a newer fleet file in its log than the one
//     that is in force here. An accepted file is in the logs of a majority of the voters,
//     so one of those that answered has it.
//  2. A voter takes it that agreed is what a majority of the voters holds in the one term
//     that all of them are in (consensus, rule 2.3): the newest file, too, where the power
//     went right after it was accepted.
//  3. A box without a disk has the agreed state from those that hold it: a parent gives
//     what it has, also while there is no leader.
//  4. Once the box has heard of a leader this never counts again: from then on a file may
//     be accepted that the voters' words of before do not know.
//
// After all boxes had lost their power and came back, they served requests as soon as two
// of three voters ran, not only when one of them led and its first entry was spread: 0.75
// to 1.2 s earlier, of the two seconds or so that they were gone.

const (
	// starting is how long a box counts as just started.
	starting = 5 * time.Second
	// startProbe is the time between two looks at others while it does, and
	// startProbeTimeout bounds one.
	startProbe        = 40 * time.Millisecond
	startProbeTimeout = 250 * time.Millisecond
	// startProbeEach is that time for each box that there is, and startProbeStep how much
	// longer it becomes with each look while their count is not known: six boxes that may
	// vote, of half a processor each, answered 7,400 looks a second of 300 that started.
	startProbeEach = time.Millisecond
	startProbeStep = 20 * time.Millisecond
	// probeEach is the time between two looks at one box, for each box that there is:
	// 250 looks a second where all boxes are looked at. Above 100 boxes they come more
	// rarely than each probeEvery.
	probeEach = 4 * time.Millisecond
	// wordLasts is how long a voter's word counts (1). It is well below the time in which
	// an accepted file must be in force everywhere.
	wordLasts = time.Second
)

// votersAgree is rule 1.
func (s *Distributor) votersAgree() bool {
	view := s.opts.Replica.View()
	words := s.words()
	return view.Fleet != nil && agree(words, view.Version.GetIndex())
}

// words returns what voters said lately, this box included where it is one; none once the
// box has heard of a leader (4).
func (s *Distributor) words() []word {
	status := s.opts.Replica.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh {
		return nil
	}
	var words []word
	now := s.opts.Replica.Now()
	for _, p := range s.probes {
		if p.word.Voters != nil && now-p.at <= wordLasts {
			words = append(words, p.word)
		}
	}
	if status.LogPosition.Voters != nil {
		words = append(words, word{status.LogPosition, status.NewestFile})
	}
	return words
}

// wordOf reads a voter's word.
func wordOf(a *wire.ProbeAnswer) word {
	return word{consensus.LogPosition{Voters: a.Voters, Term: a.Term, LastIndex: a.LastIndex, LastTerm: a.LastTerm}, a.NewestFile}
}

// bare are words without files.
func bare(words []word) []consensus.LogPosition {
	var list []consensus.LogPosition
	for _, w := range words {
		list = append(list, w.LogPosition)
	}
	return list
}

// agree reports whether enough words are there and none knows of a newer file.
func agree(words []word, file uint64) bool {
	return consensus.HaveMajority(bare(words)) && !slices.ContainsFunc(words, func(w word) bool { return w.file > file })
}

// learnAgreed is rule 2.
func (s *Distributor) learnAgreed() {
	term := s.opts.Replica.Status().Term
	if index, ok := consensus.CommittedIndex(bare(s.words()), term); ok {
		s.opts.Replica.MarkCommitted(index, term)
	}
}

// isStarting reports whether the box has just started and no leader was heard of.
func (s *Distributor) isStarting() bool {
	_, fresh := s.StateAge()
	return !fresh && time.Since(s.started) < starting
}

// probePause is the time to the next look at others, after so many.
func (s *Distributor) probePause(looks int) time.Duration {
	boxes := time.Duration(len(s.opts.Replica.View().Members))
	switch {
	case !s.isStarting():
		return max(probeEvery, probeEach*boxes)
	case boxes > 0:
		return max(startProbe, startProbeEach*boxes)
	}
	return min(probeEvery, startProbe+startProbeStep*time.Duration(looks))
}

func (s *Distributor) probeTimeout() time.Duration {
	if s.isStarting() {
		return startProbeTimeout
	}
	return askTimeout
}

// probed lists the boxes to look at. While the box is starting they are those that may know
// of a leader, and those that may vote: their words are what counts (1), and 300 boxes that
// start at once have other work than to open connections to each other. Later they are
// all, since a majority of them counts (rule 5 of the package).
func (s *Distributor) probed() []string {
	view := s.opts.Replica.View()
	starting := s.isStarting()
	var list []string
	if starting {
		list = s.sources()
	}
	for _, m := range view.Members {
		if (m.Disk || !starting) && m.Box != s.opts.Self.Box {
			list = append(list, m.Box)
		}
	}
	if starting {
		slices.Sort(list)
		list = slices.Compact(list)
	}
	return list
}
