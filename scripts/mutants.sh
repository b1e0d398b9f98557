#!/usr/bin/env bash
# Mutation tests: disables one mechanism at a time in a scratch copy and runs the
# test that must fail then. Prints one line per mutant; exits non-zero if a test
# still passes, or if a mutant does not apply or build.
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
mutant vote-twice $step 's/free := n.vote == "" \|\| n.vote == m.From/free := true/' consensus 'Test(Votes|ConsensusUnderFailure)'
mutant vote-short-log $step 's/grant := free && n.upToDate\(m\) &&/grant := free \&\&/' consensus 'Test(Votes|ConsensusUnderFailure)'
mutant vote-while-bound $step 's/return n.role == Leader \|\| n.now-n.lastLeaderContact < n.opts.ElectionMin/return false/' consensus 'TestVotes'
mutant forget-start $core 's/n.lastLeaderContact = now \/\/ \(1.5\)/n.lastLeaderContact = now - time.Hour/' consensus 'TestVotes'
mutant commit-old-term $step 's/ \|\| n.log.term\(index\) != n.term//' consensus 'TestEntryOfAnOldTerm'
mutant no-joint $core 's/joint := &wire.Config\{Voters: slices.Clone\(voters\), Outgoing: slices.Clone\(n.Config\(\).Voters\)\}/joint := \&wire.Config{Voters: slices.Clone(voters)}/' consensus 'TestChangeNeedsBothMajorities'
mutant read-without-round $core 's/round: n.round \+ 1\}/round: 0}/' consensus 'TestReadWaits'
mutant lease-from-answer $step 's/n.leaseFrom, n.leaseHeld = n.roundSent\[best\], true/n.leaseFrom, n.leaseHeld = n.now, true/' consensus 'TestLeaseStarts'
mutant lease-after-transfer $core 's/ \|\| n.transferred \{\n\t\treturn 0, false/ {\n\t\treturn 0, false/' consensus 'TestTransfer'
mutant transfer-for-ever $core 's/late := n.transferred && n.now >= n.transferEnds/late := false/' consensus 'TestTransfer'
mutant old-incarnation $step 's/if m.To != n.opts.ID \{\n\t\treturn/if false {\n\t\treturn/' consensus 'TestLostDiskDoesNotVote'
mutant replaced-too-early $core 's/range append\(newer, committed\)/range []*wire.Config{n.Config()}/' consensus 'TestReplacedVoter'
mutant removed-leader $core 's/return index > n.commit && isVoter/return index > n.commit+1<<40 \&\& isVoter/' consensus 'TestRemovedVoter'
claim=claim/claim.go
mutant claim-no-take-over $claim 's/\tsl.pulling, sl.pulled, sl.pullStartedAt = to, map\[string\]bool\{\}, now/\tsl.ready = to/' claim 'TestAtMostOneCallPerKey|TestRolling'
mutant claim-pull-from-one $claim 's/len\(sl.pulled\) >= Majority\(len\(previous.Holders\(s\)\)\)/len(sl.pulled) >= 1/' claim 'TestAtMostOneCallPerKey'
mutant claim-one-grant $claim 's/func Majority\(n int\) int \{ return n\/2 \+ 1 \}/func Majority(n int) int { return (n + 1) \/ 2 - n\/3 }/' claim 'TestAtMostOneCallPerKey'
mutant claim-unsealed $claim 's/epochNumber\(t.Current\(\)\) <= epoch \|\| //' claim 'TestExportClaims'
mutant claim-unready-source $claim 's/ \|\| t.slots\[s\].ready < epoch \{/ {/' claim 'TestAtMostOneCallPerKey'
mutant claim-other-epoch $claim 's/c == nil \|\| c.Number != epoch/c == nil/' claim 'TestAtMostOneCallPerKey|TestAcquireVerdicts'
mutant claim-no-wait $claim 's/now-sl.pullStartedAt > TTL/now-sl.pullStartedAt >= 0/' claim 'TestLostSlot'
mutant claim-first-only $claim 's/case other.Attempt != attempt:/case other.Attempt != attempt \&\& other.Result != nil:/' claim 'TestAcquireVerdicts|TestAtMostOneCallPerKey'
proxy=proxy/proxy.go
mutant transport-resends $proxy 's/unrewindableBody\{bytes.NewReader\(nil\)\}/http.NoBody/' entry 'TestTransport'
mutant transport-key-header $proxy 's/req.Header\[strings.ToLower\(k\)\] = v/req.Header[k] = v/' entry 'TestTransport'
mutant not-run-after-sending $proxy 's/return nil, classify\(err, connected.Load\(\)\)/return nil, classify(err, false)/' entry 'TestEntry'
mutant late-answer $proxy 's/id != "" && id != a.ID/id != "" \&\& false/' entry 'TestEntry'
mutant truncated-stream proxy/copy.go 's/return ErrTruncated/return nil/' entry 'TestEntry'
mutant broken-stream-ends-cleanly entry/serve.go 's/panic\(http.ErrAbortHandler\)/return/' entry 'TestEntry'
mutant retry-what-may-not entry/serve.go 's/case !j.repeatable:/case false:/' entry 'TestEntry'
relay=stream/stream.go
mutant stream-partial-event $relay 's/\tr.partial = nil\n//' stream 'TestNoDuplicateOrMissing'
mutant stream-gap $relay 's/case id != r.position\+1 && r.resumed:/case false:/' stream 'TestRelay'
mutant stream-twice $relay 's/case id <= r.position && r.resumed:/case false:/; s/case id != r.position\+1 && r.resumed:/case false:/' stream 'TestNoDuplicateOrMissing'
mutant stream-other-version entry/stream.go 's/ && response.Version == version//' entry 'TestEntry'
mutant stream-begins-anew entry/stream.go 's/if !b.ResumesStreams \{/if false {/' entry 'TestEntry'
mutant no-share-ejection route/backend.go 's/ && h.failureShare <= maxFailureShare//' route 'TestEjectsBackendFailing'
mutant return-at-full-limit route/backend.go 's/\tb.limit = 1\n//' route 'TestEjectsBackendFailing'
mutant eject-them-all route/choose.go 's/return 2\*ejected > len\(list\)/return false/' route 'TestEjectsBackendFailing'
mutant errors-look-well entry/serve.go 's/return response.BodyReader == nil/return false/' entry 'TestEntry'
mutant blame-for-poison entry/serve.go 's/case len\(j.suspects\) == 0:/default:/' entry 'TestEntry'
mutant last-attempt-tells entry/serve.go 's/next.why.Outcome == reason.NotRun \{/next.why.Outcome == "x" {/' entry 'TestEntry'
mutant patience-unbounded entry/latency.go 's/\t\tmethod = ""\n//' entry 'TestCallKinds'
mutant no-patience entry/latency.go 's/canGiveUp := timeout > 0/canGiveUp := false/' entry 'TestEntry'
mutant late-first-event entry/serve.go 's/ && !j.firstEventLate//' entry 'TestEntry'
mutant silent-stream entry/stream.go 's/\tif b.ResumesStreams \{\n\t\topts/\tif false {\n\t\topts/' entry 'TestEntry'
mutant late-first-admitted admit/admit.go 's/first.Before\(latest\)/false/' admit 'TestRefusesLateFirst'
mutant affinity-herds route/choose.go 's/ && home.load\(\) <= b.load\(\)\+t.AffinitySlack//' route 'TestSessionAffinity'
mutant no-priority admit/admit.go 's/return pa > pb/return pa < pb/' admit 'TestHigherPriority'
mutant no-fair-share admit/admit.go 's/return ca < cb/return ca > cb/' admit 'TestFairnessBetweenCallers'
mutant hold-until-deadline admit/admit.go 's/r.Deadline.Add\(-c.answerTimes\[r.Target.Name\].upperBound\(\)\)/r.Deadline/' admit 'TestWaitEnds'
mutant no-early-refusal admit/admit.go 's/\.After\(c.latestStart\(r\)\)/.After(r.Deadline.Add(time.Hour))/' admit 'TestRefusesUnattainable'
ledger=ledger/ledger.go
mutant ledger-no-room-check $ledger 's/used > usable \|\| o.Memory > usable-used/used > usable+o.Memory*9/' control 'TestMemory'
mutant ledger-forgets-unloading $ledger 's/(if p.Server == server && p.Accelerator == accelerator) \{/$1 \&\& r.Phase != wire.Phase_PHASE_UNLOADING {/' control 'TestMemory'
mutant ledger-forgets-loading $ledger 's/(if p.Server == server && p.Accelerator == accelerator) \{/$1 \&\& r.Phase != wire.Phase_PHASE_LOADING {/' control 'TestMemory'
mutant unload-closes-at-once control/orders.go 's/return o.Action == wire.OrderAction_ORDER_LOAD && out.Done/return true/' control 'TestClosesImmediately'
mutant break-before-make $ledger 's/func \(inv \*Inventory\) ReadyElsewhere\(loc Location\) bool \{/func (inv *Inventory) ReadyElsewhere(loc Location) bool {\n\tif loc.Server != "" {\n\t\treturn true\n\t}/' placement 'TestPlacement'
mutant no-hall-spread placement/needs.go 's/return newHallA\n/return newHallB\n/' placement 'TestPlacement'
mutant no-price placement/demand.go 's/minValue := p.fleet.MoveWeight/minValue := 0.0/' placement 'TestPlacement'
mutant no-repack placement/needs.go 's/ && p.repack\(n.model\)/ \&\& false/' placement 'TestPlacement|TestDecisions'
mutant repack-for-ever placement/repack.go 's/if p.relocationUnderWay\(m\) \{/if false {/' placement 'TestPlacement|TestDecisions'
mutant eviction-costs-nothing placement/demand.go 's/for _, c := range evicted \{\n(\t\t[^\n]*\n)*?\t\tp.dropCopy\(p.fleet.Models\[c.resident.Item.Model\], c\)\n\t\}\n/_ = evicted\n/' placement 'TestDecisions'
mutant evictions-disturb placement/demand.go 's/ \|\| p.touchesEvictions\(best\)//' placement 'TestEvictions'
mutant second-copy-before-first placement/needs.go 's/forFirst \|\| all > p.least\(m\)/all > p.least(m)/' placement 'TestDecisions'
mutant demand-stays-in-the-box spread/demand.go 's/\t\taddDemand\(sum, d.list\)\n//' e2e 'TestDemandReaches'
mutant no-quarantine state/state.go 's/next.Quarantined = !s.Fleet.Servers\[seen.Server\].Kind.ChecksFences/next.Quarantined = false/' control 'TestMemory'
mutant leaderless-serving spread/evidence.go 's/case s.majorityConfirms\(\):/case false:/' spread 'TestBoxesStayCurrent'
mutant callers-with-a-disk-only box/box.go 's/return b.callers.all\(\)/return b.callers.withDisk()/' e2e 'TestRestartedBoxServes'
mutant cut-off-serves-on spread/evidence.go 's/case s.majorityConfirms\(\):/case true:/' e2e 'TestIsolatedBox'
mutant starters-are-witnesses spread/spread.go 's/if p.witness \{/if true {/; s/if s.fresh \{\n\t\t\t\twitnesses/if true {\n\t\t\t\twitnesses/' spread 'TestCurrentBoxHas'
mutant news-from-before-the-start spread/follow.go 's/u.Fresh && at >= 0 &&/u.Fresh \&\&/' spread 'TestStateOfIsolatedBox'
mutant answered-orders-arrive-late control/counted.go 's/return err != nil && .*/return true/' box 'TestServersTerminatedByLoad'
mutant unanswered-orders-forgotten control/inflight.go 's/if mayArrive \{/if false {/' control 'TestOnlyUnanswered'
mutant any-parent-names-the-leader spread/follow.go 's/if complete && u.Fresh && at < 0 && !s.fresh \{/if !s.fresh {/' spread 'TestParentWithoutUpdates'
mutant lease-before-established replica/loop.go 's/held && s.Established/held/' replica 'TestLeaderHoldsNoLeaseBefore'
mutant leaving-ignored route/route.go 's/if b.draining.Load\(\) \|\| /if /; s/return !view.Servers\[p.Server\].GetLeaving\(\) && !d.terminated\[p.Server\]/return true/; s/s == nil \|\| s.Draining/s == nil/' e2e 'TestDrainingServer'
mutant second-file-wins state/file.go 's/if first := s.accepted\(a.Number\); first != nil \{/if first := s.accepted(a.Number); first != nil \&\& first.Digest == a.Digest {/' e2e 'TestRacing'
mutant no-stand-in membership/membership.go 's/if added == "" \{/if added != "x" {/' e2e 'TestSecondLoss'
mutant no-balancer-lag box/stop.go 's/time.Sleep\(time.Until\(times.refuse\)\)/time.Sleep(0)/' e2e 'TestRolling'
mutant stops-unanswered box/stop.go 's/\t\tb.shutdown.End\(\)\n//' box 'TestPlannedStopAnswers'
mutant stops-outlasted shutdown/shutdown.go 's/, r.AtMostOnce: /: /' box 'TestPlannedStopRefusesRequestsThat'
mutant late-bodies-sent gateway/gateway.go 's/\tcase g.stopped\(\):\n\t\tg.refuseUnsent\(w, r, t, reason.Stopping\)\n\t\treturn\n//' box 'TestPlannedStop.*BodyEndsLate'
mutant late-starters-serve-on box/stop.go 's/\t\tp.stopIfRefusing\(b\)\n/\t\t_ = p\n/' box 'TestPlannedStopDuringStart'
mutant own-queue-waits-past-a-stop entry/stop.go 's/\tdefer context.AfterFunc\(e.stopped, cancel\)\(\)\n//' entry 'TestStopRefusesQueued'
mutant own-stops-unanswered entry/serve.go 's/\tdefer e.opts.Shutdown.OnEnd\(cancel\)\(\)\n//' entry 'TestStopAnswers'
mutant refusal-closes-first peer/server.go 's/\t\ts.awaitClose\(y\)\n//' peer 'TestPeer'
mutant full-follower-ends replica/loop.go 's/if errors.Is\(err, wal.ErrDiskFull\) \{\n\t\t\treturn r.withdraw\(err\)/if false {\n\t\t\treturn r.withdraw(err)/' e2e 'TestFollowerWithFullDisk'
mutant any-certificate-name peer/peer.go 's/case certified != "" && certified != h.Self.Box:/case false:/' e2e 'TestDaemonsOverTLS'
mutant certificates-kept certs/certs.go 's/s.current.Store\(l\)\n\tevent/_ = l\n\tevent/' peer 'TestPeer'
mutant unsafe-sent-twice gateway/retry.go 's/case !j.route.Repeatable\(\), j.possibleRuns >=/case j.possibleRuns >=/' gateway 'TestNonRepeatable'
mutant any-answer-is-mine gateway/exchange.go 's/id == "" \|\| id == o.id \{/id == "" || id != "" {/' gateway 'TestSurplus|TestInvalidResponses'
mutant no-stamp-needed gateway/retry.go 's/a.Header.Get\(d.Stamp\) == "" &&/false \&\&/' gateway 'TestInvalidResponses'
mutant stream-part-of-event gateway/events.go 's/func \(e \*events\) dropPartial\(\) \{ e.partial = nil \}/func (e *events) dropPartial() {}/' gateway 'TestStreamResumes|TestOnlyEventsAfter'
mutant stream-event-twice gateway/events.go 's/e.any && id <= e.last/false/' gateway 'TestStreamResumes|TestOnlyEventsAfter'
mutant waits-past-a-stop gateway/find.go 's/\tcase <-j.g.stopping:\n\t\treturn reason.Stopping\n//' gateway 'TestStopRefuses'
mutant leaving-can-return state/announce.go 's/a.Leaving \|\| old.GetLeaving\(\)/a.Leaving/' state 'TestDrainingIsPermanent'
mutant open-order-forgotten state/announce.go 's/ && !s.hasOrders\(a.Id\) \{/ {/' state 'TestOpenOrderKeepsResidents'
mutant adapters-beyond-slots ledger/ledger.go 's/used >= s.Kind.AdapterSlots/used > s.Kind.AdapterSlots+9/' state 'TestAdapterSlots'
mutant lone-lease-ends replica/loop.go 's/len\(r.core.Peers\(\)\) == 0/false/' replica 'TestLeaderWithoutPeers'
mutant hangup-ends daemon/daemon.go 's/\tsignal.Notify\(s.reload, syscall.SIGHUP\)\n//' e2e 'TestAllKilled'
mutant found-by-state-only settings/settings.go 's/if !s.Seeded \|\| err/if true || err/' e2e 'TestAllKilled'
mutant report-not-compared control/counted.go 's/case x.hasUnexpectedResidents\(r\):/case false \&\& x.hasUnexpectedResidents(r):/' box 'TestOrderFromPrevious'
mutant lines-hold-up logline/logline.go 's/\tdefault:\n\t\tw.dropped.Add\(1\)\n\t\tw.total.Add\(1\)\n//' logline 'TestFullPipe'
mutant down-never-probed gateway/choose.go 's/ && !s.probe\(now\)//' gateway 'TestDownServer'
mutant one-box-suffices control/unreachable.go 's/ \|\| len\(d.reports\) < needed//' control 'TestReportOfOneBox'
mutant crash-agreed-often control/unreachable.go 's/\td.acted = true\n//' control 'TestSuspicionIs'
mutant orders-at-once control/pause.go 's/now.Sub\(o.seen\) < c.opts.OrderPause/now.Sub(o.seen) < 0/' control 'TestServersRecently|TestRestartedBox'
mutant open-order-not-held control/pause.go 's/if c.inherited\(o\) \{/if false {/' control 'TestServersRecently'
mutant impatient-leader control/idle.go 's/demandKnown := in.LeaderFor >= in.DemandSettleTime/demandKnown := true/' control 'TestModelsWithoutCopy'
mutant room-before-demand placement/needs.go 's/ \|\| p.in.Deferred\[n.model.Name\] \{ \/\/ \(11, 13\)/ {/' placement 'TestPlacement'
mutant rare-models-first placement/needs.go 's/\t\tp.moveAbove\(p.in.Demand\[r.need.model.Name\].Requests\)\n//' placement 'TestPlacement'
mutant last-copy-stays ledger/ledger.go 's/ && !inv.IsCached\(o.Server, o.Item.GetModel\(\)\)//' state 'TestLastCopy'
mutant last-copy-goes ledger/ledger.go 's/slices.Contains\(b.Servers\[server\].GetAtHand\(\), model\)/true || slices.Contains([]string{}, model)/' state 'TestLastCopy'
mutant move-too-late placement/demand.go 's/max\(0, p.fleet.DemandLasts.Seconds\(\)-coming\)/p.fleet.DemandLasts.Seconds()/' placement 'TestPlacement'
mutant nothing-fetched gateway/cached.go 's/w.fetchRate > 0 && missing >= minFetch/false && missing > 0/' gateway 'TestCachedPrefixes'
mutant slow-not-avoided gateway/choose.go 's/ \+ s.stallCost\(now, c.work\)//' gateway 'TestServersThatStall'
mutant last-order-forgotten state/announce.go 's/, Ordered: s.Servers\[a.Id\].GetOrdered\(\)//' state 'TestLastOrderIndex'
mutant takeovers-are-not-completed wal/wal.go 's/s.pendingBase = &wire.Base\{Index: index, Term: term\}//' wal 'TestWAL|TestAcknowledged'
mutant replaced-segments-are-read wal/wal.go 's/s.loaded.Entries, s.loaded.CommittedIndex = nil, b.Base.Index//' wal 'TestWAL|TestAcknowledged'
mutant truncations-are-not-synced wal/wal.go 's/if err := f.Sync\(\); err != nil \{ \/\/ \(3\)/if false {/' wal TestEveryPairOfStops
mutant files-are-not-synced wal/frame.go 's/if err := f.Sync\(\); err != nil \{/if false {/' wal TestEveryPairOfStops
mutant renames-are-not-synced wal/frame.go 's/return s.syncFolder\(\)/return nil/' wal TestEveryPairOfStops
mutant gaps-are-dropped wal/wal.go 's/s.connectGap\(first\)//' wal TestWAL
mutant torn-is-damage wal/frame.go 's/if !containsFrame\(remaining\)/if false/' wal 'Test'
mutant damage-is-torn wal/frame.go 's/if !containsFrame\(remaining\)/if true/' wal 'Test'
mutant stop-behind-hangup daemon/daemon.go 's/signal.Notify\(s.reload, syscall.SIGHUP\)/signal.Notify(s.stop, syscall.SIGHUP)/' daemon 'TestHangupReloads'
mutant tables-unasked route/route.go 's/\td.stale.Store\(true\)\n/\td.build()\n/' route 'TestTableBuiltOnDemand'
mutant stale-holds-up spread/spread.go 's/if fresh && isStale\(age, len\(path\)\) \|\| slices.Contains\(path, from.GetBox\(\)\) \{/if false && fresh && age > 0 {/' spread 'TestAnswerIsImmediate'
mutant leader-out-of-turn spread/chooser.go 's/if c.attempts%leaderInterval == leaderInterval-1 &&/if false \&\&/' spread 'TestLeaderIsTried'
mutant parent-by-place spread/chooser.go 's/if c.parent != "" && slices.Contains\(candidates, c.parent\) &&/if false \&\&/' spread 'TestSuccessfulParent'
mutant no-patience-below spread/chooser.go 's/staleBase\+stalePerHop\*time.Duration\(max\(0, hops-1\)\)/staleBase/' spread 'TestStaleLimit'
mutant call-waits-for-dial peer/link.go 's/\t\tcase <-ctx.Done\(\):\n\t\t\treturn nil, Error.Wrap\(ctx.Err\(\)\)\n//' peer 'TestCallDoesNotWait'
mutant given-up-ends-all peer/call.go 's/\tif s.unresponsive\(\) \{\n\t\tl.drop\(s\)\n\t\}\n/\tl.drop(s)\n/' peer 'TestCanceledCall'
mutant silent-session-stays peer/link.go 's/return since != 0 && /return false \&\& /' peer 'TestUnresponsiveSession'
mutant any-word-replaces state/announce.go 's/\(old == nil \|\| a.TakeResidents\) && //' state 'TestAnnouncementWithoutTakeResidents'
mutant updates-too-large replica/follow.go 's/maxUpdateBytes = 64 << 10/maxUpdateBytes = 1 << 20/' replica 'TestUpdatesFit'
mutant pulls-at-full-pace keyed/backoff.go 's/firstPullInterval<<min\(backoff.attempts, 20\)/firstPullInterval/' keyed 'TestBacksOffFromHolders'
mutant waits-in-vain gateway/patience.go 's/, remaining <= 0/, false/' gateway 'TestRequestsForUnavailable'
mutant gives-up-what-comes gateway/patience.go 's/if at, loading := j.readyAt\(\); loading && at.Before/if at, loading := j.readyAt(); loading \&\& !at.IsZero() \&\& false \&\& at.Before/' gateway 'TestRequestsForUnavailable'
mutant waits-for-who-left gateway/choose.go 's/return !draining && !s.isReplaced/return (draining || !draining) \&\& !s.isReplaced/' gateway 'TestDrainedServers'
mutant open-means-up gateway/server.go 's/if s.pool.any\(\) && s.pool.readSince\(now.Add\(-contactTimeout\)\) \{/if s.pool.hasOpen() {/' gateway 'TestUnresponsiveServerIsDown'
mutant reads-outlive-sessions peer/pending_reads.go 's/\t\tc.reads.stop\(\)\n//g' peer 'TestReadsStop'
mutant answered-before-shown replica/loop.go 's/\tr.applied = append\(r.applied, answeredProposal\{p, outcome\{result: result\}\}\)/\tp.answer <- outcome{result: result}/' replica 'TestViewIncludesCommand'
mutant silence-ends-all gateway/retry.go 's/if last \{\n\t\t\treturn !j.responseStarted.Load\(\)\n\t\t\}/if last \&\& j.responseStarted.Load() \&\& false {\n\t\t\treturn false\n\t\t}/' gateway 'TestSilenceDoesNotAbort'
mutant never-news-holds-not spread/spread.go 's/if fresh && isStale\(age, len\(path\)\)/if !fresh || isStale(age, len(path))/' spread 'TestBoxThatNever'
mutant new-leader-unheard spread/chooser.go 's/c.leader, c.attempts = leader, 0/c.leader = leader/' spread 'TestNewLeaderRestarts'
mutant callers-speak-for-the-system gateway/job.go 's/\td.DropReserved\(h\)\n//' gateway 'TestReservedHeaders'
mutant reserved-forgotten platform/platform.go 's/\t"Kv-From",.*\n//' platform 'TestReservedHeaders'
mutant deadline-taken-off entry/serve.go 's/\tproxy.CopyEndToEndHeaders\(h, from\)\n\th.Set\(HeaderDeadline, (.*)\)\n/\th.Set(HeaderDeadline, $1)\n\tproxy.CopyEndToEndHeaders(h, from)\n/' entry 'TestConnectionHeader'
mutant one-rate-for-all gateway/prefill.go 's/r.byModel\[model\] = min/r.byModel[""] = min/' gateway 'TestPrefillRateIs'
mutant waits-count-as-reading gateway/prefill.go 's/prefillQuantile = 0.15/prefillQuantile = 0.9/' gateway 'TestPrefillRateIs'
mutant overload-is-flat placement/load.go 's/if l.prefill > knee \{/if l.prefill > 99 {/' placement 'TestMoreRequests'
mutant places-do-not-count placement/load.go 's/max\(l.lateByPlaces\(\), l.lateByReading\(\)\)/l.lateByReading()/' placement 'TestPrefillAndSlots'
mutant words-of-any-term consensus/position.go 's/w.Term == term && w.LastTerm == term/w.LastTerm <= term/' consensus 'TestPositionsOf'
mutant words-of-a-minority consensus/position.go 's/ends\[len\(ends\)-quorum\]/ends[len(ends)-1]/' consensus 'TestConsensusUnderFailure|TestFiveVoters'
mutant words-that-came-late consensus/consensus.go 's/if n.term != term \|\| n.log.lastTerm\(\) != term \|\| index/if index/' consensus 'TestMarkCommitted'
mutant newer-file-ignored spread/start.go 's/return consensus.HaveMajority\(logPositions\(positions\)\) && .*/return consensus.HaveMajority(logPositions(positions))/' spread 'TestBoxesAreCurrentByVoterPositions'
mutant one-voter-suffices consensus/position.go 's/len\(positions\) > len\(positions\[0\].Voters\)\/2/true/' spread 'TestBoxesAreCurrentByVoterPositions'
mutant room-blocks-all placement/demand.go 's/if freeOnly \{\n\t\t\t\tcontinue/if false {\n\t\t\t\tcontinue/' placement 'TestPlacement|TestDecisions'
mutant need-does-not-wait placement/needs.go 's/if p.worthWaiting\(n, best\)/if false \&\& p.worthWaiting(n, best)/' placement 'TestPlacement'
mutant clearing-takes-no-time placement/demand.go 's/return busyEvictionTime/return 0/' placement 'TestBusyCopies'
mutant rare-copies-stay placement/needs.go 's/p.in.Idle\[name\] \|\| p.longTermRate\(m\) < rareRate/p.in.Idle[name]/' placement 'TestPlacement'
mutant absent-by-average placement/demand.go 's/now >= rareRate/now < 0/' placement 'TestPlacement'
mutant absent-costs-nothing placement/demand.go 's/rate := max\(absentLeast, p.steady\(m\)\)/rate := p.steady(m)/' placement 'TestPlacement'
mutant needs-take-the-room placement/needs.go 's/have < p.minCopies\(m\) && !p.returnsOnDemand\(m\)/have < p.minCopies(m)/' placement 'TestPlacement'
mutant room-made-twice placement/needs.go 's/\tp.makingRoomFor\[roomFor\] = true\n//' placement 'TestPlacement'
mutant words-kept-to-itself box/platform.go 's/others = append\(others, name\)/_ = others/' box 'TestObserverWithout'
mutant ignorance-is-silence control/announce.go 's/return silence, silence > neverSeenUnresponsiveAfter/return silence, silence > unresponsiveAfter/' control 'TestNewLeader'
mutant silence-without-another gateway/retry.go 's/if refusal != nil \|\| j.g.stopped\(\) \|\| !j.g.dir.anyUp\(others\)/if refusal != nil || len(others) < 0/' gateway 'TestSilenceAbortNeedsAnotherServer'
mutant watch-ends-anyway gateway/watch.go 's/ \|\| !w.mayAbort\(\):/:/' gateway 'TestWatchWaits'
mutant inherited-waits control/counted.go 's/case x.unconfirmed && x.matchesOrder\(r\):/case x.unconfirmed \&\& x.matchesOrder(r) \&\& x.c.leadingFor() >= x.c.opts.OrderPause:/' control 'TestInheritedOrder'
mutant inherited-closed-at-once control/counted.go 's/case x.inherited && x.c.leadingFor\(\) < x.c.opts.OrderPause:/case false:/' control 'TestInheritedOrder'
mutant down-servers-load placement/placement.go 's/ORDER_LOAD && !acc.unusable/ORDER_LOAD/' placement 'TestPlacement'
mutant late-words-bring-back control/announce.go 's/case contested && !h.reportsPersist\(time.Now\(\)\):/case false:/' control 'TestDelayedAnnouncements'
mutant cut-off-waited-for box/stop.go 's/\t\ts.Close\(\)\n//' box 'TestShutdownTimeout'
mutant waits-for-what-is-not-ordered gateway/patience.go 's/min\(decisionTime, time.Duration\(waitShare\*float64\(patience\)\)\)/time.Duration(waitShare*float64(patience))/' gateway 'TestRequestsForUnavailable'
mutant room-is-not-coming gateway/directory.go 's/\td.recordEvictions\(t, view, now\)\n//' gateway 'TestModelsWithEvictions'
mutant learns-what-callers-invent gateway/job.go 's/return f != nil && f.Models\[j.prompt.Model\] != nil/return f != nil \&\& j.prompt.Model != ""/' gateway 'TestUnknownModelsAreNotLearned'
mutant steady-never-forgets control/rates.go 's/if rate < minTrackedRate/if rate < 0/' control 'TestLongTermRates'
mutant files-go-whole replica/propose.go 's/state.PackFile\(a, base\)/a/; s/base := r.master/base := r.master\n\t_ = base/' spread 'TestLargeFileIsApplied'
mutant files-by-themselves replica/propose.go 's/base := r.master\n/var base *state.State\n/' replica 'TestLogHoldsOnlyChangesOfAFile'
mutant base-that-is-not-in-force replica/propose.go 's/if r.newestLoggedFile > r.master.Index/if false/' replica 'TestConsecutiveFiles'
mutant base-not-compared state/file.go 's/if a.Base != 0 && a.Base != s.Version.GetIndex\(\)/if false/' state 'TestFilePackedAgainst'
mutant answers-given-up spread/follow.go 's/WithTimeout\(ctx, maxRequestTime\)/WithTimeout(ctx, requestTimeout)/' spread 'TestFileSlowerThan'
mutant quiet-boxes-waited-for peer/call.go 's/if received-before < minProgress/if received-before < 0/' peer 'TestFetchAbandons'
mutant whole-states-from-all spread/follow.go 's/select \{\n\t\tcase s.ahead <- aheadBox\{box, a.Index\}:\n\t\tdefault: .*\n\t\t\}/_ = s.requestUpdates(ctx, box)/' spread 'TestStartingBoxesGet'

mutant confirmed-by-a-majority spread/inforce.go 's/majority && c.missing == 0/majority/' spread 'TestAckWaits'
mutant each-sending-waits-anew spread/inforce.go 's/return s.committed.at/return time.Now()/' spread 'TestMajorityTimeout'
mutant overtaken-files-at-once box/lead.go 's/if result.Apply != state.Invalid/if result.Apply == state.Accepted/' box 'TestSupersededFile'
mutant commands-read-late replica/propose.go 's/data, err := proto.Marshal\(c\)\n\treturn func\(\) \(\[\]byte, error\) \{ return data, nil \}, Error.Wrap\(err\)/return func() ([]byte, error) { return proto.Marshal(c) }, nil/' replica 'TestCommandIsMarshaled'

mutant all-guard-keys state/members.go 's/const maxClaimReplicas = 24/const maxClaimReplicas = 1000/' state 'TestJoinsRarelyChange'
mutant guards-by-name state/members.go 's/for _, p := range last.GetProcesses\(\) \{/for _, p := range last.GetProcesses()[:0] {/' state 'TestJoinsKeepClaimReplicas'
mutant places-of-others spread/report.go 's/ && p.Since <= index//' spread 'TestReportKeeps'
mutant places-ahead spread/report.go 's/if index > view.Index/if false/' spread 'TestReportFromAhead'
mutant starters-look-at-all spread/probe.go 's/\(m.Disk \|\| !startingUp\) && //' spread 'TestStartingBoxesProbe'
mutant looks-unbounded spread/start.go 's/return max\(probeInterval, probePerBox.*\n/return probeInterval\n/' spread 'TestProbeRate'
mutant probes-all-at-once spread/probe.go 's/maxProbes = 15/maxProbes = 400/' spread 'TestSilentBoxes'
mutant probes-wait-for-silent spread/probe.go 's/return min\(left, max\(minProbeTimeout.*\n/return left\n/' spread 'TestSilentBoxes'
mutant states-packed-each-time replica/follow.go 's/if w := r.lastPacked; w.packed != nil &&/if w := r.lastPacked; false \&\&/' replica 'TestStateIsPackedOnce'
mutant old-states replica/follow.go 's/ && w.index >= oldest && w.index\+maxPackedLag >= view.Index//' replica 'TestOldPackedState'
mutant heads-behind-the-end gateway/watch.go 's/if w.unresponsive \{\n\t\treturn false\n\t\}\n\thead/if false {\n\t\treturn false\n\t}\n\thead/' gateway 'TestAbortedExchange'
mutant unread-is-silence gateway/watch.go 's/w.conn.hasUnread\(\) \|\| //' gateway 'TestUnreadBytes'
mutant silence-without-budget gateway/retry.go 's/if !j.g.budgets.takeRetry\(j.poolName\) \{\n\t\t\treturn false/if false {\n\t\t\treturn false/' gateway 'TestSilenceAbortNeedsRetryBudget'
mutant sessions-for-ever peer/idle.go 's/ \|\| s.used.Swap\(false\)/ || true/' peer 'TestIdleSessions'
mutant sessions-closed-in-use peer/idle.go 's/if s.NumStreams\(\) > 0 \{\n\t\t\tinUse/if false {\n\t\t\tinUse/' peer 'TestIdleSessions'
mutant resting-members-tick replica/loop.go 's/if r.core.NeedsTicks\(\)/if true/' replica 'TestNonVoterTicks'
mutant spares-of-before placement/needs.go 's/p.round\+\+\n\tclear\(p.found\)\n\tp.dropCopy/clear(p.found); p.dropCopy/' placement 'TestCachesChange'
mutant copies-of-before placement/needs.go 's/p.invalidateAt\(m, a\)\n/_ = a\n/' placement 'TestCachesChange'
mutant one-place-weighed placement/demand.go 's/c.weighed\[0\] == a \|\| c.weighed\[1\] == a/c.acc == a/' placement 'TestCachesChange'
mutant crashers-not-held gateway/crashers.go 's/blocked := func\(s \*server\) bool \{ return watch/blocked := func(s *server) bool { return false \&\& watch/' box 'TestCrashingRequest'
mutant crashers-sent-on gateway/retry.go 's/case j.brokenAttempts > 0 && j.likelyCrasher/case false \&\& j.likelyCrasher/' gateway 'TestRequestOneSignShort'
mutant crashers-of-entry entry/serve.go 's/if e.blocked\(j\)/if false/' entry 'TestCrasherIsBlocked'
mutant breaks-are-ends gateway/crashers.go 's/case err == nil:\n\t\treturn crasher.Running/case err == nil:\n\t\treturn crasher.Terminated/' gateway 'TestOnlyServerTerminations'
mutant leaving-counts gateway/crashers.go 's/draining \|\| f.outcome/false \&\& draining || f.outcome/' gateway 'TestOnlyServerTerminations'
mutant losses-at-once-count crasher/registry.go 's/return evidence.SentMs >= old.EndedMs/return true/' crasher 'TestBlockingRules|TestBlockingSimulation'
mutant two-signs-hold crasher/registry.go 's/blockWeight  = 5/blockWeight  = 3/' crasher 'TestBlockingRules'
mutant answered-counts crasher/registry.go 's/old.GetServed\(\) \|\| //' crasher 'TestBlockingRules|TestBlockingSimulation'
mutant parts-not-held gateway/crashers.go 's/if watch.BlocksAny/if false \&\& watch.BlocksAny/' box 'TestCrashingPromptPartBlocked'
mutant parts-not-cleared crasher/parts.go 's/next.Weight, next.Servers, next.Terminations, next.Holds = 0, nil, nil, 0/_ = before/' crasher 'TestPromptPartRules'
mutant parts-not-explained crasher/registry.go 's/reg.releaseExplained\(at\)/_ = at/' crasher 'TestPromptPartRules|TestRequestsBesideCrashingPart|TestPromptPartSimulation'
mutant parts-answered-before crasher/parts.go 's/servedBlockWeight = 10/servedBlockWeight = 5/' crasher 'TestPromptPartSimulation|TestPromptPartRules'
mutant parts-below-level crasher/registry.go 's/if at.PromptParts \{/if true {/' crasher 'TestPartsAreNoSuspectsBelow'
mutant own-evidence crasher/watcher.go 's/return !s.GetServed\(\) && !hasRuling\(s\) && w.own/return false \&\& w.own/' gateway 'TestOwnEvidence'
mutant runs-refute-nothing crasher/running.go 's/return runsMs > ranMs/return false \&\& runsMs > ranMs/' crasher 'TestRunsAtOtherBoxesRefuteEvidence|TestRunsRefuteOnlyShorterOnes'
mutant runs-refute-all crasher/running.go 's/return runsMs > ranMs.*/return runsMs > 0/' crasher 'TestRunsRefuteOnlyShorterOnes'
mutant reported-runs-last crasher/running.go 's/if at.UnixMs-s.GetRunsUnixMs.*\{/if false {/' crasher 'TestRunsRefuteOnlyShorterOnes'
mutant runs-not-checked-again crasher/running.go 's/; isRefuted\(ranMs, ms\(runFor\)\) && /; false \&\& isRefuted(ranMs, ms(runFor)) \&\& /' crasher 'TestRunsAtOtherBoxesRefuteEvidence|TestRunsAreReportedOnce'
mutant runs-reported-again crasher/running.go 's/if _, ok := l.reportedAt\[suspect\]; ok/if false/' crasher TestRunsAreReportedOnce
mutant runs-of-requests-ignored crasher/exposure.go 's/r.suspects = append\(r.suspects, Key\{request, s.Version\}\)/_ = request/' crasher TestRunsRefuteEvidenceAgainstRequests
mutant runs-of-any-version crasher/exposure.go 's/Key\{request, s.Version\}/Key{request, "v1"}/' crasher TestRunsRefuteEvidenceAgainstRequests

mutant accept-all intake/gate.go 's/return RefusedForLink/return Accepted/' box 'TestFloodedBox'
mutant accept-while-late intake/gate.go 's/return RefusedForProcessor/return Accepted/' intake 'TestConnectionsRefusedForProcessor'
mutant read-not-redirected box/readback.go 's/<= maxSendTime/<= 1000*maxSendTime/' box 'TestLargeConfigurationReadOverSlowLinks'
mutant read-old-copy box/readback.go 's/view.Version.GetIndex\(\) >= index/true/' box 'TestReadWaitsForTheNewestFile'
mutant sole-voter-lease replica/replica.go 's/s.LeaseHeld && s.Alone/false/' replica 'TestOnlyVoterLeads'
mutant versions-alike crasher/registry.go 's/return blockWeight - weakWeight\n\t\t\}/return 0\n\t\t}/' crasher 'TestNewVersionBlocked'
mutant held-make-room crasher/registry.go 's/func\(s \*wire.Suspect\) bool \{ return !s.Held \}/func(*wire.Suspect) bool { return true }/; s/cmp.Compare\(a.Weight, b.Weight\), //' crasher 'TestRegistryIsBounded'
mutant held-forgotten state/snapshot.go 's/w.Suspects, w.Level = s.Crashers.Encode\(\), uint32/w.Level = uint32/' box 'TestCrashingRequest|TestHeld'
mutant lives-alike platform/heartbeat.go 's/if bornMs == 0 \{/if true {/' platform 'TestServerIncarnations'
mutant lives-alike-served platform/heartbeat.go 's/if bornMs == 0 \{/if true {/' box 'TestServersRestarted'
mutant late-lives state/announce.go 's/if s.HasNewerIncarnation\(a\) \{/if false {/' state 'TestNewIncarnationReplacesPrevious'
mutant heirs-ordered control/pause.go 's/\tc.holdNextIncarnations\(view, now, held\)\n//' control 'TestNextIncarnation'
mutant strange-states platform/heartbeat.go 's/case state != stateReady && state != stateDraining:/case false:/' platform 'TestMalformedHeartbeats'
mutant loads-not-held control/decide.go 's/loadBlocked\(view, d.Order\) \|\| //' box 'TestCrashingModel'
mutant lease-asleep replica/replica.go 's/func \(r \*Replica\) Now\(\) time.Duration \{ return r.opts.Clock\(\) \}/var began = time.Now()\n\nfunc (r *Replica) Now() time.Duration { return time.Since(began) }/' replica 'TestLeaseExpiresDuring'
mutant last-leader-for-good consensus/step.go 's/\tn.leader = "" +\/\/ \(1.8\)\n//' replica 'TestMemberForgets'
mutant last-leader-shown replica/loop.go 's/ \|\| r.core.Leader\(\) != r.Status\(\).Leader//' replica 'TestMemberForgets'
mutant boxes-by-the-leaders-clock crasher/registry.go 's/case box != "" && box == old.Box:/case false:/' crasher 'TestBlockingRules'
mutant any-key-opens workspace/workspace.go 's/return w, w != nil \|\| public/return w, true/' gateway 'TestRouteRequiresAKey|TestRevokedKey'
mutant two-keys-open workspace/workspace.go 's/if len\(keys\) == 1 \{/if len(keys) > 0 {/' workspace 'TestKeyAuthorizes'
mutant key-passed-on gateway/job.go 's/\t\th.Del\(d.Key\)\n//' gateway 'TestServerReceives'
mutant callers-word-of-workspace dialect/dialect.go 's/d.Fetch, d.Workspace\}/d.Fetch}/' gateway 'TestPublicRoute'
mutant keys-shown fleet/redact.go 's/pairs = append\(pairs, key, d.Encode\(\)\)/_ = d/' fleet 'TestRedactedFile'
mutant key-in-fault workspace/key.go 's/key has %d bytes, want %d to %d", len\(text\)/key %s has %d bytes, want %d to %d", text, len(text)/' fleet 'TestInvalidWorkspaceFaults'
mutant leases-for-good rate/limiter.go 's/now < x.expiresAt/true/g' rate 'TestLeaseExpires|TestQuotaHolds|TestServerLimitHolds'
mutant part-is-whole rate/lessor.go 's/return min\(1, float64\(len\(l.requesters\)\).*\n/return 1\n/' rate 'TestQuotaHolds|TestServerLimitHolds'
mutant unused-twice rate/leasing.go 's/\t\t\tr.unused = 0\n\t\t\}\n\t\}\n\treturn l.epoch/\t\t}\n\t}\n\treturn l.epoch/' rate 'TestQuotaHolds|TestServerLimitHolds'
mutant full-at-first rate/allocator.go 's/initialFillSeconds = 0.05/initialFillSeconds = 2.0/; s/min\(initialFillSeconds\*l.PerSecond, l.capacity\(\)\)/initialFillSeconds*l.PerSecond/; s/b.tokens = min\(b.tokens, l.capacity\(\)\)\n\}/}/' rate 'TestQuotaHolds|TestServerLimitHolds'
mutant spent-for-good rate/limiter.go 's/r.leases = append\(r.leases, lease\{c.weight/_ = append(r.leases, lease{c.weight/' rate 'TestUnspentTokens'
mutant quota-passed-over gateway/job.go 's/\tcharge, refusal := j.chargeQuota\(ctx\)\n/\tcharge, refusal := rate.Charge{}, (*reason.Reason)(nil)\n/' gateway 'TestRequestsOverQuota|TestRequestBeyond'
mutant events-not-asked-again gateway/relay.go 's/\t+j.stream = events\{\}[^\n]*\n//' gateway 'TestEventsNotForwarded'
mutant limits-not-heeded throttle/throttle.go 's/\tif limit == 0 \{\n\t\treturn rate.Charge/\tif limit >= 0 {\n\t\treturn rate.Charge/' throttle 'TestExhaustedLimit'
mutant limits-of-entry-not-heeded entry/pushback.go 's/permit, block := e.opts.Pushback.Acquire\(ctx, b.Name, j.admission.Rank\)/permit, block := pushback.Permit{}, (*pushback.Block)(nil)/' entry 'TestCallsBeyond'
mutant limits-of-gateway-not-heeded gateway/pushback.go 's/return block == nil/_ = block\n\treturn true/' box 'TestExcessRequests'
mutant limits-not-told throttle/throttle.go 's/\t\tt.opts.ReportLimit\(server, limit\)\n//' throttle 'TestNewerReport'
mutant limits-for-good throttle/throttle.go 's/!reported \&\& \(!r.FromServer \|\| !t.hasLimit\(server\)\)/!reported/' throttle 'TestNewerReport'
mutant limits-outlive-servers state/state.go 's/\tdelete\(s.Limits, name\)\n//' control 'TestServerLimits'
mutant limits-below-their-level control/limits.go 's/view.Level < level.ServerLimits/view.Level < level.First/' control 'TestServerLimits'
mutant limits-agreed-each-time control/limits.go 's/now.Sub\(c.limitChangedAt\[l.Server\]\) < minLimitInterval/false/' control 'TestServerLimits'
mutant limits-refused-late entry/pushback.go 's/return nil, e.blockReason\(j\)/return nil, why/' entry 'TestCallsBeyond'
mutant ranks-alike rate/ranks.go 's/return reserve\n/return 0\n/' rate 'TestUrgentRanks'
mutant ranks-starve rate/ranks.go 's/maxSkipped = 4/maxSkipped = 100000/' rate 'TestNoRankStarves'
mutant parts-saved-up rate/leasing.go 's/\tif l.isolated && !isolated \{/\tif false {/; s/now-l.ownUsedAt > ownShareTTL/false/' rate 'TestRepeatedIsolation'
mutant parts-are-whole rate/allocator.go 's/\tl.PerSecond \*= share\n//' rate 'TestServerLimitHolds'
mutant levels-one-by-one control/levels.go 's/\tfor ctx.Err\(\) == nil \{\n\t\tview/\tfor range 1 {\n\t\tview/' control 'TestFirstFile'
mutant limited-servers-take-all placement/limits.go 's/shares\[i\] = min\(equal, limitPerCopy\(c.acc\)\/demand\)/shares[i] = equal/' placement 'TestModelsOfLimited|TestPlacement'
mutant limited-copies-are-spare placement/needs.go 's/n <= 1 \|\| p.onlyUnlimitedCopy\(m, c\)/n <= 1/' placement 'TestCopiesForLimited'
mutant limits-not-placed placement/load.go 's/max\(l.lateBySlots\(\), l.lateByPrefill\(\), l.refusedByLimit\(\)\)/max(l.lateBySlots(), l.lateByPrefill())/' placement 'TestModelsOfLimited'
mutant unknown-passed-over state/state.go 's/return Result\{UnknownLevel: Error.New\("entry %d is a command[^\n]*/return Result{}/' state 'TestUnsupportedLevelOrCommand'
mutant read-above-its-level state/file.go 's/fleet.DecodeAt\(s.Level, /fleet.DecodeAt(1, /' state 'TestFileIsDecoded'
mutant level-not-kept state/snapshot.go 's/, w.Level = s.Crashers.Encode\(\), uint32\(s.Level\)/ = s.Crashers.Encode()/' state 'TestLevelNever'
mutant builds-below-welcome peer/peer.go 's/case level.Level\(h.Self.GetLevel\(\)\) < id.Level\(\), /case /' peer 'TestPeer'
mutant level-without-all control/levels.go 's/if level.Level\(m.Level\) < l \{/if level.Level(m.Level) < l \&\& false {/' control 'TestLevelRequires'
mutant rests-shortened pushback/pushback.go 's/if until <= rec.backoffUntil \{/if false {/' pushback 'TestLaterBackoffEnd'
mutant rests-not-kept pushback/pushback.go 's/if until <= rec.backoffUntil \{/if backoff > 0 {/' pushback 'TestLaterBackoffEnd'
mutant rests-asked-once gateway/exchange.go 's/if o.sendable != nil && !o.sendable\(\)/if false/' gateway 'TestBackoffDuringDial'
mutant rests-at-once pushback/pushback.go 's/at := rec.backoffUntil \+ rec.spread \+/at := rec.backoffUntil +/; s/\tif rec.probedAt > 0 \{/\tif false {/' pushback 'TestNoRequestPeak|TestGradualResume'
mutant rests-blamed entry/serve.go 's/failure != nil && !j.inBackoff && /failure != nil \&\& /' entry 'TestBackoffIsNotCounted'
mutant rests-of-orders platform/engine.go 's/engine.WithPushback\(engine.NewGuardedClient\(allowed\), pushback, &Dialect\)/engine.NewGuardedClient(allowed)/; s/engine.WithPushback\(reports, pushback, &Dialect\)/reports/' box 'TestServerInBackoffGetsNoOrders'
mutant drains-not-told box/drains.go 's/\tcase d.servers <- server:\n/\tcase d.servers <- "nobody":\n/' box 'TestDrainingServerGets'
mutant drains-not-kept box/drains.go 's/\td.components.gateway.RecordDraining\(server\)\n//' box 'TestDrainingHonored'
mutant orders-unsent-stay-open control/counted.go 's/errors.Is\(err, engine.ErrInBackoff\) && !x.unconfirmed/false/' control 'TestOrderNotSent'
mutant evacuated-asked gateway/find.go 's/!s.evacuated.Load\(\) && //' gateway 'TestNothingGoesToAnEvacuatedHall'
mutant evacuated-counted ledger/ledger.go 's/ && !inv.Evacuated\(s.Hall\) \{/ {/' state 'TestServersInEvacuatedHall'
mutant regions-crossed gateway/find.go 's/ && j.regions.allow\(s\)//' gateway 'TestRequestsStayInTheirRegions'
mutant warm-up-unseen throttle/throttle.go 's/lower\(t.reportedLimit\(server\), t.warmUpLimit\(server\)\)/t.reportedLimit(server)/' throttle 'TestWarmingServers'
mutant leaving-since-met gateway/directory.go 's/if _, known := d.drainingSince\[id\]; !known \{/if true {/' gateway 'TestDrainingTime'
mutant bodies-unbounded gateway/body.go 's/h.bodies.limit > 0 \{/false {/' gateway 'TestBodyMemoryIsBounded'
mutant last-copies-for-unasked placement/needs.go 's/mode&forRequested != 0 && //' placement 'TestResidentCopiesStay'
mutant at-hand-waits placement/demand.go 's/ \|\| !p.mayLoad\(\) && !p.isCached\(best.model, best.acc\)/ || !p.mayLoad()/' placement 'TestCachedModelsDoNotWait'
mutant room-for-all placement/needs.go 's/if loadsLeft <= 0 \{/if false {/' placement 'TestRequestedModels'
mutant shared-load-ignored gateway/shared.go 's/milliseconds\(others.Prefill\)/0/' gateway 'Test(ChoiceBySharedLoad|SharedChoiceComesCloseToAnOracle)'
mutant gap-cost-ignored gateway/shared.go 's/min\(l.running, maxLateStreams\)/0*l.running/' gateway TestChoiceBySharedLoad
mutant load-not-ended gateway/attemptload.go 's/l.source.End\(l.server.id\)\n//' gateway TestEachAttemptIsRecordedOnce
mutant speed-without-runs speed/speed.go 's/count >= runLength \{/count > 1000 {/' speed TestSlownessIsLearned
mutant speed-never-forgotten speed/speed.go 's/if idle <= 0 \{/if true {/' speed TestSlownessEndsWithoutSamples
mutant rows-outlive-senders loadshare/sums.go 's/\t\ts.set\(id, server, gauge\{\}\)\n/\t\t_ = server\n/' loadshare 'TestSumsEqual'
mutant cancelled-changes-unsent loadshare/sums.go 's/t.moved\[server\] \+= change.size\(\)/if t.moved[server] += change.prefillMS; t.moved[server] == 0 {\n\t\tdelete(t.moved, server)\n\t}/' loadshare 'TestChangesThatCancelOut'
mutant silent-senders-stay loadshare/hub.go 's/if now-l.heardAt > senderTTL \{/if false {/' loadshare 'TestASilentSender'
mutant samples-stay-in-hall loadshare/hub.go 's/!l.hub && !h.samples.add\(now, x\)/false/' loadshare 'TestSpeedsReach'
mutant ended-servers-keep-speed loadshare/speeds.go 's/t.estimator.Forget\(server\)/_ = server/' loadshare 'TestSpeedsReach'
mutant speeds-outlive-hubs loadshare/view.go 's/held.expiresAt = now \+ keptSpeeds/held.expiresAt = 0/' loadshare 'TestSpeedsOfThePrevious'
mutant waited-samples-count speed/prefill.go 's/1 \+ off\*off/1 + 0*off/' speed TestPrefillIsLearned
mutant slow-servers-count-unscaled speed/prefill.go 's/took.Seconds\(\)\/slowness/took.Seconds()/' speed TestPrefillIsLearned
mutant uses-stay-in-hall loadshare/prefixes.go 's/!l.hub && !h.uses.add\(now, x\)/false/' loadshare TestPrefixesReachAllBoxes
mutant prefixes-never-evicted loadshare/prefixtable.go 's/u != nil && s.left\(u\) <= 0/false/; s/ && t.servers\[server\].left\(u\) > 0//' loadshare TestPrefixesAreEvicted
mutant prefixes-sent-each-time loadshare/prefixtable.go 's/if now < u.refreshAt \{/if false {/' loadshare TestPrefixesAreRefreshed
mutant prefixes-outlive-servers loadshare/knownprefixes.go 's/return !c.has\(uint32\(key >> 32\)\)/return false/' loadshare TestPrefixesReachAllBoxes
mutant prompts-before-prefixes loadshare/prefixtable.go 's/u != nil \|\| continued/false/' loadshare TestSharedPrefixes
mutant prefills-stay-in-hall loadshare/prefill.go 's/!l.hub && !h.prefills.add\(now, x\)/false/' loadshare TestPrefillTimesReach
mutant times-outlive-hubs loadshare/prefill.go 's/held.expiresAt = now \+ keptTimes/held.expiresAt = 0/' loadshare TestPrefillTimesReach
mutant one-box-judges loadshare/outcomes.go 's/ && boxes >= minFailureBoxes//' loadshare 'Test(ServersAreJudged|FailingServersAreKnown)'
mutant failures-judged-late loadshare/outcomes.go 's/share >= FailingFrom \|\| s.beganToFail\(now\)/share >= FailingFrom/' loadshare TestServersAreJudged
mutant failures-never-forgotten loadshare/outcomes.go 's/s.failed = min\(s.failed, maxFailedCount\)/_ = s/' loadshare TestServersAreJudged
mutant outcomes-stay-in-hall loadshare/failing.go 's/if other.hub \{/if false {/' loadshare TestFailingServersAreKnown
mutant failing-chosen gateway/choose.go 's/case w.judgedFailing\(s\):/case false:/' gateway 'TestChoiceByFailingShares'
mutant failing-never-probed gateway/choose.go 's/if probes && s.probesFailing/if false && s.probesFailing/' gateway TestFailingServersAreProbed
mutant failing-share-ignored gateway/shared.go 's/if failing != nil \{/if false {/' gateway TestChoiceByFailingShares
mutant failing-counts-as-up control/decide.go 's/failing\[name\] > failingAfter/failing[name] < 0/' control TestServersJudgedFailing
mutant refusal-is-a-frame peer/load.go 's/Has\(firstUnknown\(u\)\)/Has(0*firstUnknown(u))/' peer 'TestARefusedLoadStream'
mutant prefixes-assumed-cached gateway/cached.go 's/if w.load.HasPrefix\(s.id, w.keys\[i\]\) \{/if true {/' gateway TestCachedPrefixes
mutant cached-tokens-reduce-estimate gateway/prefill.go 's/case least >= minPrefillTokens && prefill\/float64\(least\) < v:/case prefill\/float64(most) < v:/' gateway TestPrefillRateIsLearned
mutant samples-not-clean gateway/attemptload.go 's/l.clean && l.alone\(\)/l.alone()/' gateway TestFirstEventsGive
mutant found-prefixes-not-counted gateway/cachedshare.go 's/uncached = j.g.cachedShares.uncached/_ = j.g.cachedShares.uncached/' gateway TestDemandUses
mutant overdue-not-raised gateway/overdue.go 's/\tl.raise\(overdueBy/\t_ = (overdueBy/' gateway TestLateRequestMovesOnce
mutant moved-again gateway/move.go 's/ && j.attempts == 1 && j.possibleRuns == 0//' gateway TestLateRequestMovesOnce
mutant moved-without-budget gateway/move.go 's/ \|\| !j.g.budgets.takeRetry\(j.poolName\)//' gateway TestLateRequestMovesOnce
mutant moved-after-head gateway/watch.go 's/w.unresponsive \|\| w.moved \{/w.unresponsive {/' gateway TestMoveAndHead
mutant start-hold-everywhere gateway/starthold.go 's/if !g.opts.SharesLoad\(share.Pool\)/if false \&\& !g.opts.SharesLoad(share.Pool)/' gateway 'TestRequestsAreHeldAfterStart'
mutant start-hold-for-ever gateway/starthold.go 's/time.Since\(h.began\) >= startPeriod/false/' gateway 'TestRequestsAreHeldAfterStart'
mutant start-hold-unbounded gateway/starthold.go 's/if h.count >= overload.MaxWaiting .*\{/if false \&\& h.maxBytes > overload.MaxWaiting {/' gateway 'TestHeldRequestsAreBounded'
mutant slow-servers-chosen gateway/shared.go 's/limit \+= max\(nearCost, nearShare\*lowest\)/limit = math.MaxFloat64/' soak 'TestWorkLeavesSlowServer'
mutant pace-ignores-what-waits overload/overload.go 's/in.Waiting <= 0 \|\| !in.Idle/true || !in.Idle/' overload 'TestNobodyStarvesAsABurstEnds'
mutant shares-are-off overload/shares.go 's/shares == nil \{\n\t\treturn false/true {\n\t\treturn false/' overload 'TestSharesUnderOverload'
mutant returns-ignore-what-waits overload/overload.go 's/ \+ in.backlog\(\)//' overload 'TestReturnsAtTheir'
mutant crowded-last-copies placement/crowded.go 's/crowdedAdvantage\*p.lossPerCopy\(name\) < value/value >= 0/' placement 'TestEvictionsForCrowdedAdapters|TestExchanges'
mutant crowded-by-turns placement/crowded.go 's/crowdedAdvantage\*p.lossPerCopy\(name\) < value/(len(p.adapterCopies[name]) > 1 || crowdedAdvantage*p.in.Demand[name].Requests < p.in.Demand[a.Name].Requests) \&\& value >= 0/' placement TestExchangesOfAdaptersEnd
mutant crowded-while-requested placement/crowded.go 's/p.in.Crowded\[name\] \|\| p.in.Demand\[name\].Requests >= recentRate/p.in.Crowded[name]/' placement TestEvictionsForCrowdedAdapters
mutant crowded-by-new-leaders placement/crowded.go 's/if !p.knowsDemand\(\) \{/if false {/' placement TestEvictionsForCrowdedAdapters
mutant adapters-count-everywhere placement/demand.go 's/if p.knowsSpeeds\(\) \{\n\t\td =/if false {\n\t\td =/' placement 'TestDemandOfAnAdapter|TestHotAdapters'
mutant crowded-notices-lost box/platform.go 's/if n.CrowdedAdapter != ""/if false/' box TestCrowdedAdapter
mutant crowded-again-at-once control/crowded.go 's/ordered && now.Sub\(at\) < crowdedPause/false \&\& ordered \&\& at.IsZero()/' control TestNoticesOfCrowdedAdapters
mutant crowded-everywhere gateway/crowded.go 's/&& slices.Min\(without\) <= inTimeUntil//' gateway 'TestCrowdedAdapter|TestNoticeOfCrowded'
mutant no-relays gateway/relays.go 's/return r != nil && r.open != nil/return false \&\& r.open != nil/' box TestBoxesCutOffFromServersServe
mutant isolated-boxes-report reach/reach.go 's/m.held = nil \/\/ \(4\)/m.acquit(now)/' reach TestIsolatedBoxIsNoWitness
mutant relays-cut-off gateway/gateway.go 's/for g.relayed.Load\(\) > 0/for false/' box 'TestRelayingBoxEnds/stopped'
mutant brittle-ignored pushback/brittle.go 's/return b.running >= b.window\n\}/return false\n}/' pushback TestBrittleServersDoNotFallOverAtAnySize
mutant unknown-ends-complete internal/framing/framing.go 's/return !bodyAllowed\(method, r.StatusCode\) \|\|/return true ||/' gateway TestTruncatedResponse
mutant ends-without-evidence internal/framing/framing.go 's/case evidence == nil:/case evidence != nil:\n\t\treturn Confirmed\n\tcase evidence == nil:/' gateway TestServersEndingAtAnyMoment
mutant relayed-ends-without-evidence gateway/relayed.go 's/if f.Confirmed \{/if f.End {/' gateway TestEndRelayedByAnEarlierBuild
mutant connections-opened-before gateway/endcheck.go 's/(\tp.server.pool.reserveBeyondLimit\(\)\n)/\tif x := p.server.pool.takeIdle(rand.Text(), p.names); x != nil {\n\t\treturn x, nil\n\t}\n$1/' gateway TestServerThatClosesItsListener
mutant silent-processes-count gateway/endcheck.go 's/evidence == liveness.Open && path == ""/evidence == liveness.Open/' gateway TestSilentProcessAtTheAddress
mutant own-ends-without-evidence proxy/ends.go 's/return ErrEndUnknown/return nil/; s/return ErrServerEnded/return nil/' entry 'TestServerEndingWithin|TestPartIsNotStored'
mutant closed-before-the-bytes internal/framing/framing.go 's/if http.NewResponseController\(u.writer\).Flush\(\) != nil \{/if false {/' internal/framing TestFinishWrites
mutant ends-probe-each-other internal/liveness/liveness.go 's/if evidence == Ended \{/if false {/' internal/liveness TestEndOfTheServer
mutant aborts-not-reset internal/framing/framing.go 's/u.conn.SetLinger\(0\)/u.conn.SetLinger(-1)/' gateway TestAbortedUndelimited
mutant parts-of-events-forwarded gateway/relay.go 's/err == io.EOF && j.stream.insideEvent\(\)/false/' gateway TestStreamEndingInside
mutant resumes-at-any-version gateway/find.go 's/refusal != nil \|\| !j.pinned/true || !j.pinned/' gateway TestStreamResumesOnly
mutant origins-not-sent origin/keepers.go 's/if !r.topology.Enabled \{\n\t\treturn\n/if true {\n\t\treturn\n/' box TestCallersResumeAfter
mutant restarted-boxes-know-no-other-version origin/origin.go 's/now-r.knownSince < min\(maxAge, recordTTL\)/false/' origin 'TestLookup|TestNever'
mutant unconfirmed-states-are-believed origin/origin.go 's/s == nil \|\| !r.topology.Confirmed/s == nil/' origin TestNeverAnotherVersionAfterTheLossOfAllBoxes
mutant unproved-single-versions-are-believed origin/origin.go 's/confirmed: r.confirm\(ctx\)\}/confirmation: \&confirmation{}}/' origin TestResumedAtABoxOutOfStep
mutant records-sent-again-come-too-late origin/origin.go 's/range lateRounds/range 0/' origin TestResumedAtABoxOutOfStep
mutant answers-from-before-the-question origin/confirm.go 's/if b.waiting == nil \{/if b.waiting == nil \&\& b.last != nil { return b.last }; if b.waiting == nil {/; s/waiting \*pending/last, waiting *pending/; s/close\(p.done\)/close(p.done); b.last = p/' origin 'TestNeverAnotherVersionInPartitions'
mutant lost-sources-are-sought-one-by-one spread/search.go 's/searchWidth = 4/searchWidth = 1/' spread TestBoxIsCurrentSoonAfterACut
mutant stale-parents-are-kept spread/chooser.go 's/d := s.opts.DrainingDuration; d > 0/d := s.opts.DrainingDuration; false/' spread TestBoxesBehindACutLearnInTime
mutant late-boxes-drain-from-now gateway/directory.go 's/since := now.Add\(-d.lateBy\(before\)\)/_, since := before, now/' gateway TestDrainingTimeIncludesWhatABoxIsLate
mutant streams-get-no-copy placement/placement.go 's/\tp.planAwaitedVersions\(\)\n//' placement TestStreamsGetACopyAtTheirVersion
mutant streams-do-not-wait-for-their-model gateway/find.go 's/case j.pinned &&/case false \&\& j.pinned \&\&/' gateway TestStreamsWaitForTheirModelAtTheirVersion
mutant departed-versions-are-awaited gateway/versions.go 's/if j.g.opts.Origins.Departed\(/if false \&\& j.g.opts.Origins.Departed(/' gateway TestResumedStreamWaitsForServersThatTheBoxLacks
mutant new-knowledge-sends-no-records origin/origin.go 's/ \|\| !r.knowsVersions\(now\)//' origin TestLookup
mutant departed-versions-are-forgotten origin/origin.go 's/slices.Clone\(s.departed\)/[]string(nil)/' origin TestResumedAfterTheLossOfAllBoxes
mutant departures-are-not-recorded state/versions.go 's/s.Versions.Departed\[v\] = s.Index/_ = v/' state 'TestReplacedVersionDeparts|TestHistoryFollows'
mutant versions-are-retired-at-once control/versions.go 's/now.Sub\(since\) >= origin.HistoryTTL/true/' control TestLeaderRetiresVersions
mutant prefixes-of-any-version gateway/cached.go 's/if list\[source\].version != c.server.version/if false/' gateway TestPrefixesAreFetchedOnly
mutant blocked-requests-relayed gateway/serverelay.go 's/g.relayBlocked\(r, o.header, s\)/false/' gateway TestBlockedRequestIsNotRelayed
mutant blocks-after-the-choice-ignored gateway/job.go 's/g.refusal\(s, j.blockedAt\(s\)\)/g.refusal(s, false)/' gateway TestRequestBlockedBeforeItIsSent
mutant own-evidence-reset-below-its-level crasher/own.go 's/if discard \{/if true {/' crasher TestOwnEvidenceBlocksWhileTableHasNoParts
mutant late-commits-ignored crasher/own.go 's/return since > 0 && time/return false \&\& since > 0 \&\& time/' box TestCrashingPromptPartBlockedWhileDiskStalls
mutant resumed-streams-not-timed entry/stream.go 's/now := time.Now\(\)\n/now := time.Now()\n\t\tif resumed { return }\n/' entry TestResumedStreamIsWeakEvidence
mutant declared-parts-ignored entry/crashers.go 's/ \|\| e.crashWatcher.BlocksAny\(crashers, j.partPrints\(\)\)//' entry TestCrashingPartIsBlocked
mutant rulings-answered crasher/registry.go 's/case !ok \|\| old == nil \|\| hasRuling\(old\):/case !ok || old == nil:/' crasher TestRulingsOverrideEvidence
mutant exempt-parts-blocked crasher/parts.go 's/if hasRuling\(old\) \{/if false {/' crasher TestRulingsOverrideEvidence
mutant parts-blocked-with-their-request crasher/parts.go 's/ && !explainedByRequest\(s, held\)//' crasher TestPartsOfCrashingRequestNotBlocked
mutant any-connection-carries internal/attest/attest.go 's/return h.attempts == 0 \|\| id/return true || id/' internal/attest TestMayCarry
mutant copies-prove internal/attest/attest.go 's/return h.attempts == 0 \|\| id/return true || id/; s/!identified \|\| h.remembers\(id\)/!identified/' gateway TestPromisesAreTrueOverSequences
mutant any-response-is-its-own internal/attest/attest.go 's/case len\(ids\) == 0 && \(h.attempts <= 1 \|\| !h.identifies\):/case len(ids) == 0:/; s/!identified \|\| h.remembers\(id\)/!identified \&\& false/' gateway TestPromisesAreTrueOverSequences
mutant statuses-promise internal/attest/attest.go 's/case Promises\(status\):/case Promises(status) \&\& false:/' gateway TestPromisesAreTrueOverSequences
mutant attempts-share-ids entry/serve.go 's/strconv.FormatUint\(rand.Uint64\(\), 36\)/strconv.FormatUint(0*rand.Uint64(), 36)/' entry TestSurplusRefusal
mutant heads-without-end internal/responsehead/head.go 's/h.size > attest.MaxHeadBytes \{/false {/' gateway TestEndlessBytes
mutant heads-unchecked internal/responsehead/head.go 's/if kind := h.step\(b\[n\]\); kind != ""/if kind := h.step(b[n]); false \&\& kind != ""/' gateway TestMalformedHeads
mutant own-heads-unchecked proxy/proxy.go 's/return responsehead.NewConn\(c\), nil/return c, nil/' entry TestMalformedHeads
mutant order-heads-unchecked engine/guard.go 's/return responsehead.NewConn\((.*)\), nil/return $1, nil/' platform TestMalformedHeads
mutant lengths-beside-chunks internal/responsehead/head.go 's/case h.chunked && h.lengths > 0:/case false:/' internal/responsehead TestHeadsAreReadStrictly
mutant uploads-unfinished gateway/connend.go 's/framing.Unacknowledged\(a.conn.Conn\) > 0/framing.Unacknowledged(a.conn.Conn) < 0/' gateway TestEndBeforeTheRequest
mutant peeks-swallow-resets gateway/conns.go 's/x.fault.recordLocked\(found\)/_ = found/' gateway TestResetSeenByAPeek
mutant own-uploads-unfinished internal/responsehead/conn.go 's/return n, c.end\(\)/return n, err/' entry TestResetDuringUpload
mutant responses-unbounded gateway/gateway.go 's/j.memory = g.opts.Responses.Hold\(holdResponse\)/j.memory = nil/' gateway TestResponsesShareOneMemoryBound
mutant own-responses-unbounded entry/serve.go 's/j.attempt.Memory = e.opts.Responses.Hold\("response"\)/j.attempt.Memory = nil/' entry TestResponsesShareOneMemoryBound
mutant reports-unbounded platform/engine.go 's/memory := e.Memory.Hold\("report"\)/memory := (*membudget.Budget)(nil).Hold("report")/' platform TestReportsShareOneMemoryBound
mutant messages-without-end platform/control.go 's/messageTimeout = 2 \* time.Second/messageTimeout = time.Hour/' platform TestMessagesShareOneMemoryBound
mutant unread-responses-held internal/reply/write.go 's/lateWriteTimeout = 3 \* time.Second/lateWriteTimeout = time.Hour/' gateway TestCallerThatDoesNotRead
mutant refusals-read-to-the-end gateway/relay.go 's/discardTimeout = 100 \* time.Millisecond/discardTimeout = time.Hour/' gateway TestEndlessBytes
mutant empty-successes internal/reply/reply.go 's/if !t.began \{/if false {/' gateway TestCallerThatShutDown
mutant states-of-other-reads engine/engine.go 's/id != "" && id != req/id != "" \&\& false \&\& id != req/' engine TestCopyOfAnEarlierState
mutant parts-without-exposure crasher/exposure.go 's/return exposed && runFor/return false \&\& exposed \&\& runFor/' crasher TestPartsThatRunOn
mutant blocks-never-provisional crasher/provisional.go 's/!at.ProvisionalBlocks ../true ||/' crasher 'TestProvisionalBlocks'
mutant blocks-always-provisional crasher/provisional.go 's/ s.Holds > 0 ..//' crasher TestBlockAfterProvisional
mutant blocks-not-reviewed crasher/registry.go 's/reg.reviewBlocks\(at\)/_ = at/' crasher TestFirstBlockIsReviewed
mutant one-other-tolerated crasher/provisional.go 's/if at.SharedExposure && !isPart/if false \&\& !isPart/' crasher 'TestProvisionalBlocks|TestFewServers'
mutant accepted-values-ignored forming/forming.go 's/if highest != nil \{/if false \&\& highest != nil {/' forming TestOneCluster
mutant lower-ballots-answered forming/forming.go 's/if Compare\(f.Ballot, a.record.Promised\) < 0 \{/if false {/' forming TestOneCluster
mutant minority-founds forming/forming.go 's/len\(p.accepted\) >= quorum/len(p.accepted) >= quorum-1/' forming TestOneCluster
exit $missed
