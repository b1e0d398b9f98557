#!/usr/bin/env bash
# Takes one mechanism out at a time, in a scratch copy, and runs the test that is
# to notice. Prints one line a mechanism; exits non-zero if a test still passes.
#
#   scripts/mutants.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
only=("$@")
missed=0

# mutant NAME FILE PERL-SUBSTITUTION PACKAGE TEST
mutant() {
  local name=$1 file=$2 change=$3 package=$4 test=$5
  if [ "${#only[@]}" -gt 0 ] && [[ ! " ${only[*]} " == *" $name "* ]]; then return; fi
  local copy
  copy=$(mktemp -d)
  git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
  perl -0pi -e "$change" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "$name: the change does not apply to $file"
    missed=1
  elif (cd "$copy" && go vet "./$package" >/dev/null 2>&1 && timeout 300 go test -count=1 -run "$test" "./$package" >"$copy/out" 2>&1); then
    echo "$name: NOT NOTICED by $package $test"
    missed=1
  elif grep -aq -e '^--- FAIL' -e '^panic:' -e '\[FAIL\]' "$copy/out" 2>/dev/null; then
    echo "$name: noticed by $package $test: $(grep -m1 -aoE 'rapid\] failed after [0-9]+ tests: .*|panic: .*|Expected.*|--- FAIL.*' "$copy/out" | cut -c1-110)"
  else
    echo "$name: the changed copy does not build"
    missed=1
  fi
  cd "$root"
  rm -rf "$copy"
}

core=consensus/consensus.go
step=consensus/step.go
mutant vote-twice $step 's/free := n.vote == "" \|\| n.vote == m.From/free := true/' consensus 'Test(Votes|AgreementUnderFailure)'
mutant vote-short-log $step 's/grant := free && n.upToDate\(m\) &&/grant := free \&\&/' consensus 'Test(Votes|AgreementUnderFailure)'
mutant vote-while-bound $step 's/return n.role == Leader \|\| n.now-n.heardLeader < n.opts.ElectionMin/return false/' consensus 'TestVotes'
mutant forget-start $core 's/n.heardLeader = now \/\/ \(1.5\)/n.heardLeader = now - time.Hour/' consensus 'TestVotes'
mutant commit-old-term $step 's/ \|\| n.log.term\(index\) != n.term//' consensus 'TestEntryOfAnOldTerm'
mutant no-joint $core 's/joint := &wire.Config\{Voters: slices.Clone\(voters\), Outgoing: slices.Clone\(n.Config\(\).Voters\)\}/joint := \&wire.Config{Voters: slices.Clone(voters)}/' consensus 'TestChangeNeedsBothMajorities'
mutant read-without-round $core 's/round: n.round \+ 1\}/round: 0}/' consensus 'TestReadWaits'
mutant lease-from-answer $step 's/n.leaseFrom, n.leaseHeld = n.roundSent\[best\], true/n.leaseFrom, n.leaseHeld = n.now, true/' consensus 'TestLeaseCounts'
mutant lease-after-transfer $core 's/ \|\| n.transferred \{\n\t\treturn 0, false/ {\n\t\treturn 0, false/' consensus 'TestTransfer'
mutant transfer-for-ever $core 's/late := n.transferred && n.now >= n.transferEnds/late := false/' consensus 'TestTransfer'
mutant old-incarnation $step 's/if m.To != n.opts.ID \{\n\t\treturn/if false {\n\t\treturn/' consensus 'TestLostDiskDoesNotVote'
mutant replaced-too-early $core 's/range append\(newer, agreed\)/range []*wire.Config{n.Config()}/' consensus 'TestReplacedVoter'
mutant removed-leader $core 's/return index > n.commit && isVoter/return index > n.commit+1<<40 \&\& isVoter/' consensus 'TestRemovedVoter'
claim=claim/claim.go
mutant claim-no-take-over $claim 's/\tsl.pulling, sl.pulled, sl.since = to, map\[string\]bool\{\}, now/\tsl.ready = to/' claim 'TestAtMostOneCallAKey|TestRolling'
mutant claim-pull-from-one $claim 's/len\(sl.pulled\) >= Majority\(len\(previous.Holders\(s\)\)\)/len(sl.pulled) >= 1/' claim 'TestAtMostOneCallAKey'
mutant claim-one-grant $claim 's/func Majority\(n int\) int \{ return n\/2 \+ 1 \}/func Majority(n int) int { return (n + 1) \/ 2 - n\/3 }/' claim 'TestAtMostOneCallAKey'
mutant claim-unsealed $claim 's/numberOf\(t.Current\(\)\) <= epoch \|\| //' claim 'TestHandOver'
mutant claim-unready-source $claim 's/ \|\| t.slots\[s\].ready < epoch \{/ {/' claim 'TestAtMostOneCallAKey'
mutant claim-other-epoch $claim 's/c == nil \|\| c.Number != epoch/c == nil/' claim 'TestAtMostOneCallAKey|TestAnswers'
mutant claim-no-wait $claim 's/now-sl.since > Age/now-sl.since >= 0/' claim 'TestLostSlot'
mutant claim-first-only $claim 's/case other.Attempt != attempt:/case other.Attempt != attempt \&\& other.Result != nil:/' claim 'TestAnswers|TestAtMostOneCallAKey'
proxy=proxy/proxy.go
mutant transport-resends $proxy 's/onceBody\{bytes.NewReader\(nil\)\}/http.NoBody/' entry 'TestTransport'
mutant transport-key-header $proxy 's/req.Header\[strings.ToLower\(k\)\] = v/req.Header[k] = v/' entry 'TestTransport'
mutant not-run-after-sending $proxy 's/return nil, classify\(err, connected.Load\(\)\)/return nil, classify(err, false)/' entry 'TestEntry'
mutant late-answer $proxy 's/id != "" && id != a.ID/id != "" \&\& false/' entry 'TestEntry'
mutant truncated-stream proxy/copy.go 's/return ErrTruncated/return nil/' entry 'TestEntry'
mutant broken-stream-ends-cleanly entry/serve.go 's/panic\(http.ErrAbortHandler\)/return/' entry 'TestEntry'
mutant retry-what-may-not entry/serve.go 's/case !j.repeatable:/case false:/' entry 'TestEntry'
relay=stream/stream.go
mutant stream-partial-event $relay 's/\tr.partial = nil\n//' stream 'TestNothingTwice'
mutant stream-gap $relay 's/case id != r.position\+1 && r.resumed:/case false:/' stream 'TestRelay'
mutant stream-twice $relay 's/case id <= r.position && r.resumed:/case false:/; s/case id != r.position\+1 && r.resumed:/case false:/' stream 'TestNothingTwice'
mutant stream-other-version entry/stream.go 's/ && answer.Version == version//' entry 'TestEntry'
mutant stream-begins-anew entry/stream.go 's/if !b.Resumes \{/if false {/' entry 'TestEntry'
mutant no-share-ejection route/backend.go 's/ && h.share <= ejectShare//' route 'TestHalfFailing'
mutant return-at-full-limit route/backend.go 's/\tb.limit = 1\n//' route 'TestHalfFailing'
mutant eject-them-all route/choose.go 's/return 2\*out > len\(list\)/return false/' route 'TestHalfFailing'
mutant errors-look-well entry/serve.go 's/return a.Rest == nil/return false/' entry 'TestEntry'
mutant blame-for-poison entry/serve.go 's/case len\(j.suspects\) == 0:/default:/' entry 'TestEntry'
mutant last-attempt-tells entry/serve.go 's/next.why.Outcome == reason.NotRun \{/next.why.Outcome == "x" {/' entry 'TestEntry'
mutant patience-unbounded entry/patience.go 's/\t\tmethod = ""\n//' entry 'TestPatience'
mutant no-patience entry/patience.go 's/may := limit > 0/may := false/' entry 'TestEntry'
mutant late-first-event entry/serve.go 's/ && !j.firstLate//' entry 'TestEntry'
mutant silent-stream entry/stream.go 's/\tif b.Resumes \{\n\t\thow/\tif false {\n\t\thow/' entry 'TestEntry'
mutant late-first-admitted admit/admit.go 's/first.Before\(latest\)/false/' admit 'TestLateFirst'
mutant affinity-herds route/choose.go 's/ && home.load\(\) <= b.load\(\)\+t.AffinitySlack//' route 'TestSessions'
mutant no-priority admit/admit.go 's/return pa > pb/return pa < pb/' admit 'TestUrgent'
mutant no-fair-share admit/admit.go 's/return ca < cb/return ca > cb/' admit 'TestCallers'
mutant hold-until-deadline admit/admit.go 's/t.Deadline.Add\(-g.took\[t.Target.Name\].likely\(\)\)/t.Deadline/' admit 'TestWaitingEnds'
mutant no-early-refusal admit/admit.go 's/\.After\(g.latest\(t\)\)/.After(t.Deadline.Add(time.Hour))/' admit 'TestHopeless'
ledger=ledger/ledger.go
mutant ledger-no-room-check $ledger 's/used > usable \|\| o.Memory > usable-used/used > usable+o.Memory*9/' control 'TestMemory'
mutant ledger-forgets-unloading $ledger 's/(if p.Server == server && p.Accelerator == accelerator) \{/$1 \&\& r.Phase != wire.Phase_PHASE_UNLOADING {/' control 'TestMemory'
mutant ledger-forgets-loading $ledger 's/(if p.Server == server && p.Accelerator == accelerator) \{/$1 \&\& r.Phase != wire.Phase_PHASE_LOADING {/' control 'TestMemory'
mutant unload-closes-at-once control/orders.go 's/return o.Action == wire.OrderAction_ORDER_LOAD && out.Done/return true/' control 'TestWhatCloses'
mutant break-before-make $ledger 's/func \(b \*Book\) ReadyElsewhere\(place Place\) bool \{/func (b *Book) ReadyElsewhere(place Place) bool {\n\tif place.Server != "" {\n\t\treturn true\n\t}/' placement 'TestPlacement'
mutant no-hall-spread placement/needs.go 's/return newA\n/return newB\n/' placement 'TestPlacement'
mutant no-price placement/demand.go 's/least := p.fleet.MoveWeight/least := 0.0/' placement 'TestPlacement'
mutant no-repack placement/needs.go 's/ && p.repack\(n.model\)/ \&\& false/' placement 'TestPlacement|TestDecisions'
mutant repack-for-ever placement/repack.go 's/if p.shiftsUnderWay\(m\) \{/if false {/' placement 'TestPlacement|TestDecisions'
mutant eviction-costs-nothing placement/demand.go 's/for _, c := range out \{\n(\t\t[^\n]*\n)*?\t\tp.dropCopy\(p.fleet.Models\[c.resident.Item.Model\], c\)\n\t\}\n/_ = out\n/' placement 'TestDecisions'
mutant evictions-disturb placement/demand.go 's/ \|\| p.disturbed\(best\)//' placement 'TestEvictions'
mutant second-copy-before-first placement/needs.go 's/forFirst \|\| all > p.least\(m\)/all > p.least(m)/' placement 'TestDecisions'
mutant demand-stays-in-the-box spread/demand.go 's/\t\taddDemand\(sum, d.list\)\n//' e2e 'TestDemandReaches'
mutant no-quarantine state/state.go 's/next.Quarantined = !s.Fleet.Servers\[seen.Server\].Kind.ChecksFences/next.Quarantined = false/' control 'TestMemory'
mutant leaderless-serving spread/spread.go 's/return s.majorityAgrees\(\)/return false/' e2e 'TestServingGoesOn'
mutant cut-off-serves-on spread/spread.go 's/return s.majorityAgrees\(\)/return true/' e2e 'TestCutOff'
mutant leaving-ignored route/route.go 's/if b.leaving.Load\(\) \|\| /if /; s/return !view.Servers\[p.Server\].GetLeaving\(\) && !d.gone\[p.Server\]/return true/; s/s == nil \|\| s.Leaving/s == nil/' e2e 'TestLeaving'
mutant second-file-wins state/file.go 's/if first := s.accepted\(a.Number\); first != nil \{/if first := s.accepted(a.Number); first != nil \&\& first.Digest == a.Digest {/' e2e 'TestRacing'
mutant no-stand-in membership/membership.go 's/if standIn == "" \{/if standIn != "x" {/' e2e 'TestSecondLoss'
mutant no-balancer-lag box/stop.go 's/time.Sleep\(b.settings.BalancerLag\)/time.Sleep(0)/' e2e 'TestRolling'
mutant refusal-closes-first peer/server.go 's/\t\ts.linger\(y\)\n//' peer 'TestPeer'
mutant full-follower-ends replica/loop.go 's/if errors.Is\(err, wal.ErrFull\) \{\n\t\t\treturn r.withdraw\(err\)/if false {\n\t\t\treturn r.withdraw(err)/' e2e 'TestFollowersFullDisk'
mutant any-certificate-name peer/peer.go 's/case certified != "" && certified != h.Self.Box:/case false:/' e2e 'TestWholeDaemonsOverTLS'
mutant certificates-kept certs/certs.go 's/s.current.Store\(l\)\n\tevent/_ = l\n\tevent/' peer 'TestPeer'
mutant unsafe-sent-twice gateway/failed.go 's/case !j.route.Repeatable\(\), j.runs >=/case j.runs >=/' gateway 'TestWhatMayNot'
mutant any-answer-is-mine gateway/exchange.go 's/id == "" \|\| id == o.id \{/id == "" || id != "" {/' gateway 'TestSurplus|TestAnswersThat'
mutant no-stamp-needed gateway/failed.go 's/a.Header.Get\(d.Stamp\) == "" &&/false \&\&/' gateway 'TestAnswersThat'
mutant stream-part-of-event gateway/events.go 's/func \(e \*events\) broke\(\) \{ e.partial = nil \}/func (e *events) broke() {}/' gateway 'TestAStream|TestEventsBehind'
mutant stream-event-twice gateway/events.go 's/e.any && id <= e.last/false/' gateway 'TestAStream|TestEventsBehind'
mutant waits-past-a-stop gateway/find.go 's/\tcase <-j.g.stopping:\n\t\treturn reason.Stopping\n//' gateway 'TestStopRefuses'
mutant leaving-can-return state/announce.go 's/a.Leaving \|\| old.GetLeaving\(\)/a.Leaving/' state 'TestLeavingStays'
mutant open-order-forgotten state/announce.go 's/ && !s.hasOrders\(a.Id\) \{/ {/' state 'TestResidentsStand'
mutant adapters-beyond-slots ledger/ledger.go 's/used >= s.Kind.AdapterSlots/used > s.Kind.AdapterSlots+9/' state 'TestAdapterSlots'
mutant lone-lease-ends replica/loop.go 's/len\(r.core.Peers\(\)\) == 0/false/' replica 'TestALeaderAlone'
mutant hangup-ends daemon/daemon.go 's/\tsignal.Notify\(s.again, syscall.SIGHUP\)\n//' e2e 'TestAllKilled'
mutant found-by-state-only settings/settings.go 's/if !s.Seeded \|\| err/if true || err/' e2e 'TestAllKilled'
mutant report-not-compared control/counted.go 's/case x.surprised\(r\):/case false \&\& x.surprised(r):/' box 'TestOrderOfAn'
mutant lines-hold-up logline/logline.go 's/\tdefault:\n\t\tw.dropped.Add\(1\)\n\t\tw.total.Add\(1\)\n//' logline 'TestAFullPipe'
mutant down-never-probed gateway/choose.go 's/ && !s.probe\(now\)//' gateway 'TestADownServer'
mutant one-box-suffices control/refusing.go 's/ \|\| len\(d.words\) < enough//' control 'TestOneBoxAlone'
mutant crash-agreed-often control/refusing.go 's/\td.acted = true\n//' control 'TestADoubtIs'
mutant orders-at-once control/pause.go 's/now.Sub\(o.seen\) < c.opts.OrderPause/now.Sub(o.seen) < 0/' control 'TestOnlyServers|TestABoxThat'
mutant open-order-not-held control/pause.go 's/if c.inherited\(o\) \{/if false {/' control 'TestOnlyServers'
mutant impatient-leader control/patience.go 's/known := in.Since >= in.Settles/known := true/' control 'TestPatience'
mutant room-before-demand placement/needs.go 's/ \|\| p.in.Patient\[n.model.Name\] \{ \/\/ \(11, 13\)/ {/' placement 'TestPlacement'
mutant rare-models-first placement/needs.go 's/\t\tp.followAbove\(p.in.Demand\[r.need.model.Name\].Requests\)\n//' placement 'TestPlacement'
mutant last-copy-stays ledger/ledger.go 's/ && !b.AtHand\(o.Server, o.Item.GetModel\(\)\)//' state 'TestTheLastCopy'
mutant last-copy-goes ledger/ledger.go 's/slices.Contains\(b.Servers\[server\].GetAtHand\(\), model\)/true || slices.Contains([]string{}, model)/' state 'TestTheLastCopy'
mutant move-too-late placement/demand.go 's/max\(0, p.fleet.DemandLasts.Seconds\(\)-coming\)/p.fleet.DemandLasts.Seconds()/' placement 'TestPlacement'
mutant nothing-fetched gateway/choose.go 's/w.fetch > 0 && lack >= fetchLeast/false && lack > 0/' gateway 'TestKeptParts'
mutant slow-not-avoided gateway/choose.go 's/ \+ s.holdsUp\(now, c.work\)//' gateway 'TestServersThatHoldUp'
mutant last-order-forgotten state/announce.go 's/, Ordered: s.Servers\[a.Id\].GetOrdered\(\)//' state 'TestTheLastOrder'
mutant torn-is-damage wal/frame.go 's/if !frameWithin\(rest\)/if false/' wal 'Test'
mutant damage-is-torn wal/frame.go 's/if !frameWithin\(rest\)/if true/' wal 'Test'
mutant stop-behind-hangup daemon/daemon.go 's/signal.Notify\(s.again, syscall.SIGHUP\)/signal.Notify(s.stop, syscall.SIGHUP)/' daemon 'TestHangUps'
mutant tables-unasked route/route.go 's/\td.stale.Store\(true\)\n/\td.build()\n/' route 'TestTables'
mutant stale-holds-up spread/spread.go 's/if fresh && stale\(age, len\(path\)\) \|\| slices.Contains\(path, from.GetBox\(\)\) \{/if false && fresh && age > 0 {/' spread 'TestWhereNothing'
mutant leader-out-of-turn spread/chooser.go 's/if c.turn%leaderTurn == leaderTurn-1 &&/if false \&\&/' spread 'TestTheLeaderIsAsked'
mutant parent-by-place spread/chooser.go 's/if c.parent != "" && slices.Contains\(list, c.parent\) &&/if false \&\&/' spread 'TestABoxThatGaveNews'
mutant no-patience-below spread/chooser.go 's/staleFirst\+staleStep\*time.Duration\(max\(0, boxes-1\)\)/staleFirst/' spread 'TestNewsMayBe'
mutant call-waits-for-dial peer/link.go 's/\t\tcase <-ctx.Done\(\):\n\t\t\treturn nil, Error.Wrap\(ctx.Err\(\)\)\n//' peer 'TestACallerDoes'
mutant given-up-ends-all peer/call.go 's/\tif s.silent\(\) \{\n\t\tl.drop\(s\)\n\t\}\n/\tl.drop(s)\n/' peer 'TestACallThat'
mutant silent-session-stays peer/link.go 's/return waits != 0 && /return false \&\& /' peer 'TestASilent'
mutant any-word-replaces state/announce.go 's/\(old == nil \|\| a.TakeResidents\) && //' state 'TestAWordFor'
mutant updates-too-large replica/follow.go 's/maxUpdateBytes = 64 << 10/maxUpdateBytes = 1 << 20/' replica 'TestUpdatesPass'
mutant pulls-at-full-pace keyed/pace.go 's/askFirst<<min\(x.asked, 20\)/askFirst/' keyed 'TestHoldersThatCannot'
mutant waits-in-vain gateway/patience.go 's/, left <= 0/, false/' gateway 'TestWhatDoesNotCome'
mutant gives-up-what-comes gateway/patience.go 's/if at, coming := j.comesAt\(\); coming && at.Before/if at, coming := j.comesAt(); coming \&\& !at.IsZero() \&\& false \&\& at.Before/' gateway 'TestWhatDoesNotCome'
mutant waits-for-who-left gateway/choose.go 's/return !leaves && !s.gone/return (leaves || !leaves) \&\& !s.gone/' gateway 'TestServersThatLeft'
mutant open-means-up gateway/server.go 's/if s.conns.any\(\) && s.conns.heardSince\(now.Add\(-unheard\)\) \{/if s.conns.any() {/' gateway 'TestADarkServer'
mutant reads-outlive-sessions peer/waits.go 's/\t\tc.waits.end\(\)\n//g' peer 'TestReadsEnd'
mutant answered-before-shown replica/loop.go 's/\tr.applied = append\(r.applied, answered\{p, outcome\{result: result\}\}\)/\tp.answer <- outcome{result: result}/' replica 'TestWhoProposed'
mutant silence-ends-all gateway/failed.go 's/ && !\(j.headed && last\)/ \&\& (last || !last)/' gateway 'TestSilenceEnds'
mutant never-news-holds-not spread/spread.go 's/if fresh && stale\(age, len\(path\)\)/if !fresh || stale(age, len(path))/' spread 'TestABoxThatNever'
mutant new-leader-unheard spread/chooser.go 's/c.leader, c.turn = leader, 0/c.leader = leader/' spread 'TestANewLeader'
mutant callers-speak-for-the-system gateway/job.go 's/\td.DropReserved\(h\)\n//' gateway 'TestCallersDoNot'
mutant reserved-forgotten platform/platform.go 's/\t"Kv-From",.*\n//' platform 'TestWhatOnly'
mutant deadline-taken-off entry/serve.go 's/\tproxy.PassHeaders\(h, from\)\n\th.Set\(HeaderDeadline, (.*)\)\n/\th.Set(HeaderDeadline, $1)\n\tproxy.PassHeaders(h, from)\n/' entry 'TestACallerDoesNotTake'
mutant one-rate-for-all gateway/reading.go 's/r.token\[model\] = min/r.token[""] = min/' gateway 'TestReadingIs'
mutant waits-count-as-reading gateway/reading.go 's/readQuantile = 0.15/readQuantile = 0.9/' gateway 'TestReadingIs'
mutant overload-is-flat placement/load.go 's/if l.reading > knee \{/if l.reading > 99 {/' placement 'TestMoreRequests'
mutant places-do-not-count placement/load.go 's/max\(l.lateByPlaces\(\), l.lateByReading\(\)\)/l.lateByReading()/' placement 'TestReadingAndPlaces'
mutant words-of-any-term consensus/word.go 's/w.Term == term && w.LastTerm == term/w.LastTerm <= term/' consensus 'TestWordsOf'
mutant words-of-a-minority consensus/word.go 's/ends\[len\(ends\)-most\]/ends[len(ends)-1]/' consensus 'TestAgreementUnderFailure|TestFiveVoters'
mutant words-that-came-late consensus/consensus.go 's/if n.term != term \|\| n.log.lastTerm\(\) != term \|\| index/if index/' consensus 'TestWhatWasSeen'
mutant newer-file-ignored spread/start.go 's/return consensus.Enough\(bare\(words\)\) && .*/return consensus.Enough(bare(words))/' spread 'TestBoxesServe'
mutant one-voter-suffices consensus/word.go 's/len\(words\) > len\(words\[0\].Voters\)\/2/true/' spread 'TestBoxesServe'
mutant room-blocks-all placement/demand.go 's/if !ok \|\| freeOnly \{/if !ok {/' placement 'TestPlacement|TestDecisions'
mutant need-does-not-wait placement/needs.go 's/if p.betterSoon\(n, best\)/if false \&\& p.betterSoon(n, best)/' placement 'TestPlacement'
mutant clearing-takes-no-time placement/demand.go 's/return clearBusy/return 0/' placement 'TestCopiesThat'
mutant rare-copies-stay placement/needs.go 's/p.in.Idle\[name\] \|\| p.steady\(m\) < rareBelow/p.in.Idle[name]/' placement 'TestPlacement'
mutant absent-by-average placement/demand.go 's/now >= rareBelow/now < 0/' placement 'TestPlacement'
mutant absent-costs-nothing placement/demand.go 's/rate := max\(absentLeast, p.steady\(m\)\)/rate := p.steady(m)/' placement 'TestPlacement'
mutant needs-take-the-room placement/needs.go 's/have < p.least\(m\) && !p.returns\(m\)/have < p.least(m)/' placement 'TestPlacement'
mutant room-made-twice placement/needs.go 's/\tp.roomFor\[roomFor\] = true\n//' placement 'TestPlacement'
mutant words-kept-to-itself box/platform.go 's/others = append\(others, name\)/_ = others/' box 'TestWordsGo'
mutant ignorance-is-silence control/announce.go 's/return silence, silence > unheardAfter/return silence, silence > silentAfter/' control 'TestANewLeader'
mutant silence-without-another gateway/failed.go 's/return why == nil && !j.g.stopped\(\) && j.g.dir.anyUp\(others\)/return why == nil \&\& len(others) >= 0/' gateway 'TestSilenceEndsNoStream'
mutant watch-ends-anyway gateway/watch.go 's/if !w.mayEnd\(\) \{/if false {/' gateway 'TestAWatchWaits'
mutant inherited-waits control/counted.go 's/case x.unsure && x.agrees\(r\):/case x.unsure \&\& x.agrees(r) \&\& x.c.ledFor() >= x.c.opts.OrderPause:/' control 'TestWhatAnEarlier'
mutant inherited-closed-at-once control/counted.go 's/case x.inherited && x.c.ledFor\(\) < x.c.opts.OrderPause:/case false:/' control 'TestWhatAnEarlier'
mutant down-servers-load placement/placement.go 's/ORDER_LOAD && !acc.unusable/ORDER_LOAD/' placement 'TestPlacement'
mutant late-words-bring-back control/announce.go 's/case contested && !h.insisted\(time.Now\(\)\):/case false:/' control 'TestLateWords'
mutant cut-off-waited-for box/stop.go 's/\t\ts.Close\(\)\n//' box 'TestWhatWasCutOff'
mutant waits-for-what-is-not-ordered gateway/patience.go 's/min\(decideWithin, time.Duration\(waitShare\*float64\(has\)\)\)/time.Duration(waitShare*float64(has))/' gateway 'TestWhatDoesNotCome'
mutant room-is-not-coming gateway/directory.go 's/\td.noteMaking\(t, view, now\)\n//' gateway 'TestWhatRoomIs'
mutant learns-what-callers-invent gateway/job.go 's/return f != nil && f.Models\[j.prompt.Model\] != nil/return f != nil \&\& j.prompt.Model != ""/' gateway 'TestNothingIsLearned'
mutant steady-never-forgets control/steady.go 's/if rate < steadyLeast/if rate < 0/' control 'TestSteadyRates'
mutant files-go-whole replica/propose.go 's/state.PackFile\(a, onto\)/a/; s/onto := r.master/onto := r.master\n\t_ = onto/' spread 'TestALargeFileIsInForce'
mutant files-by-themselves replica/propose.go 's/onto := r.master\n/var onto *state.State\n/' replica 'TestTheLogHoldsWhatAFileChanges'
mutant base-that-is-not-in-force replica/propose.go 's/if r.newFile > r.master.Index/if false/' replica 'TestFilesThatFollow'
mutant base-not-compared state/file.go 's/if a.Base != 0 && a.Base != s.Version.GetIndex\(\)/if false/' state 'TestAFilePacked'
mutant answers-given-up spread/follow.go 's/WithTimeout\(ctx, askMost\)/WithTimeout(ctx, askTimeout)/' spread 'TestAFileTooLarge'
mutant quiet-boxes-waited-for peer/call.go 's/if got-before < progress/if got-before < 0/' peer 'TestABoxThatSendsNothing'
mutant whole-states-from-all spread/follow.go 's/select \{\n\t\tcase s.ahead <- newer\{box, a.Index\}:\n\t\tdefault: .*\n\t\t\}/_ = s.ask(ctx, box)/' spread 'TestManyBoxes'

mutant confirmed-by-a-majority spread/inforce.go 's/majority && c.lacking == 0/majority/' spread 'TestAFileIsConfirmed'
mutant each-sending-waits-anew spread/inforce.go 's/return s.agreed.at/return time.Now()/' spread 'TestTheWaitForAMajority'
mutant overtaken-files-at-once box/lead.go 's/if result.Apply != state.Invalid/if result.Apply == state.Accepted/' box 'TestAnOvertakenFile'
mutant commands-read-late replica/propose.go 's/data, err := proto.Marshal\(c\)\n\treturn func\(\) \(\[\]byte, error\) \{ return data, nil \}, Error.Wrap\(err\)/return func() ([]byte, error) { return proto.Marshal(c) }, nil/' replica 'TestACommandIsRead'
exit $missed
