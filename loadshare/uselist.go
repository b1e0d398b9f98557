package loadshare

// useLink is a prefixUse's place in a useList.
type useLink struct{ older, newer *prefixUse }

// ofAllServers and ofOneServer are the lists that a prefixUse is in.
const (
	ofAllServers = iota
	ofOneServer
)

// useList orders uses by their last use.
type useList struct {
	which          int
	oldest, newest *prefixUse
}

// push adds a use as the newest.
func (l *useList) push(u *prefixUse) {
	u.links[l.which] = useLink{older: l.newest}
	if l.newest == nil {
		l.oldest = u
	} else {
		l.newest.links[l.which].newer = u
	}
	l.newest = u
}

func (l *useList) remove(u *prefixUse) {
	link := u.links[l.which]
	if link.older == nil {
		l.oldest = link.newer
	} else {
		link.older.links[l.which].newer = link.newer
	}
	if link.newer == nil {
		l.newest = link.older
	} else {
		link.newer.links[l.which].older = link.older
	}
	u.links[l.which] = useLink{}
}
