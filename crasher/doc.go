// Package crasher detects requests, and parts of prompts, that crash backend servers and blocks them from reaching further servers.
//
// Such a request terminates each server that begins to run it, and its callers retry it. The server's other
// requests fail with it, so a single crash does not identify the request: what identifies it is that the same
// request was present at one crash after another.
//
// A crash report lists evidence (wire.CrashSign): one request at one terminated server.
//
// Rules:
//
//  1. A box reports each of its own requests that was at a server when that server terminated (Watcher).
//     Requests that fail at a server that keeps running are no evidence, nor are those at a server that had
//     reported that it is draining.
//  2. Evidence is strong if the server terminated before the request's first event or soon after it, else weak:
//     a request that has run for long is the less likely cause. Evidence from a server that only became
//     unresponsive is weak, too: the server may be frozen or disconnected.
//  3. Evidence counts only if the request was sent to the server after the last server that counts against it
//     had terminated. So the loss of a rack, a data hall or all power counts once, however many callers have
//     the same request there.
//  4. A suspect whose evidence reaches blockWeight is blocked: no box sends it to a server any more. All boxes
//     block the same suspects, since these are part of the replicated state, which survives a restart of all
//     boxes.
//  5. A request that a server has answered in full, before or since, is no crasher: evidence against it does not
//     count for as long as the suspect is remembered. Boxes remember which requests they recently saw answered
//     (ServedCache). So a prompt that a hundred callers send is not blocked because of the servers that it
//     shared with a crasher.
//  6. Suspects are kept per version of the servers' software: a new version may have fixed the fault. A request
//     that is or was blocked under another version is blocked after one piece of evidence.
//  7. A blocked suspect is released after a time that doubles with each block, and is blocked again after one
//     piece of evidence. A suspect without further evidence is forgotten after a time.
//  8. The table is bounded. The suspects with the lowest weight are evicted first, among these the oldest; a
//     blocked suspect is never evicted for one that is not blocked. So a caller that changes a byte each time
//     evicts only suspects of no more weight than its own.
//  9. What crashes servers may be one part of a prompt, in requests that differ otherwise. So evidence against a
//     request is also evidence against each part of its prompt but the last, which is the request's own. A part
//     is a suspect at all servers of a service: a request with a blocked part is sent to none of them.
//  10. A part that is answered in full, in any request, loses its evidence. One that was answered before the
//     evidence was known needs twice the evidence: it may have begun to crash servers since. A box that has seen it
//     answered says so with its evidence, and does not block it before the table includes that.
//     So parts that many requests share are not blocked because of the servers that they share with a crasher.
//  11. A blocked part explains the servers that terminated while they ran requests with it. A suspect is released
//     if all its servers are explained by blocked parts that were also present at others: it was there by chance.
//  12. A box that reaches no leader cannot have its reports committed. It keeps the same table for its own reports
//     (ownEvidence) and blocks by that, too, except what the replicated table knows to have been answered. So does a
//     box while the replicated table has no prompt parts, because boxes of older builds do not know them.
//  13. Operators may rule that a suspect, known or not, is blocked or exempt. Such a suspect collects no evidence, and no
//     answer, time or other suspect changes it, until they take the ruling back; then it is forgotten.
//  14. A blocked request explains the servers at which it was as well, to its own parts: its evidence does not count against
//     them any more, and a part is released if one blocked request was at all servers that count against it. So the parts of
//     a request that crashes servers by itself are not blocked with it.
//  15. A server that has run a request with a part for longer than the terminated one, and goes on, refutes the evidence of that
//     termination against the part: a part that crashes servers would have ended it as well. So a box that has such
//     requests at other servers waits for a moment before it reports evidence against their parts. Evidence against whole
//     requests does not wait.
//  16. Where any server terminated lately without a suspected request, or more than half as many without a suspected part as with it,
//     servers terminate for other reasons as well, and the suspect may have been at them by chance. Its first block is provisional: rejected requests may be retried,
//     and the suspect is released after provisionalDuration. One more piece of evidence then blocks it definitively. A first block is
//     confirmed after confirmDuration only, and becomes provisional if other servers terminate meanwhile or soon after.
//  17. What runs at one box refutes what another one reports: boxes report for how long a request with a part has run at a server that
//     goes on, when a server terminates under the part, and again while requests run that are suspects or have suspected parts.
//     Evidence against a suspect counts only while no such request is known to have run for longer than any at the terminated
//     server, for a whole request at servers of the same version (6).
//  18. While a box's reports are not committed within commitTimeout, since the leader's disk stalls or the box does not reach it, no box
//     learns what others have seen, and each would lose as many servers as (4) takes. So the box blocks a suspect provisionally after
//     one strong piece of its own evidence, until its reports and those of the others are committed, but for provisionalDuration
//     at most.
package crasher
