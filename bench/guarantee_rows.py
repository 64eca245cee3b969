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

NET = "kelplb_net_tests"
RULES = "kelplb_tests"
PROCESS = "kelplb_crash_tests"

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
        "a look before sending",
        [Edit(SIDECAR, "client->notice_leaving();", "(void)client;")],
        NET,
        "Departure.InTheKernelBehindTheRequestIsHeededBeforeItIsSentOn",
    ),
    Guarantee(
        "the last moment before writing",
        [Edit(UPSTREAM, "        if (!may_write(link, false)) return;\n", "")],
        NET,
        "Departure.WhileAConnectionComesUpIsHeededBeforeItIsWrittenTo",
    ),
    Guarantee(
        "a look when a connection is up",
        [Edit(SIDECAR, "[this](AttemptKey key, bool begun) { return may_write(key, begun); }", "{}")],
        NET,
        "Departure.IsLookedForWhenAConnectionHasComeUp",
    ),
    # The findings of docs/incidents/2026-12-02-fault-hunt.md.
    Guarantee(
        "aborted connections are no empty queue",
        [Edit(LISTENER, "acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));", "")],
        PROCESS,
        "AbortedConnection.IsNoEmptyQueue",
    ),
    Guarantee(
        "interrupted sends go on",
        [Edit("src/net/socket_io.hpp", "} else if (errno != EINTR) {", "} else {")],
        PROCESS,
        "PartialCalls.LoseNoRequestAndNoAnswer",
    ),
    Guarantee(
        "a look before each further part",
        [Edit(UPSTREAM, "if (!link->job->probe && !may_write(link, true)) return;", "")],
        NET,
        "Departure.IsLookedForBeforeEachFurtherPart",
    ),
    Guarantee(
        "short pauses after failed calls",
        [Edit(MODULE, "kLongestResubscribe = 2000", "kLongestResubscribe = 8000")],
        RULES,
        "Rule3.PausesBetweenFailedCallsKeepWithinTheTimeForAsking",
    ),
    Guarantee(
        "the end of an answer without a length",
        [Edit(UPSTREAM, "link->parser->put_eof(ec);", "{}")],
        NET,
        "NoLength.IsWholeWhereItsServerEndsItAndSpoiltByAReset",
    ),
    Guarantee(
        "time in the kernel",
        [Edit(LISTENER, "std::max(std::exchange(waited_, 0), owner_.waited_for_loop())", "0")],
        NET,
        "TimeLeft.RunsWhileTheProcessStandsStill",
    ),
    Guarantee(
        "time ahead of its turn",
        [Edit(LISTENER, "if (in_.size() > 0) ahead_since_ = began_;", "")],
        NET,
        "TimeLeft.RunsWhileARequestAwaitsItsTurn",
    ),
    Guarantee(
        "the start waits",
        [Edit(STARTUP, "is_shortage(error.code()) ||", "")],
        PROCESS,
        "Start.WaitsOutAMomentsShortage",
    ),
    Guarantee(
        "faults of this machine",
        [Edit(UPSTREAM, "if (is_local_fault(error)) return dial_again(link);", "")],
        PROCESS,
        "LocalFault.OfAConnectIsWaitedOutAndSpendsNoAttempt",
    ),
    Guarantee(
        "starts on the monotonic clock",
        [Edit(SIDECAR, "start_times_.start_of(host.born, clock_.now())", "host.born")],
        NET,
        "WallClock.AStepNeitherHidesThatAServerIsColdNorKeepsItCold",
    ),
    Guarantee(
        "a new connection's grace in a drain",
        [Edit(LISTENER, "&& !just_opened &&", "&&")],
        NET,
        "Drain.LeavesANewConnectionTimeForItsFirstRequest",
    ),
    Guarantee(
        "the guard of what runs once",
        [Edit(GUARD, "if (request.kind.effect == Effect::once) return Withheld::may_have_run;", "")],
        NET,
        "RuleGuard.WithholdsASendForEachReasonAndCountsWrongDecisions",
    ),
    Guarantee(
        "parts written are withdrawn",
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
        "what leaves is withdrawn from the module",
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
        "reading on past the bound",
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
        "the bound on what is held ahead",
        [Edit(LISTENER, "if (all > kMostAhead ||", "if (false &&")],
        NET,
        "Departure.WhatIsSentAheadIsServedInTurnUpToABound",
    ),
    Guarantee(
        "memory for what is held ahead",
        [Edit(LISTENER, "owner_.body_bytes_ += ahead_claimed_;", "")],
        NET,
        "Departure.WhatIsHeldAheadSharesTheMemoryAndGivesItBack",
    ),
    Guarantee(
        "silent ones are looked at before they are closed",
        [Edit(LISTENER, "if (state_ == State::idle && unread()) return;", "")],
        NET,
        "Closing.ForSilenceTakesNoRequestThatHasJustCome",
    ),
    Guarantee(
        "slow ones are looked at before they make room",
        [Edit(LISTENER, " && session->unread())", " && false)")],
        NET,
        "Closing.ForRoomTakesNoRequestThatHasJustComeWhole",
    ),
    Guarantee(
        "quiet means nothing in the kernel",
        [Edit(LISTENER, "!just_opened && !unread();", "!just_opened;")],
        NET,
        "Drain.LeavesAConnectionWhoseRequestIsUnread",
    ),
    Guarantee(
        "idle after the drain began",
        [Edit(LISTENER, "if (owner_.draining_ && quiet()) return close(CloseReason::draining);", "")],
        NET,
        "Drain.ClosesAConnectionWhoseAnswerWasOnItsWay",
    ),
    Guarantee(
        "answers in a drain say close",
        [Edit(LISTENER, "keep = keep && !owner_.draining_ &&", "keep = keep &&")],
        NET,
        "Stopping.ServesOnThenEnds",
    ),
    Guarantee(
        "the kill of long deadlines",
        [Edit(NODE, "std::min(longest, kKillAfter)", "longest")],
        NET,
        "Drain.WhatComesLateIsAnsweredBeforeTheKillOfLongDeadlines",
    ),
    Guarantee(
        "half requests are told off",
        [Edit(NODE, "if (clock_.now() >= tell_off_at_) listener_.tell_off();", "")],
        NET,
        "Drain.HalfARequestIsToldOffBeforeTheEnd",
    ),
    Guarantee(
        "no end before the last answer",
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
        "a drain's end stays where it was",
        [Edit(NODE, "    if (stopped_) return;\n    stopped_ =", "    stopped_ =")],
        NET,
        "Drain.ASecondSignalChangesNothing",
    ),
    Guarantee(
        "what drains gets nothing",
        [Edit(SIDECAR, "closed.push_back(id);", "{}")],
        NET,
        "Attempts.ConnectingToADrainingServerIsNeverWritten",
    ),
    Guarantee(
        "nor what is retried",
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
        "a moved server takes along what connects",
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
        "the list comes before what it withdraws",
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
        "a repeat's time to be written",
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
        "a repeat's time as its server's memory has it",
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
        "the rest of a repeat is not written",
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
        "no descriptor is no server's fault",
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
        "idle for too long before any timer",
        [Edit(UPSTREAM, " || now >= idle_until(*link)", "")],
        NET,
        "Pool.AConnectionIdleForTooLongIsNotUsedBeforeItsTimerFires",
    ),
    Guarantee(
        "resting ones are closed while the door is open",
        [Edit(NODE, "        listener_.close_quiet();\n", "")],
        NET,
        "Drain.WhoeverIsClosedWhileRestingMayAskOnANewConnection",
    ),
    Guarantee(
        "the queue waits for descriptors",
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
        "as much is thrown away as kernels hold",
        [Edit(LISTENER, "kThrownAway = 1024 * 1024", "kThrownAway = 256 * 1024")],
        NET,
        "Departure.BehindAllThatAKernelHoldsIsSeenWithinSixLooks",
    ),
    Guarantee(
        "a file half written is read again",
        [Edit(NODE, "        if (reads > 1) {", "        if (false) {")],
        NET,
        "Reload.AFileThatIsBeingWrittenIsReadAgain",
    ),
    Guarantee(
        "discovery moves during a pause",
        [Edit(DISCOVERY, "    active_ = true;  // a pause", "    // a pause")],
        NET,
        "List.DiscoveryThatMovesDuringAPauseIsAskedAtOnce",
    ),
    Guarantee(
        "a silent watch is given up",
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
        "the last byte's configuration",
        [Edit(LISTENER, "chunked || changed ? form_fault", "chunked ? form_fault")],
        NET,
        "Generation.ARequestBelongsToTheOneInForceAtItsLastByte",
    ),
    Guarantee(
        "the head's configuration",
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
        "an idle connection that has ended is not used",
        LOOKED_AT_WHEN_IDLE,
        NET,
        "Pool.AStaleConnectionIsNotWrittenTo",
    ),
    Guarantee(
        "a connection settles",
        [Edit(UPSTREAM, "if (link->idle_since > settled) continue;", "")],
        NET,
        "Pool.AConnectionSettlesBeforeItIsUsedAgain",
    ),
    Guarantee(
        "bytes behind an answer end its connection",
        [Edit(UPSTREAM, "&& link->in.size() == 0 &&", "&&")],
        NET,
        "Attempt.WhatComesBehindAnAnswerIsNobodys",
    ),
    Guarantee(
        "idle connections go before the server closes them",
        [Edit(UPSTREAM, "limits_.idle_close - std::min", "100000 - std::min")],
        NET,
        "Pool.IdleConnectionsGoBeforeTheServersLimit",
    ),
    Guarantee(
        "a reset may have run",
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
        "an attempt that is over is closed",
        CLOSED_WHEN_OVER,
        NET,
        "Attempts.TimedOutIsAnsweredByTheDeadlineAndClosed",
    ),
    Guarantee(
        "a late answer finds its connection closed and its request answered",
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
        "the module ends what its client left",
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
        "half a request is answered",
        [Edit(LISTENER, "if (state_ == State::reading) return reject(http::status::request_timeout);", "")],
        NET,
        "BadRequests.TheSlowAreToldOffWithinThreeSeconds",
    ),
    Guarantee(
        "reading goes on while a request waits",
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
        "the queue is emptied",
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
        "a change in a drain is taken",
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
        "the list is followed in a drain",
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
        "short of its last byte it never ran",
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
        "an idle connection that talks goes", LOOKED_AT_WHEN_IDLE, NET, "Pool.ALeftoverIsNeverTheNextAnswer"
    ),
    Guarantee(
        "interim answers have an end",
        [Edit(UPSTREAM, "|| ++link->interim > kMostInterim", "")],
        NET,
        "Spoilt/Endings.AreToldTruly/endless_interim",
    ),
    Guarantee(
        "nothing stays of a server that is gone",
        [Edit(UPSTREAM, "    at->second->withdrawn = true;\n", "")],
        NET,
        "Pool.NothingStaysOfServersThatAreGone",
    ),
    Guarantee(
        "changes only after a call that failed",
        [Edit(DISCOVERY, "call(gap_ || fetch_);", "call(true);")],
        NET,
        "Watch.AfterACallThatFailedItAsksForChangesOnly",
    ),
    Guarantee(
        "an older list changes nothing",
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
        "discovery moves at once",
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
        "a request keeps its settings",
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
        "a lower limit is come to after the answers",
        [Edit(UPSTREAM, "if (keep && open_ <= limits_.connections)", "if (keep)")],
        NET,
        "HardCases.ALimitLoweredBelowWhatIsInUseCutsNoRequest",
    ),
    Guarantee(
        "what was learnt stays",
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
        "a call given up is repeated",
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
        "half a request has its own time",
        [Edit(LISTENER, "std::max(began_ + kReadTime, now + kLeastReadTime)", "now + kReadTime")],
        NET,
        "BadRequests.HalfARequestBehindALongAnswerIsToldOffByItsOwnTime",
    ),
    Guarantee(
        "and where it was not accepted at once",
        [Edit(LISTENER, "std::max(kReadTime - waited_, kLeastReadTime)", "kReadTime")],
        NET,
        "BadRequests.HalfARequestThatCouldNotBeAcceptedIsToldOffByItsOwnTime",
    ),
    Guarantee(
        "no wait for the log's reader",
        [Edit("src/net/log.hpp", " || !log_takes_a_line()", "")],
        PROCESS,
        "Log.ThatNobodyReadsHoldsUpNoRequest",
    ),
    Guarantee(
        "no signal ends what has ended",
        [Edit("src/main.cpp", "    mask_signals(SIG_BLOCK);  // for good", "    // for good")],
        PROCESS,
        "PlannedStops.EndWithZeroUnderNewConfigurationsUpToTheLastMoment",
    ),
    Guarantee(
        "a margin in the time told",
        [Edit(UPSTREAM, "return left - std::min(kTimeMargin, left * kTimeMarginShare);", "return left;")],
        NET,
        "TimeLeft.LeavesAMarginForAProcessHeldUpBeforeItsWrite",
    ),
    Guarantee(
        "a failure is told to a bounded number",
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
        "the last moment of a key's window",
        [Edit(MODULE, " - std::min(kHeldUp, window * kHeldUpShare)", "")],
        RULES,
        "Rule2.ByKeyIsNotRepeatedInTheLastMomentOfItsWindow",
    ),
    Guarantee(
        "an end before those behind are owed theirs",
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
