#!/usr/bin/env python3
"""Takes one mechanism at a time out of a scratch copy and runs the tests that
prove it: each must fail there. Usage: tools/without.py [NAME...]

Prints one line a mechanism: its name, and which tests failed without it."""
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

# name: (file, text, what stands in its place, tests by ctest's -R)
MECHANISMS = {
    "head-leaves-first": (
        "src/policy/domain_review.cpp",
        'return this->release(S, Key, Group, "given up");', "return;",
        "planner: lost, late"),
    "members-leave": (
        "src/policy/domain_review.cpp",
        "if (this->LeftMembers.contains({Key, Vm->incarnation()}))", "if (true)",
        "planner: lost, late"),
    "earlier-owner": (
        "src/policy/domain_review.cpp",
        "Key.Epoch <= S.View.PriorEpochMax", "false",
        "planner: lost, late"),
    "signed-success": (
        "src/entry/response_forwarder.h",
        "!Info.Signed || ", "",
        "entry: an unsigned"),
    "keys-proven": (
        "src/entry/relay_request.cpp",
        "!Board.ConfigLease.holds(Now)", "false",
        "entry: the store is away"),
    "version-order": (
        "src/control/config_follower.h",
        "Row && Config->Version <= Row->Version", "false",
        "entry: a key is taken away"),
    "proof-age": (
        "src/wire/news_frames.cpp",
        "SentAt - Millis(News.proven_age_ms)", "Now",
        "neighbours: the store is away|news: a page sent on"),
    "boot-clock": (
        "src/base/boot_clock.cpp",
        "CLOCK_BOOTTIME", "CLOCK_MONOTONIC",
        "suspended machine"),
    "blame": (
        "src/entry/crash_guard.cpp",
        "return Judged.Found == Verdict::Allow;", "return true;",
        "crashing (request|part)"),
    "blame-explains": (
        "src/policy/crash_culprits.cpp",
        "countMissing(Record.CrashedTargets, this->Explained);",
        "Record.CrashedTargets.size();",
        "crash blame: others ran beside"),
    "blame-served": (
        "src/policy/crash_blame.cpp",
        "Found.wasServed() || this->Served.contains(Suspect.Content)", "false",
        "crash blame: answered before"),
    "blame-parts": (
        "src/entry/relay_request.cpp",
        "poolOf(Request), Request.Info.SharedParts", "poolOf(Request), {}",
        "crashing part"),
    "blame-together": (
        "src/policy/crash_culprits.cpp",
        "Apart < MinSeparateCrashes)", "Suspect == Part)",
        "part blame: (two parts ran|one more target)"),
    "blame-of-one-moment": (
        "src/policy/crash_culprits.cpp",
        "Record.ServedBefore && !Record.Recurred;", "false;",
        "part blame: ten targets end"),
    "blame-lasts": (
        "src/control/node_follower.h",
        "this->applyBlamed(Read->Blamed);", "",
        "directory: an announcement blames"),
    "shared-sight": (
        "src/policy/target_stats.cpp",
        "if (!There || There->Responding == 0)", "if (true)",
        "vitals: a target stands still elsewhere"),
    "limit-shared": (
        "src/policy/target_rate.cpp",
        "if (Order->isSender())", "if (true)",
        "stated limit: 1|stated limit: it is zero"),
    "limit-told": (
        "src/control/shared_observations.cpp",
        "Response.limits = packLimits(this->limits(Request.all_crashes, Now), Now);", "",
        "limited target: an entry starts again"),
    "limit-ends-later": (
        "src/policy/stated_limits.cpp",
        "SentAt > At->second.At", "true",
        "stated limit: responses with and without"),
    "rest-binds": (
        "src/policy/stated_pauses.cpp",
        "Statement.Rest.value_or(Millis(0)) > Millis(0)", "false",
        "resting target|placement: a target asks for rest"),
    "leaving-binds": (
        "src/policy/stated_pauses.cpp",
        "if (Statement.Leaving)", "if (false)",
        "leaving target: it says|placement: a target states that it leaves"),
    "statement-confirmed": (
        "src/entry/target_selector.cpp",
        "if (this->Bounds.isPaused(Selected.To, Now))", "if (false)",
        "placement: a target asks for rest"),
    "statement-sender": (
        "platform/callers.cpp",
        "if (Status == WrongTargetStatus || IsUnsigned)", "if (false && IsUnsigned)",
        "statement: another process"),
    "resting-part": (
        "src/policy/connections.cpp",
        "IdleFraction * TotalLimit * EvenShare", "1.0 * TotalLimit",
        "connections: many nodes"),
    "unreached-out": (
        "src/control/member_prober.h",
        "this->Suspects[Vm] = {Now, MaxFailures};", "",
        "members: one is not reached"),
    "missing-staged": (
        "src/policy/domain_stage.cpp",
        "if (!Plan.Model)", "if (true)",
        "staging: resting hosts|staging: nothing fits"),
    "no-cold-joins": (
        "src/policy/domain_step.cpp",
        "return this->Engine.ModelsStagedPerHost > 0 &&",
        "return false && this->Engine.ModelsStagedPerHost > 0 &&",
        "staging: a model is short"),
    "loads-at-once": (
        "src/control/load_budget.cpp",
        "Max - Begun", "1000.0",
        "load budget"),
    "doubts-shared": (
        "src/policy/target_stats.cpp",
        "return There && Now - this->ReportedAt",
        "return false && Now - this->ReportedAt",
        "vitals: another node left"),
    "load-queue": (
        "src/policy/load_schedule.cpp",
        "std::min<std::size_t>(Engine.LoadsAtOnce, State.Loading)", "0",
        "load turns"),
    "drain-hold": (
        "src/policy/domain_review.cpp",
        "return S.View.Now - Since < S.View.DrainGracePeriod;", "return Since == S.View.Now && false;",
        "members: one drains"),
    "centre-kept": (
        "src/policy/domain_step.cpp",
        "if (Centre[Model] < 1)", "if (false)",
        "planner: its data centre"),
    "trades-foreseen": (
        "src/control/domain_views.cpp",
        "if (Domain < View.Domain)", "if (false)",
        "domain views: other domains"),
    "news-age": (
        "src/control/store_reader.h",
        "MaxAge && Now - this->Cache.provenAt() >= *MaxAge", "false && MaxAge && Now > TimePoint()",
        "store reader: the neighbour falls silent"),
    "era-compared": (
        "src/control/store_reader.h",
        "if (!Whole && Page->Next.Era > From->Era) {", "if (false) {",
        "store reader: the store came back"),
    "lost-proves-nothing": (
        "src/control/config_follower.h",
        "return Waited && !Page.Versions.isLost();", "return Waited;",
        "config: the store came back with an older"),
    "older-not-in-force": (
        "src/control/config_follower.h",
        "if (this->inForce() >= this->MinVersion)", "if (true)",
        "config: a node that starts"),
    "strangers-wait": (
        "src/control/restore_wait.h",
        "return Page.Versions.Settled || Page.ProvenAt >= this->Until;", "return true;",
        "store restored: all entries|config: the store came back with the version in force: "),
    "era-noted": (
        "src/control/node_follower.h",
        "for (const NodeInfo &Row : Present)\n      this->settle(Row.Settled);", "",
        "directory: another node|store restored: written again"),
    "restored-held": (
        "src/control/registry_follower.h",
        "if (this->isHeld(Entry, Now)) {", "if (false) {",
        "registry restored|store restored: a target"),
    "plausible-start": (
        "src/policy/start_times.cpp",
        "return StartedAt.Value <= Now.Value + Ahead;", "return true;",
        "start times: ahead|registry: another writer tells a start"),
    "stated-by-most": (
        "src/policy/start_times.cpp",
        "return this->Stated > 0 &&", "return this->Stated > 0 ||",
        "start times: some|registry: few entries"),
    "restored-unplanned": (
        "src/control/registry_follower.h",
        "if (Now >= this->SettledAt)", "if (true)",
        "registry restored: nothing is planned"),
    "second-connection": (
        "src/control/store_reader.h",
        "Millis Pause = this->read(this->Backup, Millis(0), false);", "Millis Pause(50);",
        "store reader: its call hangs and|leaving target: a node|neighbours: alone"),
    "kept-last": (
        "src/policy/choice.cpp",
        "return Candidate.Retained ||", "return",
        "choice: an entry is missing|leaving target: the reader alone"),
    "own-word": (
        "src/policy/choice.cpp",
        "Query.RegistryStale &&", "false &&",
        "choice: the registry is old|leaving target: no node"),
    "news-from-peers": (
        "src/control/news.cpp",
        "this->queryPeers(Nodes, SystemClock{}.now());", "",
        "leaving target: the reader loses"),
    "given-up-reset": (
        "src/entry/relay.h",
        "if (End != AttemptOutcome::Done && Attempt.Connection)", "if (false)",
        "leaving target: a send"),
    "stale-proves-nothing": (
        "src/board/feed_cache.cpp",
        "bool Proves = Page.Next == this->Next &&", "bool Proves =",
        "feed cache: a page from behind: it proves"),
    "stale-not-taken": (
        "src/control/store_reader.h",
        "if (Stale)", "if (false)",
        "store reader: the store answers from an older"),
    "absence-refuted": (
        "src/board/feed_cache.cpp",
        "if (Restored || !this->isRefuted(Page))", "",
        "feed cache: told that the store"),
    "large-left-out": (
        "src/wire/news_frames.cpp",
        "News->left_out = Deflated.size() > MaxBytes;", "News->left_out = false;",
        "news: a record is large"),
    "same-member": (
        "platform/store.cpp",
        "Member(Board.Config.Node.Text)",
        'Member(Board.Config.Node.Text + "." + Board.Incarnation.Text)',
        "entry: killed and restarted"),
    "late-last": (
        "src/policy/urgency.cpp",
        "(Late ? 1U : 0U)", "0U",
        "urgency: one is late"),
    "answer-id": (
        "src/entry/response_forwarder.h",
        "Info.Id == Ex.Request.Info.Id", "true",
        "entry: another's answer"),
    "members-counted": (
        "src/edge/serve_model.h",
        "Token.Members != Plan.View->VmsPerReplica", "false",
        "groups: a member other"),
    "fresh-reports": (
        "src/control/member_reports.cpp",
        "if (Now - Row->ReportedAt > this->freshDuration())", "if (false)",
        "groups: a member dies idle|groups: a member is frozen"),
    "fence-compared": (
        "src/control/member_reports.cpp",
        "if (Row->Report.Group != Formed.Id)", "if (false)",
        "groups: a late order"),
    "stamps-compared": (
        "src/policy/fold.cpp",
        "!Free ||\n        Now.Stamp != Row->seen", "false",
        "stale proposers race|groups: a controller"),
    "group-size": (
        "src/policy/fold.cpp",
        "Spec->VmsPerReplica != Change.vms.size()", "false",
        "stale proposers race"),
    "token-order": (
        "src/edge/serve_model.h",
        "if (Token.Index > Progress.Count)", "if (false)",
        "answers: one engine is faulty"),
    "token-repeat": (
        "src/edge/serve_model.h",
        "if (Token.Index < Progress.Count)", "if (false)",
        "answers: one engine is faulty"),
    "request-id": (
        "src/edge/target.cpp",
        'if (textAt(*Fields, "request") != Call.Request.Text)', "if (false)",
        "answers: one engine is faulty"),
    "visible-cut": (
        "src/edge/callers.cpp",
        "this->socket().shutdown();", "this->end();",
        "answers: all engines die"),
    "sent-is-sent": (
        "src/net/http.cpp",
        "Sent = true;\n", "Sent = false;\n",
        "not run: said only|once: key sent again"),
    "service-answer-id": (
        "src/edge/target.cpp",
        "Reply.RequestId != Call.Request.Text", "false",
        "not run: said only"),
    "once-table": (
        "src/policy/idempotency.cpp",
        "return Inserted;\n}\n\nvoid IdempotencyTable::abandon",
        "return true;\n}\n\nvoid IdempotencyTable::abandon",
        "once: key sent|once: any order"),
    "claims-first-wins": (
        "src/policy/fold.cpp",
        "Outcome.Holders.push_back(At->second.Dispatcher);",
        "At->second.Dispatcher = IncarnationId(Batch.dispatcher);\n"
        "    Outcome.Holders.push_back(At->second.Dispatcher);",
        "racing claims|once: key sent to three"),
    "key-window": (
        "src/policy/fold.cpp",
        "!this->isKeyTimeValid(Issued)", "false",
        "racing claims|once: bad, old"),
    "leaving-news": (
        "src/control/peers.cpp",
        "News.leaving.push_back(std::move(Out));", "Out.reset();",
        "leaving: the target itself"),
    "drain-waits": (
        "src/control/group_controller.h",
        "return Over || Now - Idle->second > IdleBeforeReplace;",
        "return true;",
        "leaving: a drained group|leaving: fewer replicas"),
    "stop-waits": (
        "src/edge/daemon.cpp",
        "if (this->inFlight() > 0)\n    return false;", "return true;",
        "stop: a daemon is told"),
    "compare-and-set": (
        "src/policy/fold.cpp",
        "if (Revision != Change.base)", "if (false)",
        "config: two operators race|config: the append's answer"),
    "never-back": (
        "src/policy/fold.cpp",
        "if (Saved.next < this->Next.Value)", "if (false)",
        "checkpoint in the middle"),
    "ready-means-newest": (
        "src/edge/daemon.cpp",
        "Loops.push_back(loop([&In] { return In.LogReader.step(); }));",
        "Tables.Ready = true;\n"
        "  In.Loops.push_back(loop([&In] { return In.LogReader.step(); }));",
        "config: a daemon starts"),
    "records-from-peers": (
        "src/control/peers.cpp",
        "this->requestRecords(Now);\n", "\n",
        "config: a daemon cut|config: a daemon starts while"),
    "checkpoint": (
        "src/control/log_follower.h",
        "if (Page->First > From || ", "if (false && ",
        "config: the log forgot"),
    "few-members": (
        "src/policy/partition_membership.cpp",
        "if (Result.OthersBefore < Missing)\n    return true;", "return true;",
        "share members:"),
    "next-before": (
        "src/policy/upstream_selector.cpp",
        "for (std::size_t I = 0; I < Place; ++I)",
        "for (std::size_t I = 0; I < 0; ++I)",
        "news route:"),
    "probe-pace": (
        "src/policy/upstream_selector.cpp",
        "return {Max == SmallSiteInterval ? MinInterval : Max / 2, Max};",
        "return {MinInterval, SmallSiteInterval};",
        "news route:"),
    "told-at-start": (
        "src/control/news.cpp",
        "if (!News.ok() || !this->isCurrent(*News))\n    return false;",
        "return false;",
        "neighbours: one restarts: another"),
    "whole-no-news": (
        "src/board/feed_cache.cpp",
        "if (!Same)", "",
        "feed cache: a whole page repeats"),
    "unknown-usual": (
        "src/policy/choice.cpp",
        "double Expected = ModelMean;", "double Expected = 0;",
        "choice of many nodes"),
    "loads-shown": (
        "src/policy/load_schedule.cpp",
        "State.Loading += isLoading(*Target) ? 1 : 0;", "",
        "load turns: loads are under way"),
    "formed-of-what-is-there": (
        "src/policy/domain_form.cpp",
        "if (!S.anyServes() && !S.loadsBeforeForming())", "if (!S.anyServes())",
        "forming: nothing serves"),
    "gain-alone": (
        "src/policy/domain_form.cpp",
        "double Gain = S.gainOf(*Model, Now);",
        "GroupCounts After = Now;\n    ++After[Model->Name];\n"
        "    double Gain = S.lossOf(Now) - S.lossOf(After);",
        "forming: another model has no group"),
    "earlier-life": (
        "src/control/domain_owner.h",
        "if (!this->HasEndedEarlierLife && !this->endEarlierLife())",
        "if (false)",
        "domain owner: its process starts again"),
    "unlisted-model": (
        "src/policy/domain_review.cpp",
        "if (!Model)\n    return this->reviewUnlisted(S, Key, Group);", "",
        "staging: the model of a serving group"),
    "epochs-of-life": (
        "src/control/domain_owner.h",
        "std::max(Assignment.fence() << EpochCounterBits, this->LastEpoch)",
        "Assignment.fence() << EpochCounterBits",
        "domain owner: all VMs of a domain go"),
    "framing-bound": (
        "src/net/framing.cpp",
        "this->Malformed = this->FramingBytes > this->maxFramingBytes();", "",
        "chunked body: framing|endless"),
    "heads-bound": (
        "src/net/head.cpp",
        "this->TakenBytes += *Length;", "",
        "response heads|endless answers: one of two targets sends"),
    "field-lines": (
        "src/net/head.cpp",
        "if (!Name || !isToken(*Name) || !isFieldText(Line))", "if (!Name)",
        "heads: each byte|odd answers: one of two targets sends a line"),
    "early-refusal": (
        "src/net/head.cpp",
        "this->TakenBytes + Buffer.size() > MaxBytes || !mayBecomeHead(Buffer)",
        "this->TakenBytes + Buffer.size() > MaxBytes",
        "odd reply: to a client|head: interim"),
    "chunk-lines": (
        "src/net/framing.cpp",
        " || !isFieldText(*Line);", ";",
        "heads: each byte at each place of a chunk"),
    "checked-requests": (
        "src/edge/daemon.cpp",
        "  CheckedServerSocket Socket;", "  Poco::Net::ServerSocket Socket;",
        "caller: a line that is no field"),
    "answer-progress": (
        "src/policy/answer_progress.h",
        "return this->HasUnused &&", "return Patience < Millis(0) &&",
        "answer progress|endless answers: one of two targets trickles"),
    "reply-time": (
        "src/net/http.cpp",
        "{Begin + Timeout + this->Bounds.TransferTime,",
        "{Begin + Millis(3600000),",
        "endless reply"),
    "kept-unread": (
        "src/entry/target_connection_pool.cpp",
        " || Idle.Connection.isReadable()", "",
        "endless bytes: on a kept"),
    "frame-time": (
        "src/wire/frame.cpp",
        "BootClock::now() + FrameTime",
        "BootClock::now() + FrameTime + MaxFrameTime",
        "endless bytes: a frame"),
    "body-deadline": (
        "src/entry/caller_server.h",
        "if (Now >= *Deadline)", "if (false)",
        "endless request: its body"),
    "labels-deny": (
        "src/policy/labels.cpp",
        "if (!Value)\n      return false;", "if (!Value)\n      continue;",
        "labels: a request|selector: random"),
}


def run(command, folder):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def main():
    names = sys.argv[1:] or list(MECHANISMS)
    root = pathlib.Path(__file__).resolve().parent.parent
    scratch = pathlib.Path(tempfile.mkdtemp()) / "copy"
    shutil.copytree(root, scratch, ignore=shutil.ignore_patterns(
        "build*", ".git"))
    # What is taken out leaves unused names behind.
    lists = scratch / "CMakeLists.txt"
    lists.write_text(lists.read_text().replace(" -Werror", ""))
    launcher = shutil.which("ccache")
    flags = [f"-DCMAKE_CXX_COMPILER_LAUNCHER={launcher}"] if launcher else []
    run(["cmake", "-G", "Ninja", "-B", "build", *flags], scratch)
    bad = False
    for name in names:
        file, old, new, tests = MECHANISMS[name]
        path = scratch / file
        whole = path.read_text()
        if whole.count(old) < 1:
            print(f"{name}: the text to take out is not in {file}")
            bad = True
            continue
        path.write_text(whole.replace(old, new))
        built = run(["ninja", "-C", "build"], scratch)
        if built.returncode:
            print(f"{name}: does not build\n{built.stdout[-2000:]}")
            bad = True
        else:
            out = run(["ctest", "-j4", "--timeout", "120", "-R", tests],
                      scratch / "build").stdout
            failed = re.findall(r"Test +#\d+: (.*?) \.*\*\*\*", out)
            print(f"{name}: without it {len(failed)} failed: "
                  + "; ".join(failed), flush=True)
            bad |= not failed
        path.write_text(whole)
    shutil.rmtree(scratch.parent)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
