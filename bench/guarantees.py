#!/usr/bin/env python3
"""Takes out each guarantee that docs/ENDINGS.md names, one at a time, and sees its test fail.

    bench/guarantees.py [--work FOLDER] [--only WORD]

Works in a copy; the tree stays as it is. A test that does not fail without its guarantee, or does not pass with it, is
named, and the exit code is 1. Takes about half a minute for each. Needs Python 3.9 and what the tests need.
"""
import argparse
import filecmp
import os
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LISTENER, UPSTREAM, SIDECAR = "src/net/listener.cpp", "src/net/upstream.cpp", "src/net/sidecar.cpp"
NODE, DISCOVERY, MODULE = "src/net/node.cpp", "src/net/discovery.cpp", "src/balance.cpp"
GUARD, STARTUP = "src/net/rule_guard.cpp", "src/net/startup.hpp"
NET, RULES, PROCESS = "kelplb_net_tests", "kelplb_tests", "kelplb_crash_tests"

# Given in two places each, and named by more than one row.
CLOSED_WHEN_OVER = [
    (
        UPSTREAM,
        "void Upstream::expire(AttemptKey key) { stop(key, Outcome::refused_connection, Outcome::overdue); }",
        "void Upstream::expire(AttemptKey) {}",
    ),
    (
        UPSTREAM,
        "void Upstream::cancel(AttemptKey key) { stop(key, Outcome::superseded, Outcome::recalled); }",
        "void Upstream::cancel(AttemptKey) {}",
    ),
]
LOOKED_AT_WHEN_IDLE = [
    (UPSTREAM, " || peek(link->socket) != Quiet::nothing) {", ") {"),
    (
        UPSTREAM,
        "if (link->state == Link::State::idle && peek(link->socket) != Quiet::nothing)\n            drop(",
        "if (false)\n            drop(",
    ),
]

# What is taken out (its file, text and what stands there instead; where several parts give it, all of them), and the
# test that must then fail.
TAKEN = [
    (
        "a look before sending",
        SIDECAR,
        "client->notice_leaving();",
        "(void)client;",
        NET,
        "Departure.InTheKernelBehindTheRequestIsHeededBeforeItIsSentOn",
    ),
    (
        "the last moment before writing",
        UPSTREAM,
        "        if (!may_write(link, false)) return;\n",
        "",
        NET,
        "Departure.WhileAConnectionComesUpIsHeededBeforeItIsWrittenTo",
    ),
    (
        "a look when a connection is up",
        SIDECAR,
        "[this](AttemptKey key, bool begun) { return may_write(key, begun); }",
        "{}",
        NET,
        "Departure.IsLookedForWhenAConnectionHasComeUp",
    ),
    # The finds of the fault hunt (docs/incidents/2026-12-02-fault-hunt.md).
    (
        "aborted connections are no empty queue",
        LISTENER,
        "acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));",
        "",
        PROCESS,
        "AbortedConnection.IsNoEmptyQueue",
    ),
    (
        "interrupted sends go on",
        "src/net/socket_io.hpp",
        "} else if (errno != EINTR) {",
        "} else {",
        PROCESS,
        "PartialCalls.LoseNoRequestAndNoAnswer",
    ),
    (
        "a look before each further part",
        UPSTREAM,
        "if (!link->job->probe && !may_write(link, true)) return;",
        "",
        NET,
        "Departure.IsLookedForBeforeEachFurtherPart",
    ),
    (
        "short pauses after failed calls",
        MODULE,
        "kLongestResubscribe = 2000",
        "kLongestResubscribe = 8000",
        RULES,
        "Rule3.PausesBetweenFailedCallsKeepWithinTheTimeForAsking",
    ),
    (
        "the end of an answer without a length",
        UPSTREAM,
        "link->parser->put_eof(ec);",
        "{}",
        NET,
        "NoLength.IsWholeWhereItsServerEndsItAndSpoiltByAReset",
    ),
    (
        "time in the kernel",
        LISTENER,
        "std::max(std::exchange(waited_, 0), owner_.waited_for_loop())",
        "0",
        NET,
        "TimeLeft.RunsWhileTheProcessStandsStill",
    ),
    (
        "time ahead of its turn",
        LISTENER,
        "if (in_.size() > 0) ahead_since_ = began_;",
        "",
        NET,
        "TimeLeft.RunsWhileARequestAwaitsItsTurn",
    ),
    (
        "the start waits",
        STARTUP,
        "is_shortage(error.code()) ||",
        "",
        PROCESS,
        "Start.WaitsOutAMomentsShortage",
    ),
    (
        "faults of this machine",
        UPSTREAM,
        "if (is_local_fault(error)) return dial_again(link);",
        "",
        PROCESS,
        "LocalFault.OfAConnectIsWaitedOutAndSpendsNoAttempt",
    ),
    (
        "starts on the monotonic clock",
        SIDECAR,
        "start_times_.start_of(host.born, clock_.now())",
        "host.born",
        NET,
        "WallClock.AStepNeitherHidesThatAServerIsColdNorKeepsItCold",
    ),
    (
        "a new connection's grace in a drain",
        LISTENER,
        "&& !just_opened &&",
        "&&",
        NET,
        "Drain.LeavesANewConnectionTimeForItsFirstRequest",
    ),
    (
        "the guard of what runs once",
        GUARD,
        "if (request.kind.effect == Effect::once) return Withheld::may_have_run;",
        "",
        NET,
        "RuleGuard.WithholdsASendForEachReasonAndCountsWrongDecisions",
    ),
    (
        "parts written are withdrawn",
        UPSTREAM,
        "if (at->second->state != Link::State::reading) links.push_back(at->second);",
        "if (at->second->state == Link::State::connecting) links.push_back(at->second);",
        NET,
        "Departure.WithdrawsWhatIsWrittenInPart",
    ),
    (
        "what leaves is withdrawn from the module",
        SIDECAR,
        "    upstream_.withdraw_request(id);\n    push(ClientGone{id});\n",
        "    upstream_.withdraw_request(id);\n",
        NET,
        "Attempts.ClientGoneClosesTheAttempt",
    ),
    (
        "reading on past the bound",
        LISTENER,
        "        thrown_ = 0;\n        if (state_ == State::waiting) receive();\n",
        "        thrown_ = 0;\n",
        NET,
        "Departure.BehindAnyAmountSentAheadIsSeen",
    ),
    (
        "the bound on what is held ahead",
        LISTENER,
        "if (all > kMostAhead ||",
        "if (false &&",
        NET,
        "Departure.WhatIsSentAheadIsServedInTurnUpToABound",
    ),
    (
        "memory for what is held ahead",
        LISTENER,
        "owner_.body_bytes_ += ahead_claimed_;",
        "",
        NET,
        "Departure.WhatIsHeldAheadSharesTheMemoryAndGivesItBack",
    ),
    (
        "silent ones are looked at before they are closed",
        LISTENER,
        "if (state_ == State::idle && unread()) return;",
        "",
        NET,
        "Closing.ForSilenceTakesNoRequestThatHasJustCome",
    ),
    (
        "slow ones are looked at before they make room",
        LISTENER,
        " && session->unread())",
        " && false)",
        NET,
        "Closing.ForRoomTakesNoRequestThatHasJustComeWhole",
    ),
    (
        "quiet means nothing in the kernel",
        LISTENER,
        "!just_opened && !unread();",
        "!just_opened;",
        NET,
        "Drain.LeavesAConnectionWhoseRequestIsUnread",
    ),
    (
        "idle after the drain began",
        LISTENER,
        "if (owner_.draining_ && quiet()) return close(CloseReason::draining);",
        "",
        NET,
        "Drain.ClosesAConnectionWhoseAnswerWasOnItsWay",
    ),
    (
        "answers in a drain say close",
        LISTENER,
        "keep = keep && !owner_.draining_ &&",
        "keep = keep &&",
        NET,
        "Stopping.ServesOnThenEnds",
    ),
    (
        "the kill of long deadlines",
        NODE,
        "std::min(longest, kKillAfter)",
        "longest",
        NET,
        "Drain.WhatComesLateIsAnsweredBeforeTheKillOfLongDeadlines",
    ),
    (
        "half requests are told off",
        NODE,
        "if (clock_.now() >= tell_off_at_) listener_.tell_off();",
        "",
        NET,
        "Drain.HalfARequestIsToldOffBeforeTheEnd",
    ),
    (
        "no end before the last answer",
        NODE,
        "if (sidecar_.unanswered() == 0 && ((all_taken && !listener_.busy()) || clock_.now() >= stop_at_)) {",
        "if ((sidecar_.unanswered() == 0 && !listener_.busy()) || clock_.now() >= stop_at_) {",
        NET,
        "Drain.WaitsForTheDeadlinesOfAnOlderConfiguration",
    ),
    (
        "a drain's end stays where it was",
        NODE,
        "    if (stopped_) return;\n    stopped_ =",
        "    stopped_ =",
        NET,
        "Drain.ASecondSignalChangesNothing",
    ),
    (
        "what drains gets nothing",
        SIDECAR,
        "closed.push_back(id);",
        "{}",
        NET,
        "Attempts.ConnectingToADrainingServerIsNeverWritten",
    ),
    (
        "nor what is retried",
        [
            (MODULE, "if (!s.listed || s.info.phase != Phase::on) return false;  // rule 3", ""),
            (
                MODULE,
                "            if (s.listed && s.info.phase == Phase::on) open.push_back(&s), open_units",
                "            if (s.listed) open.push_back(&s), open_units",
            ),
            (SIDECAR, "server.serving |= begun;", "server.serving = true;"),
        ],
        NET,
        "List.WhatIsRetriedDoesNotGoToADrainingServer",
    ),
    (
        "a moved server takes along what connects",
        SIDECAR,
        "for (const ServerId id : moved) upstream_.withdraw_server(id);",
        "for (const ServerId id : moved) upstream_.retire(id);",
        NET,
        "List.AServerThatMovesTakesAlongWhatStillConnects",
    ),
    (
        "the list comes before what it withdraws",
        [
            (
                SIDECAR,
                "    push(std::move(event));\n    for (const ServerId id : moved)",
                "    for (const ServerId id : moved)",
            ),
            (
                SIDECAR,
                "    for (const ServerId id : closed) drop_server(id);",
                "    push(std::move(event));\n    for (const ServerId id : closed) drop_server(id);",
            ),
        ],
        NET,
        "List.WhatIsWithdrawnIsPlacedAnewByTheList",
    ),
    (
        "a repeat's time to be written",
        [
            (UPSTREAM, "clock_.point(std::min(patience, job.write_until))", "clock_.point(patience)"),
            (
                UPSTREAM,
                "    if (clock_.now() >= job.write_until) return end(link, Outcome::superseded, nullptr, false);\n",
                "",
            ),
        ],
        NET,
        "Attempt.NothingIsWrittenOnceTheServersHaveForgottenItsKey",
    ),
    (
        "a repeat's time as its server's memory has it",
        MODULE,
        "const Millis write_until = std::min(r.deadline, repeats_end(r));",
        "const Millis write_until = r.deadline;",
        NET,
        "Attempt.NothingIsWrittenOnceTheServersHaveForgottenItsKey",
    ),
    (
        "the rest of a repeat is not written",
        UPSTREAM,
        "    if (clock_.now() >= link->job->write_until) return end(link, Outcome::superseded, nullptr, false);\n",
        "",
        NET,
        "Attempt.TheRestIsNotWrittenOnceTheServersHaveForgottenItsKey",
    ),
    (
        "no descriptor is no server's fault",
        UPSTREAM,
        "> kMostRedials) return end(link, Outcome::superseded",
        "> kMostRedials) return end(link, Outcome::refused_connection",
        NET,
        "Pool.NoDescriptorIsNoFaultOfTheServer",
    ),
    (
        "idle for too long before any timer",
        UPSTREAM,
        " || now >= idle_until(*link)",
        "",
        NET,
        "Pool.AConnectionIdleForTooLongIsNotUsedBeforeItsTimerFires",
    ),
    (
        "resting ones are closed while the door is open",
        NODE,
        "        listener_.close_quiet();\n",
        "",
        NET,
        "Drain.WhoeverIsClosedWhileRestingMayAskOnANewConnection",
    ),
    (
        "the queue waits for descriptors",
        LISTENER,
        "is_shortage(ec)) {\n            return false;",
        "is_shortage(ec)) {\n            return true;",
        NET,
        "Drain.EmptiesTheQueueOnceThereAreDescriptors",
    ),
    (
        "as much is thrown away as kernels hold",
        LISTENER,
        "kThrownAway = 1024 * 1024",
        "kThrownAway = 256 * 1024",
        NET,
        "Departure.BehindAllThatAKernelHoldsIsSeenWithinSixLooks",
    ),
    (
        "a file half written is read again",
        NODE,
        "        if (reads > 1) {",
        "        if (false) {",
        NET,
        "Reload.AFileThatIsBeingWrittenIsReadAgain",
    ),
    (
        "discovery moves during a pause",
        DISCOVERY,
        "    active_ = true;  // a pause",
        "    // a pause",
        NET,
        "List.DiscoveryThatMovesDuringAPauseIsAskedAtOnce",
    ),
    (
        "a silent watch is given up",
        DISCOVERY,
        "constexpr double kLongestWaitMs = 2000;",
        "constexpr double kLongestWaitMs = 20000;",
        NET,
        "Watch.ThatFellSilentIsOpenedAnewWhileTheListMayStillBeOld",
    ),
    (
        "the last byte's configuration",
        LISTENER,
        "chunked || changed ? form_fault",
        "chunked ? form_fault",
        NET,
        "Generation.ARequestBelongsToTheOneInForceAtItsLastByte",
    ),
    (
        "the head's configuration",
        [
            (
                LISTENER,
                "    bool look_at_head() {\n        snapshot_ = owner_.sidecar_.snapshot();\n",
                "    bool look_at_head() {\n",
            ),
            (
                LISTENER,
                "        claim_ahead(0);  // its body",
                "        snapshot_ = owner_.sidecar_.snapshot();\n        // its",
            ),
        ],
        NET,
        "Generation.AClassOfTheSameNameHasItsNewEffect",
    ),
    (
        "an idle connection that has ended is not used",
        LOOKED_AT_WHEN_IDLE,
        NET,
        "Pool.AStaleConnectionIsNotWrittenTo",
    ),
    (
        "a connection settles",
        UPSTREAM,
        "if (link->idle_since > settled) continue;",
        "",
        NET,
        "Pool.AConnectionSettlesBeforeItIsUsedAgain",
    ),
    (
        "bytes behind an answer end its connection",
        UPSTREAM,
        "&& link->in.size() == 0 &&",
        "&&",
        NET,
        "Attempt.WhatComesBehindAnAnswerIsNobodys",
    ),
    (
        "idle connections go before the server closes them",
        UPSTREAM,
        "limits_.idle_close - std::min",
        "100000 - std::min",
        NET,
        "Pool.IdleConnectionsGoBeforeTheServersLimit",
    ),
    (
        "a reset may have run",
        MODULE,
        "if (r.kind.effect == Effect::once && r.first_possible_run()) return false;  // rule 2",
        "",
        NET,
        "All/Endings.AreToldTruly/reset_once",
    ),
    (
        "an attempt that is over is closed",
        CLOSED_WHEN_OVER,
        NET,
        "Attempts.TimedOutIsAnsweredByTheDeadlineAndClosed",
    ),
    (
        "a late answer finds its connection closed and its request answered",
        [
            (
                SIDECAR,
                "(outcome == Outcome::completed || unfit) && !request.ended && response",
                "(outcome == Outcome::completed || unfit) && response",
            ),
            (
                SIDECAR,
                "    if (request.ended) return;\n    request.ended = true;",
                "    request.ended = true;",
            ),
            (LISTENER, "        if (state_ != State::waiting) return;  // the client has left\n", ""),
        ]
        + CLOSED_WHEN_OVER,
        NET,
        "Attempts.ALateAnswerGoesNowhere",
    ),
    (
        "the module ends what its client left",
        MODULE,
        "        cancel_all(it->second);\n        it->second.ended = true;\n",
        "        cancel_all(it->second);\n",
        RULES,
        "Rules.HoldOverRandomLegalLives",
    ),
    (
        "half a request is answered",
        LISTENER,
        "if (state_ == State::reading) return reject(http::status::request_timeout);",
        "",
        NET,
        "BadRequests.TheSlowAreToldOffWithinThreeSeconds",
    ),
    (
        "reading goes on while a request waits",
        [
            (
                LISTENER,
                "        receive();\n    }\n\n    void trace_close(",
                "    }\n\n    void trace_close(",
            ),
            (LISTENER, "        if (state_ == State::waiting) receive();\n", ""),
        ],
        NET,
        "BadRequests.APipeliningClientThatLeavesIsNoticed",
    ),
    (
        "the queue is emptied",
        LISTENER,
        "        if (!ec) {\n            admit(std::move(socket));\n",
        "        if (!ec) {\n",
        NET,
        "Drain.LeavesAConnectionWhoseRequestIsUnread",
    ),
    (
        "a change in a drain is taken",
        NODE,
        "    const Millis start = clock_.now();\n    const SnapshotPtr running",
        "    if (stopped_) return {};\n    const Millis start = clock_.now();\n    const SnapshotPtr running",
        NET,
        "HardCases.ANewConfigurationDuringTheDrainIsTakenAndLengthensNothing",
    ),
    (
        "the list is followed in a drain",
        NODE,
        "    stopped_ = std::move(done);\n",
        "    stopped_ = std::move(done);\n    discovery_.watch(false);\n",
        NET,
        "Drain.StillFollowsTheList",
    ),
    (
        "short of its last byte it never ran",
        UPSTREAM,
        "short of that, it never ran.\n    if (transfer.error) return end(link, Outcome::refused_connection",
        "short of that, it never ran.\n    if (transfer.error) return end(link, Outcome::severed",
        NET,
        "Attempts.ResetBeforeTheLastByteNeverRan",
    ),
    ("an idle connection that talks goes", LOOKED_AT_WHEN_IDLE, NET, "Pool.ALeftoverIsNeverTheNextAnswer"),
    (
        "interim answers have an end",
        UPSTREAM,
        "|| ++link->interim > kMostInterim",
        "",
        NET,
        "Spoilt/Endings.AreToldTruly/endless_interim",
    ),
    (
        "nothing stays of a server that is gone",
        UPSTREAM,
        "    at->second->withdrawn = true;\n",
        "",
        NET,
        "Pool.NothingStaysOfServersThatAreGone",
    ),
    (
        "changes only after a call that failed",
        DISCOVERY,
        "call(gap_ || fetch_);",
        "call(true);",
        NET,
        "Watch.AfterACallThatFailedItAsksForChangesOnly",
    ),
    (
        "an older list changes nothing",
        DISCOVERY,
        'if (list.seq < seq_ && !counts_anew(list)) return unsound(call, "an older list");',
        "counts_anew(list);",
        NET,
        "Watch.SurvivesGarbageOldListsAndDowntime",
    ),
    (
        "discovery moves at once",
        DISCOVERY,
        "    if (old) old->stream->close();\n    kept_.reset();\n    seq_ = 0;",
        "    if (old) call_ = old;\n    kept_.reset();\n    seq_ = 0;",
        NET,
        "Watch.MovesWithTheConfigurationAtOnce",
    ),
    (
        "a request keeps its settings",
        MODULE,
        "r.settings = e.settings && !e.settings->classes.empty() ? e.settings : settings;",
        "r.settings = settings;",
        RULES,
        "Rules.HoldForEachRequestByTheSettingsItBeganWith",
    ),
    (
        "a lower limit is come to after the answers",
        UPSTREAM,
        "if (keep && open_ <= limits_.connections)",
        "if (keep)",
        NET,
        "HardCases.ALimitLoweredBelowWhatIsInUseCutsNoRequest",
    ),
    (
        "what was learnt stays",
        MODULE,
        "        settings = e.settings;\n",
        "        settings = e.settings;\n        for (auto& [id, s] : servers) s.filled = 0, s.standing = Standing::live;\n",
        RULES,
        "Change.WhatWasLearntAboutServersStays",
    ),
    (
        "a call given up is repeated",
        DISCOVERY,
        "    if (ec == beast::error::timeout)\n            given_up(call",
        "    if (ec == beast::error::timeout)\n            failed(call",
        NET,
        "List.ACallGivenUpForItsTimeIsRepeatedWithoutBeingToldAsFailed",
    ),
    (
        "half a request has its own time",
        LISTENER,
        "std::max(began_ + kReadTime, now + kLeastReadTime)",
        "now + kReadTime",
        NET,
        "BadRequests.HalfARequestBehindALongAnswerIsToldOffByItsOwnTime",
    ),
    (
        "and where it was not accepted at once",
        LISTENER,
        "std::max(kReadTime - waited_, kLeastReadTime)",
        "kReadTime",
        NET,
        "BadRequests.HalfARequestThatCouldNotBeAcceptedIsToldOffByItsOwnTime",
    ),
    (
        "no wait for the log's reader",
        "src/net/log.hpp",
        " || !log_takes_a_line()",
        "",
        PROCESS,
        "Log.ThatNobodyReadsHoldsUpNoRequest",
    ),
    (
        "no signal ends what has ended",
        "src/main.cpp",
        "    mask_signals(SIG_BLOCK);  // for good",
        "    // for good",
        PROCESS,
        "PlannedStops.EndWithZeroUnderNewConfigurationsUpToTheLastMoment",
    ),
    (
        "a margin in the time told",
        UPSTREAM,
        "return left - std::min(kTimeMargin, left * kTimeMarginShare);",
        "return left;",
        NET,
        "TimeLeft.LeavesAMarginForAProcessHeldUpBeforeItsWrite",
    ),
    (
        "a failure is told to a bounded number",
        MODULE,
        "std::min(settings->siblings / kToldPart, kMostTold)",
        "settings->siblings / kToldPart",
        RULES,
        "Gossip.CostsASidecarNoMoreInALargerFleet",
    ),
    (
        "the last moment of a key's window",
        MODULE,
        " - std::min(kHeldUp, window * kHeldUpShare)",
        "",
        RULES,
        "Rule2.ByKeyIsNotRepeatedInTheLastMomentOfItsWindow",
    ),
    (
        "an end before those behind are owed theirs",
        LISTENER,
        "        until_ = time_for_those_behind();\n        id_ =",
        "        until_ = 0;\n        id_ =",
        NET,
        "Ahead.ARequestEndsBeforeThoseBehindItAreOwedTheirAnswers",
    ),
]


def run(command, **more):
    return subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, **more)


def bring(source, to):
    """What is the same there keeps its time, so that it is not built again; what is not is as new as it is."""
    if not os.path.exists(to) or not filecmp.cmp(source, to, shallow=False):
        shutil.copyfile(source, to)
        shutil.copymode(source, to)
    return to


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--work")
    parser.add_argument("--only", default="", help="those whose words match this pattern")
    given = parser.parse_args()
    work = given.work or tempfile.mkdtemp(prefix="guarantees-")
    tree, build = os.path.join(work, "tree"), os.path.join(work, "build")
    for part in ("src", "include", "tests", "docs", "CMakeLists.txt"):
        source, to = os.path.join(ROOT, part), os.path.join(tree, part)
        if os.path.isdir(source):
            shutil.copytree(source, to, dirs_exist_ok=True, copy_function=bring)
        else:
            os.makedirs(tree, exist_ok=True)
            bring(source, to)
    jobs = str(os.cpu_count() or 2)
    configured = run(
        [
            "cmake",
            "-S",
            tree,
            "-B",
            build,
            "-DKELPLB_TESTS=ON",
            "-DKELPLB_LAB=OFF",
            "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
            "-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O1",
        ]
    )
    if configured.returncode:
        sys.exit(configured.stdout)

    def test(target, name):
        built = run(["cmake", "--build", build, "-j", jobs, "--target", target])
        if built.returncode:
            return "does not build: " + built.stdout[-2000:]
        try:
            ran = run([os.path.join(build, "tests", target), "--gtest_filter=" + name], timeout=60)
        except subprocess.TimeoutExpired:
            return "failed"
        if "[==========] 1 test " not in ran.stdout and ran.returncode == 0:
            return "no such test"
        return "failed" if ran.returncode else "passed"

    wrong = []
    for what, *where, target, name in TAKEN:
        if not re.search(given.only, what):
            continue
        parts = where[0] if isinstance(where[0], list) else [tuple(where)]
        before = {}
        try:
            for file, text, instead in parts:
                path = os.path.join(tree, file)
                with open(path, encoding="utf-8") as source:
                    whole = source.read()
                if whole.count(text) != 1:
                    sys.exit(f"{what}: its text stands {whole.count(text)} times in {file}")
                before.setdefault(path, whole)
                with open(path, "w", encoding="utf-8") as out:
                    out.write(whole.replace(text, instead))
            without = test(target, name)
        finally:
            for path, whole in before.items():
                with open(path, "w", encoding="utf-8") as out:
                    out.write(whole)
        print(f"{name} without {what}: {without}", flush=True)
        if without != "failed":
            wrong.append(f"{name} without {what}: {without}")
    for target in sorted({row[-2] for row in TAKEN}):
        for name in sorted({row[-1] for row in TAKEN if row[-2] == target and re.search(given.only, row[0])}):
            as_it_is = test(target, name)
            if as_it_is != "passed":
                wrong.append(f"{name} as it is: {as_it_is}")
    if not given.work:
        shutil.rmtree(work)
    print("\n".join(wrong) or "each test fails without its guarantee and passes with it")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
