"""The guarantees that bench/guarantees.py removes one at a time: how, and the test that must then fail.

To add one, append a Guarantee. The text of an Edit must occur exactly once in its file.
"""

# The C++ texts are not split inside their lines, so that they can be searched for.
# pylint: disable=line-too-long

from dataclasses import dataclass


@dataclass(frozen=True)
class Edit:
    """Replaces `text`, which occurs once in `file` (relative to the repository's root), with `replacement`."""

    file: str
    text: str
    replacement: str


@dataclass(frozen=True)
class Guarantee:
    """One guarantee: the edits that together remove it, and the test that fails without it."""

    name: str
    edits: list  # of Edit
    target: str  # the test program
    test: str  # its GoogleTest name


LISTENER = "src/net/listener.cpp"
UPSTREAM = "src/net/upstream.cpp"
SIDECAR = "src/net/sidecar.cpp"
NODE = "src/net/node.cpp"
DISCOVERY = "src/net/discovery.cpp"
MODULE = "src/balance.cpp"
GUARD = "src/net/rule_guard.cpp"
STARTUP = "src/net/startup.hpp"

NET = "ochregrade_net_tests"
RULES = "ochregrade_tests"
PROCESS = "ochregrade_crash_tests"

# Edits that more than one guarantee needs.
CLOSED_WHEN_OVER = [
    Edit(
        UPSTREAM,
        "void Upstream::expire(AttemptKey key) { stop(key, Outcome::refused_connection, Outcome::overdue); }",
        "void Upstream::expire(AttemptKey) {}",
    ),
    Edit(
        UPSTREAM,
        "void Upstream::cancel(AttemptKey key) { stop(key, Outcome::superseded, Outcome::recalled); }",
        "void Upstream::cancel(AttemptKey) {}",
    ),
]
LOOKED_AT_WHEN_IDLE = [
    Edit(UPSTREAM, " || peek(link->socket) != Quiet::nothing) {", ") {"),
    Edit(
        UPSTREAM,
        (
            "if (link->state == Link::State::idle && peek(link->socket) != Quiet::nothing)\n"
            "            drop("
        ),
        "if (false)\n            drop(",
    ),
]

GUARANTEES = [
    Guarantee(
        "check for a departed client before sending",
        [Edit(SIDECAR, "client->notice_leaving();", "(void)client;")],
        NET,
        "Departure.InTheKernelBehindTheRequestIsHeededBeforeItIsSentOn",
    ),
    Guarantee(
        "check for a departed client just before writing",
        [Edit(UPSTREAM, "        if (!may_write(link, false)) return;\n", "")],
        NET,
        "Departure.WhileAConnectionComesUpIsHeededBeforeItIsWrittenTo",
    ),
    Guarantee(
        "check for a departed client when a connection is established",
        [Edit(SIDECAR, "[this](AttemptKey key, bool begun) { return may_write(key, begun); }", "{}")],
        NET,
        "Departure.IsLookedForWhenAConnectionHasComeUp",
    ),
    # The findings of docs/incidents/2026-12-02-fault-hunt.md.
    Guarantee(
        "an aborted connection does not mean an empty backlog",
        [Edit(LISTENER, "acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));", "")],
        PROCESS,
        "AbortedConnection.IsNoEmptyQueue",
    ),
    Guarantee(
        "interrupted sends continue",
        [Edit("src/net/socket_io.hpp", "} else if (errno != EINTR) {", "} else {")],
        PROCESS,
        "PartialCalls.LoseNoRequestAndNoAnswer",
    ),
    Guarantee(
        "check for a departed client before each further part",
        [Edit(UPSTREAM, "if (!link->job->probe && !may_write(link, true)) return;", "")],
        NET,
        "Departure.IsLookedForBeforeEachFurtherPart",
    ),
    Guarantee(
        "short pauses after failed discovery calls",
        [Edit(MODULE, "kLongestResubscribe = 2000", "kLongestResubscribe = 8000")],
        RULES,
        "Rule3.PausesBetweenFailedCallsKeepWithinTheTimeForAsking",
    ),
    Guarantee(
        "the end of a response without a length",
        [Edit(UPSTREAM, "link->parser->put_eof(ec);", "{}")],
        NET,
        "NoLength.IsWholeWhereItsServerEndsItAndSpoiltByAReset",
    ),
    Guarantee(
        "waiting in the kernel counts as time spent",
        [Edit(LISTENER, "std::max(std::exchange(waited_, 0), owner_.waited_for_loop())", "0")],
        NET,
        "TimeLeft.RunsWhileTheProcessStandsStill",
    ),
    Guarantee(
        "waiting behind pipelined requests counts as time spent",
        [Edit(LISTENER, "if (in_.size() > 0) ahead_since_ = began_;", "")],
        NET,
        "TimeLeft.RunsWhileARequestAwaitsItsTurn",
    ),
    Guarantee(
        "the start waits for missing resources",
        [Edit(STARTUP, "is_shortage(error.code()) ||", "")],
        PROCESS,
        "Start.WaitsOutAMomentsShortage",
    ),
    Guarantee(
        "a local fault spends no attempt",
        [Edit(UPSTREAM, "if (is_local_fault(error)) return dial_again(link);", "")],
        PROCESS,
        "LocalFault.OfAConnectIsWaitedOutAndSpendsNoAttempt",
    ),
    Guarantee(
        "server start times on the monotonic clock",
        [Edit(SIDECAR, "start_times_.start_of(host.born, clock_.now())", "host.born")],
        NET,
        "WallClock.AStepNeitherHidesThatAServerIsColdNorKeepsItCold",
    ),
    Guarantee(
        "time for a new connection's first request in a drain",
        [Edit(LISTENER, "&& !just_opened &&", "&&")],
        NET,
        "Drain.LeavesANewConnectionTimeForItsFirstRequest",
    ),
    Guarantee(
        "the guard of requests that run once",
        [Edit(GUARD, "if (request.kind.effect == Effect::once) return Withheld::may_have_run;", "")],
        NET,
        "RuleGuard.WithholdsASendForEachReasonAndCountsWrongDecisions",
    ),
    Guarantee(
        "partly written requests are withdrawn",
        [
            Edit(
                UPSTREAM,
                "if (at->second->state != Link::State::reading) links.push_back(at->second);",
                "if (at->second->state == Link::State::connecting) links.push_back(at->second);",
            )
        ],
        NET,
        "Departure.WithdrawsWhatIsWrittenInPart",
    ),
    Guarantee(
        "a departed client is reported to the balancer",
        [
            Edit(
                SIDECAR,
                "    upstream_.withdraw_request(id);\n    push(ClientGone{id});\n",
                "    upstream_.withdraw_request(id);\n",
            )
        ],
        NET,
        "Attempts.ClientGoneClosesTheAttempt",
    ),
    Guarantee(
        "reading continues past the bound on pipelined bytes",
        [
            Edit(
                LISTENER,
                ("        thrown_ = 0;\n        if (state_ == State::waiting) receive();\n"),
                "        thrown_ = 0;\n",
            )
        ],
        NET,
        "Departure.BehindAnyAmountSentAheadIsSeen",
    ),
    Guarantee(
        "the bound on pipelined bytes",
        [Edit(LISTENER, "if (all > kMostAhead ||", "if (false &&")],
        NET,
        "Departure.WhatIsSentAheadIsServedInTurnUpToABound",
    ),
    Guarantee(
        "pipelined bytes count towards the memory limit",
        [Edit(LISTENER, "owner_.body_bytes_ += ahead_claimed_;", "")],
        NET,
        "Departure.WhatIsHeldAheadSharesTheMemoryAndGivesItBack",
    ),
    Guarantee(
        "idle connections are checked for bytes before they are closed",
        [Edit(LISTENER, "if (state_ == State::idle && unread()) return;", "")],
        NET,
        "Closing.ForSilenceTakesNoRequestThatHasJustCome",
    ),
    Guarantee(
        "slow connections are checked for bytes before they are evicted",
        [Edit(LISTENER, " && session->unread())", " && false)")],
        NET,
        "Closing.ForRoomTakesNoRequestThatHasJustComeWhole",
    ),
    Guarantee(
        "an idle connection has no unread bytes in the kernel",
        [Edit(LISTENER, "!just_opened && !unread();", "!just_opened;")],
        NET,
        "Drain.LeavesAConnectionWhoseRequestIsUnread",
    ),
    Guarantee(
        "a connection that becomes idle in a drain is closed",
        [Edit(LISTENER, "if (owner_.draining_ && quiet()) return close(CloseReason::draining);", "")],
        NET,
        "Drain.ClosesAConnectionWhoseAnswerWasOnItsWay",
    ),
    Guarantee(
        "responses in a drain have Connection: close",
        [Edit(LISTENER, "keep = keep && !owner_.draining_ &&", "keep = keep &&")],
        NET,
        "Stopping.ServesOnThenEnds",
    ),
    Guarantee(
        "a drain ends before the kill",
        [Edit(NODE, "std::min(longest, kKillAfter)", "longest")],
        NET,
        "Drain.WhatComesLateIsAnsweredBeforeTheKillOfLongDeadlines",
    ),
    Guarantee(
        "half requests are answered before a drain ends",
        [Edit(NODE, "if (clock_.now() >= tell_off_at_) listener_.tell_off();", "")],
        NET,
        "Drain.HalfARequestIsToldOffBeforeTheEnd",
    ),
    Guarantee(
        "a drain does not end before the last response",
        [
            Edit(
                NODE,
                "if (sidecar_.unanswered() == 0 && ((all_taken && !listener_.busy()) || clock_.now() >= stop_at_)) {",
                "if ((sidecar_.unanswered() == 0 && !listener_.busy()) || clock_.now() >= stop_at_) {",
            )
        ],
        NET,
        "Drain.WaitsForTheDeadlinesOfAnOlderConfiguration",
    ),
    Guarantee(
        "a second signal does not move the end of a drain",
        [Edit(NODE, "    if (stopped_) return;\n    stopped_ =", "    stopped_ =")],
        NET,
        "Drain.ASecondSignalChangesNothing",
    ),
    Guarantee(
        "a draining server gets nothing new",
        [Edit(SIDECAR, "closed.push_back(id);", "{}")],
        NET,
        "Attempts.ConnectingToADrainingServerIsNeverWritten",
    ),
    Guarantee(
        "a draining server gets no retries",
        [
            Edit(MODULE, "if (!s.listed || s.info.phase != Phase::on) return false;  // rule 3", ""),
            Edit(
                MODULE,
                "            if (s.listed && s.info.phase == Phase::on) open.push_back(&s), open_units",
                "            if (s.listed) open.push_back(&s), open_units",
            ),
            Edit(SIDECAR, "server.serving |= begun;", "server.serving = true;"),
        ],
        NET,
        "List.WhatIsRetriedDoesNotGoToADrainingServer",
    ),
    Guarantee(
        "connecting attempts are withdrawn from a server that moves",
        [
            Edit(
                SIDECAR,
                "for (const ServerId id : moved) upstream_.withdraw_server(id);",
                "for (const ServerId id : moved) upstream_.retire(id);",
            )
        ],
        NET,
        "List.AServerThatMovesTakesAlongWhatStillConnects",
    ),
    Guarantee(
        "a new list is applied before attempts are withdrawn",
        [
            Edit(
                SIDECAR,
                "    push(std::move(event));\n    for (const ServerId id : moved)",
                "    for (const ServerId id : moved)",
            ),
            Edit(
                SIDECAR,
                "    for (const ServerId id : closed) drop_server(id);",
                ("    push(std::move(event));\n    for (const ServerId id : closed) drop_server(id);"),
            ),
        ],
        NET,
        "List.WhatIsWithdrawnIsPlacedAnewByTheList",
    ),
    Guarantee(
        "a repeat is written before its deduplication window ends",
        [
            Edit(UPSTREAM, "clock_.point(std::min(patience, job.write_until))", "clock_.point(patience)"),
            Edit(
                UPSTREAM,
                "    if (clock_.now() >= job.write_until) return end(link, Outcome::superseded, nullptr, false);\n",
                "",
            ),
        ],
        NET,
        "Attempt.NothingIsWrittenOnceTheServersHaveForgottenItsKey",
    ),
    Guarantee(
        "a repeat's deadline by the server's deduplication window",
        [
            Edit(
                MODULE,
                "const Millis write_until = std::min(r.deadline, repeats_end(r));",
                "const Millis write_until = r.deadline;",
            )
        ],
        NET,
        "Attempt.NothingIsWrittenOnceTheServersHaveForgottenItsKey",
    ),
    Guarantee(
        "the rest of a repeat is not written after its window",
        [
            Edit(
                UPSTREAM,
                "    if (clock_.now() >= link->job->write_until) return end(link, Outcome::superseded, nullptr, false);\n",
                "",
            )
        ],
        NET,
        "Attempt.TheRestIsNotWrittenOnceTheServersHaveForgottenItsKey",
    ),
    Guarantee(
        "a lack of descriptors is not the server's failure",
        [
            Edit(
                UPSTREAM,
                "> kMostRedials) return end(link, Outcome::superseded",
                "> kMostRedials) return end(link, Outcome::refused_connection",
            )
        ],
        NET,
        "Pool.NoDescriptorIsNoFaultOfTheServer",
    ),
    Guarantee(
        "an expired idle connection is not used before its timer fires",
        [Edit(UPSTREAM, " || now >= idle_until(*link)", "")],
        NET,
        "Pool.AConnectionIdleForTooLongIsNotUsedBeforeItsTimerFires",
    ),
    Guarantee(
        "idle connections are closed while new ones are accepted",
        [Edit(NODE, "        listener_.close_quiet();\n", "")],
        NET,
        "Drain.WhoeverIsClosedWhileRestingMayAskOnANewConnection",
    ),
    Guarantee(
        "the backlog waits for descriptors",
        [
            Edit(
                LISTENER,
                "is_shortage(ec)) {\n            return false;",
                "is_shortage(ec)) {\n            return true;",
            )
        ],
        NET,
        "Drain.EmptiesTheQueueOnceThereAreDescriptors",
    ),
    Guarantee(
        "as much is discarded as kernel buffers hold",
        [Edit(LISTENER, "kThrownAway = 1024 * 1024", "kThrownAway = 256 * 1024")],
        NET,
        "Departure.BehindAllThatAKernelHoldsIsSeenWithinSixLooks",
    ),
    Guarantee(
        "a partly written file is read again",
        [Edit(NODE, "        if (reads > 1) {", "        if (false) {")],
        NET,
        "Reload.AFileThatIsBeingWrittenIsReadAgain",
    ),
    Guarantee(
        "a move of discovery ends a retry pause",
        [Edit(DISCOVERY, "    active_ = true;  // a pause", "    // a pause")],
        NET,
        "List.DiscoveryThatMovesDuringAPauseIsAskedAtOnce",
    ),
    Guarantee(
        "a silent watch is closed",
        [
            Edit(
                DISCOVERY,
                "constexpr double kLongestWaitMs = 2000;",
                "constexpr double kLongestWaitMs = 20000;",
            )
        ],
        NET,
        "Watch.ThatFellSilentIsOpenedAnewWhileTheListMayStillBeOld",
    ),
    Guarantee(
        "a request belongs to the configuration at its last byte",
        [Edit(LISTENER, "chunked || changed ? form_fault", "chunked ? form_fault")],
        NET,
        "Generation.ARequestBelongsToTheOneInForceAtItsLastByte",
    ),
    Guarantee(
        "the configuration is taken anew at a request's head",
        [
            Edit(
                LISTENER,
                ("    bool look_at_head() {\n        snapshot_ = owner_.sidecar_.snapshot();\n"),
                "    bool look_at_head() {\n",
            ),
            Edit(
                LISTENER,
                "        claim_ahead(0);  // its body",
                "        snapshot_ = owner_.sidecar_.snapshot();\n        // its",
            ),
        ],
        NET,
        "Generation.AClassOfTheSameNameHasItsNewEffect",
    ),
    Guarantee(
        "a closed idle connection is not used",
        LOOKED_AT_WHEN_IDLE,
        NET,
        "Pool.AStaleConnectionIsNotWrittenTo",
    ),
    Guarantee(
        "a connection is reused only after a settling time",
        [Edit(UPSTREAM, "if (link->idle_since > settled) continue;", "")],
        NET,
        "Pool.AConnectionSettlesBeforeItIsUsedAgain",
    ),
    Guarantee(
        "bytes after a response close its connection",
        [Edit(UPSTREAM, "&& link->in.size() == 0 &&", "&&")],
        NET,
        "Attempt.WhatComesBehindAnAnswerIsNobodys",
    ),
    Guarantee(
        "idle connections are closed before the server does so",
        [Edit(UPSTREAM, "limits_.idle_close - std::min", "100000 - std::min")],
        NET,
        "Pool.IdleConnectionsGoBeforeTheServersLimit",
    ),
    Guarantee(
        "a request whose connection was reset may have run",
        [
            Edit(
                MODULE,
                "if (r.kind.effect == Effect::once && r.first_possible_run()) return false;  // rule 2",
                "",
            )
        ],
        NET,
        "All/Endings.AreToldTruly/reset_once",
    ),
    Guarantee(
        "the connection of a finished attempt is closed",
        CLOSED_WHEN_OVER,
        NET,
        "Attempts.TimedOutIsAnsweredByTheDeadlineAndClosed",
    ),
    Guarantee(
        "a late response finds its connection closed and its request answered",
        [
            Edit(
                SIDECAR,
                "(outcome == Outcome::completed || unfit) && !request.ended && response",
                "(outcome == Outcome::completed || unfit) && response",
            ),
            Edit(
                SIDECAR,
                "    if (request.ended) return;\n    request.ended = true;",
                "    request.ended = true;",
            ),
            Edit(LISTENER, "        if (state_ != State::waiting) return;  // the client has left\n", ""),
            *CLOSED_WHEN_OVER,
        ],
        NET,
        "Attempts.ALateAnswerGoesNowhere",
    ),
    Guarantee(
        "the balancer ends the requests of departed clients",
        [
            Edit(
                MODULE,
                "        cancel_all(it->second);\n        it->second.ended = true;\n",
                "        cancel_all(it->second);\n",
            )
        ],
        RULES,
        "Rules.HoldOverRandomLegalLives",
    ),
    Guarantee(
        "half a request is answered with 408",
        [Edit(LISTENER, "if (state_ == State::reading) return reject(http::status::request_timeout);", "")],
        NET,
        "BadRequests.TheSlowAreToldOffWithinThreeSeconds",
    ),
    Guarantee(
        "reading continues while a request waits",
        [
            Edit(
                LISTENER,
                "        receive();\n    }\n\n    void trace_close(",
                "    }\n\n    void trace_close(",
            ),
            Edit(LISTENER, "        if (state_ == State::waiting) receive();\n", ""),
        ],
        NET,
        "BadRequests.APipeliningClientThatLeavesIsNoticed",
    ),
    Guarantee(
        "the backlog is emptied in a drain",
        [
            Edit(
                LISTENER,
                "        if (!ec) {\n            admit(std::move(socket));\n",
                "        if (!ec) {\n",
            )
        ],
        NET,
        "Drain.LeavesAConnectionWhoseRequestIsUnread",
    ),
    Guarantee(
        "a configuration change during a drain is applied",
        [
            Edit(
                NODE,
                ("    const Millis start = clock_.now();\n    const SnapshotPtr running"),
                (
                    "    if (stopped_) return {};\n"
                    "    const Millis start = clock_.now();\n"
                    "    const SnapshotPtr running"
                ),
            )
        ],
        NET,
        "HardCases.ANewConfigurationDuringTheDrainIsTakenAndLengthensNothing",
    ),
    Guarantee(
        "list changes are followed in a drain",
        [
            Edit(
                NODE,
                "    stopped_ = std::move(done);\n",
                "    stopped_ = std::move(done);\n    discovery_.watch(false);\n",
            )
        ],
        NET,
        "Drain.StillFollowsTheList",
    ),
    Guarantee(
        "a request without its last byte did not run",
        [
            Edit(
                UPSTREAM,
                (
                    "short of that, it never ran.\n"
                    "    if (transfer.error) return end(link, Outcome::refused_connection"
                ),
                (
                    "short of that, it never ran.\n"
                    "    if (transfer.error) return end(link, Outcome::severed"
                ),
            )
        ],
        NET,
        "Attempts.ResetBeforeTheLastByteNeverRan",
    ),
    Guarantee(
        "an idle connection with unexpected bytes is closed",
        LOOKED_AT_WHEN_IDLE,
        NET,
        "Pool.ALeftoverIsNeverTheNextAnswer",
    ),
    Guarantee(
        "the number of interim responses is bounded",
        [Edit(UPSTREAM, "|| ++link->interim > kMostInterim", "")],
        NET,
        "Spoilt/Endings.AreToldTruly/endless_interim",
    ),
    Guarantee(
        "nothing remains of a removed server",
        [Edit(UPSTREAM, "    at->second->withdrawn = true;\n", "")],
        NET,
        "Pool.NothingStaysOfServersThatAreGone",
    ),
    Guarantee(
        "only changes are requested after a failed call",
        [Edit(DISCOVERY, "call(gap_ || fetch_);", "call(true);")],
        NET,
        "Watch.AfterACallThatFailedItAsksForChangesOnly",
    ),
    Guarantee(
        "an older list is ignored",
        [
            Edit(
                DISCOVERY,
                'if (list.seq < seq_ && !counts_anew(list)) return unsound(call, "an older list");',
                "counts_anew(list);",
            )
        ],
        NET,
        "Watch.SurvivesGarbageOldListsAndDowntime",
    ),
    Guarantee(
        "a move of discovery takes effect at once",
        [
            Edit(
                DISCOVERY,
                ("    if (old) old->stream->close();\n    kept_.reset();\n    seq_ = 0;"),
                "    if (old) call_ = old;\n    kept_.reset();\n    seq_ = 0;",
            )
        ],
        NET,
        "Watch.MovesWithTheConfigurationAtOnce",
    ),
    Guarantee(
        "a request retains the settings it began with",
        [
            Edit(
                MODULE,
                "r.settings = e.settings && !e.settings->classes.empty() ? e.settings : settings;",
                "r.settings = settings;",
            )
        ],
        RULES,
        "Rules.HoldForEachRequestByTheSettingsItBeganWith",
    ),
    Guarantee(
        "a lowered connection limit waits for the responses",
        [Edit(UPSTREAM, "if (keep && open_ <= limits_.connections)", "if (keep)")],
        NET,
        "HardCases.ALimitLoweredBelowWhatIsInUseCutsNoRequest",
    ),
    Guarantee(
        "a new configuration retains what was learnt about servers",
        [
            Edit(
                MODULE,
                "        settings = e.settings;\n",
                (
                    "        settings = e.settings;\n"
                    "        for (auto& [id, s] : servers) s.filled = 0, s.standing = Standing::live;\n"
                ),
            )
        ],
        RULES,
        "Change.WhatWasLearntAboutServersStays",
    ),
    Guarantee(
        "a discovery call that timed out is repeated",
        [
            Edit(
                DISCOVERY,
                "    if (ec == beast::error::timeout)\n            given_up(call",
                "    if (ec == beast::error::timeout)\n            failed(call",
            )
        ],
        NET,
        "List.ACallGivenUpForItsTimeIsRepeatedWithoutBeingToldAsFailed",
    ),
    Guarantee(
        "half a request has its own timeout",
        [Edit(LISTENER, "std::max(began_ + kReadTime, now + kLeastReadTime)", "now + kReadTime")],
        NET,
        "BadRequests.HalfARequestBehindALongAnswerIsToldOffByItsOwnTime",
    ),
    Guarantee(
        "half a request accepted late has its own timeout",
        [Edit(LISTENER, "std::max(kReadTime - waited_, kLeastReadTime)", "kReadTime")],
        NET,
        "BadRequests.HalfARequestThatCouldNotBeAcceptedIsToldOffByItsOwnTime",
    ),
    Guarantee(
        "a full log pipe does not block",
        [Edit("src/net/log.hpp", " || !log_takes_a_line()", "")],
        PROCESS,
        "Log.ThatNobodyReadsHoldsUpNoRequest",
    ),
    Guarantee(
        "no signal kills a process that is exiting",
        [Edit("src/main.cpp", "    mask_signals(SIG_BLOCK);  // for good", "    // for good")],
        PROCESS,
        "PlannedStops.EndWithZeroUnderNewConfigurationsUpToTheLastMoment",
    ),
    Guarantee(
        "a margin in the time left that is sent on",
        [Edit(UPSTREAM, "return left - std::min(kTimeMargin, left * kTimeMarginShare);", "return left;")],
        NET,
        "TimeLeft.LeavesAMarginForAProcessHeldUpBeforeItsWrite",
    ),
    Guarantee(
        "a failure is sent to a bounded number of peers",
        [
            Edit(
                MODULE,
                "std::min(settings->siblings / kToldPart, kMostTold)",
                "settings->siblings / kToldPart",
            )
        ],
        RULES,
        "Gossip.CostsASidecarNoMoreInALargerFleet",
    ),
    Guarantee(
        "no repeat at the very end of a deduplication window",
        [Edit(MODULE, " - std::min(kHeldUp, window * kHeldUpShare)", "")],
        RULES,
        "Rule2.ByKeyIsNotRepeatedInTheLastMomentOfItsWindow",
    ),
    Guarantee(
        "a request ends before the pipelined ones behind it are due",
        [
            Edit(
                LISTENER,
                "        until_ = time_for_those_behind();\n        id_ =",
                "        until_ = 0;\n        id_ =",
            )
        ],
        NET,
        "Ahead.ARequestEndsBeforeThoseBehindItAreOwedTheirAnswers",
    ),
]
