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


LISTENER = "src/proxy/listener.cpp"
SESSION = "src/proxy/client_session.cpp"
SESSION_INPUT = "src/proxy/client_session_input.cpp"
CONNECTION = "src/proxy/upstream_connection.cpp"
POOL = "src/proxy/upstream_pool.cpp"
DRIVER = "src/proxy/balancer_driver.cpp"
PROXY_ENDPOINTS = "src/proxy/endpoint_table.cpp"
RULE_GUARD = "src/proxy/rule_guard.cpp"
NODE = "src/process/node.cpp"
NODE_HEADER = "src/process/node.hpp"
SHUTDOWN = "src/process/graceful_shutdown.cpp"
RELOADER = "src/process/config_reloader.cpp"
DISCOVERY = "src/discovery/discovery_client.cpp"
BALANCER = "src/balancer/balancer.cpp"
RETRY_POLICY = "src/balancer/retry_policy.cpp"
SCHEDULER = "src/balancer/request_scheduler.cpp"
ENDPOINT_WATCH = "src/balancer/endpoint_watch.cpp"
ENDPOINTS = "src/balancer/endpoint_table.cpp"
GOSSIP = "src/balancer/failure_gossip.cpp"
SOCKET_IO = "src/common/socket_io.hpp"
STARTUP = "src/common/open_with_retry.hpp"
LOG = "src/common/log.cpp"
MAIN = "src/main.cpp"

PROXY_TESTS = "ochregrade_proxy_tests"
DISCOVERY_TESTS = "ochregrade_discovery_tests"
PROGRAM_TESTS = "ochregrade_program_tests"
PROCESS_TESTS = "ochregrade_process_tests"
CRASH_TESTS = "ochregrade_crash_tests"
BALANCER_TESTS = "ochregrade_balancer_tests"

# Edits that more than one guarantee needs.
CLOSED_WHEN_OVER = [
    Edit(
        POOL,
        "void UpstreamPool::expire(AttemptKey key) { stop(key, Outcome::connect_failure, Outcome::timeout); }",
        "void UpstreamPool::expire(AttemptKey) {}",
    ),
    Edit(
        POOL,
        "void UpstreamPool::cancel(AttemptKey key) { stop(key, Outcome::not_sent, Outcome::cancelled); }",
        "void UpstreamPool::cancel(AttemptKey) {}",
    ),
]
LOOKED_AT_WHEN_IDLE = [
    Edit(
        POOL, "if (state == SocketState::no_data) return {};", "if (state <= SocketState::closed) return {};"
    ),
    Edit(CONNECTION, "if (state_ != State::idle) return;", "if (state_ <= State::closed) return;"),
]

GUARANTEES = [
    Guarantee(
        "check for a departed client before sending",
        [Edit(DRIVER, "client->check_disconnected();", "(void)client;")],
        PROXY_TESTS,
        "ClientDisconnect.UnreadInKernelIsDetectedBeforeSend",
    ),
    Guarantee(
        "check for a departed client just before writing",
        [Edit(CONNECTION, "        if (!owner_.may_write(shared_from_this(), false)) return;\n", "")],
        PROXY_TESTS,
        "ClientDisconnect.DuringConnectPreventsWrite",
    ),
    Guarantee(
        "check for a departed client when a connection is established",
        [
            Edit(
                DRIVER,
                "[this](AttemptKey key, bool partly_written) { return may_write(key, partly_written); }",
                "{}",
            )
        ],
        PROXY_TESTS,
        "ClientDisconnect.IsCheckedAfterConnect",
    ),
    # The findings of docs/incidents/2026-12-02-fault-hunt.md.
    Guarantee(
        "an aborted connection does not mean an empty backlog",
        [Edit(LISTENER, "acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));", "")],
        PROGRAM_TESTS,
        "AbortedConnection.IsNotTakenForEmptyAcceptQueue",
    ),
    Guarantee(
        "interrupted sends continue",
        [Edit(SOCKET_IO, "} else if (errno != EINTR) {", "} else {")],
        PROGRAM_TESTS,
        "PartialSystemCalls.LoseNoRequestOrResponse",
    ),
    Guarantee(
        "check for a departed client before each further part",
        [
            Edit(
                CONNECTION,
                "if (!exchange_->is_probe && !owner_.may_write(shared_from_this(), true)) return;",
                "",
            )
        ],
        PROXY_TESTS,
        "ClientDisconnect.IsCheckedBeforeEachFurtherWrite",
    ),
    Guarantee(
        "short pauses after failed discovery calls",
        [Edit(ENDPOINT_WATCH, "kMaxRetryDelay = 2000", "kMaxRetryDelay = 8000")],
        BALANCER_TESTS,
        "EndpointDiscovery.ThePollIntervalBoundsTheBackoffAfterFailedCalls",
    ),
    Guarantee(
        "the end of a response without a length",
        [Edit(CONNECTION, "parser_->put_eof(ec);", "{}")],
        PROXY_TESTS,
        "ResponseWithoutLength.IsCompleteAtCloseAndInvalidAfterReset",
    ),
    Guarantee(
        "waiting in the kernel counts as time spent",
        [Edit(SESSION, "std::max(std::exchange(waited_, 0), context_.loop_waited())", "0")],
        PROXY_TESTS,
        "PropagatedDeadline.CountsTimeWhileProcessIsPaused",
    ),
    Guarantee(
        "waiting behind pipelined requests counts as time spent",
        [Edit(SESSION, "if (input_.size() > 0) pipelined_since_ = request_started_at_;", "")],
        PROXY_TESTS,
        "PropagatedDeadline.CountsTimeWhilePipelinedRequestWaits",
    ),
    Guarantee(
        "the start waits for missing resources",
        [Edit(STARTUP, "is_resource_shortage(error.code()) ||", "")],
        PROGRAM_TESTS,
        "Startup.RetriesAfterShortResourceShortage",
    ),
    Guarantee(
        "a local fault spends no attempt",
        [Edit(CONNECTION, "if (is_local_error(ec)) return retry_connect();", "")],
        PROGRAM_TESTS,
        "LocalConnectError.IsRetriedWithoutUsingAnAttempt",
    ),
    Guarantee(
        "server start times on the monotonic clock",
        [
            Edit(
                PROXY_ENDPOINTS,
                "start_times_.to_process_clock(listed.started_at, clock_.now())",
                "listed.started_at",
            )
        ],
        PROXY_TESTS,
        "WallClock.StepDoesNotChangeSlowStart",
    ),
    Guarantee(
        "time for a new connection's first request in a drain",
        [Edit(SESSION, "&& !is_new &&", "&&")],
        PROXY_TESTS,
        "Drain.NewConnectionHasTimeForItsFirstRequest",
    ),
    Guarantee(
        "the guard of requests that run once",
        [
            Edit(
                RULE_GUARD,
                "if (request.kind.idempotency == Idempotency::not_idempotent) return Withheld::may_have_run;",
                "",
            )
        ],
        PROXY_TESTS,
        "RuleGuard.WithholdsSendForEachReasonAndCountsViolations",
    ),
    Guarantee(
        "partly written requests are withdrawn",
        [
            Edit(
                POOL,
                "if (at->second->state() != Connection::State::reading) not_written.push_back(at->second);",
                "if (at->second->state() == Connection::State::connecting) not_written.push_back(at->second);",
            )
        ],
        PROXY_TESTS,
        "ClientDisconnect.PartlyWrittenRequestIsWithdrawn",
    ),
    Guarantee(
        "a departed client is reported to the balancer",
        [
            Edit(
                DRIVER,
                "    enqueue(ClientDisconnected{id});\n    remove_request_if_done(id);\n    return repeat_forbidden;\n",
                "    remove_request_if_done(id);\n    return repeat_forbidden;\n",
            )
        ],
        PROXY_TESTS,
        "UpstreamConnection.ClientDisconnectClosesConnection",
    ),
    Guarantee(
        "reading continues past the bound on pipelined bytes",
        [
            Edit(
                SESSION,
                "    discarded_pipelined_bytes_ = 0;\n    if (state_ == State::waiting) receive();\n",
                "    discarded_pipelined_bytes_ = 0;\n",
            )
        ],
        PROXY_TESTS,
        "ClientDisconnect.IsDetectedBehindAnyAmountOfPipelinedBytes",
    ),
    Guarantee(
        "the bound on pipelined bytes",
        [
            Edit(
                SESSION_INPUT,
                "    if (total > kMaxPipelinedBytes) return false;\n",
                "",
            )
        ],
        PROXY_TESTS,
        "PipelinedRequests.AreServedInOrderUpToLimit",
    ),
    Guarantee(
        "pipelined bytes count towards the memory limit",
        [
            Edit(
                SESSION_INPUT, "if (!input_memory_.resize(capacity + pipelined_.memory())) return false;", ""
            ),
            Edit(
                SESSION_INPUT,
                "if (!input_memory_.resize(input_.capacity() + pipelined_.memory())) return discard_pipelined(0);",
                "",
            ),
        ],
        PROXY_TESTS,
        "PipelinedRequests.ShareMemoryForBodiesAndReleaseIt",
    ),
    Guarantee(
        "parsed fields of a message are bounded in memory",
        [Edit("src/common/http.hpp", "if (field_memory_ > kMaxFieldMemory)", "if (false)")],
        PROXY_TESTS,
        "RequestMemory.HeadOfShortFieldsIsRejectedBeforeItFillsMemory",
    ),
    Guarantee(
        "unfinished heads count towards the memory limit",
        [
            Edit(SESSION, "if (!head_checked_ && !reserve_request(0))", "if (false)"),
            Edit(
                SESSION_INPUT, "if (!input_memory_.resize(capacity + pipelined_.memory())) return false;", ""
            ),
        ],
        PROXY_TESTS,
        "RequestMemory.UnfinishedHeadsShareTheMemoryAndSmallRequestsAreServedBeside",
    ),
    Guarantee(
        "a request in flight stays reserved after its client has left",
        [
            Edit(
                SESSION,
                "memory(reserved.hand_over()) {}",
                "memory(reserved.hand_over()) { memory.release(); }",
            )
        ],
        PROXY_TESTS,
        "RequestMemory.RequestInFlightStaysReservedAfterItsClientHasLeft",
    ),
    Guarantee(
        "the head of a pipelined request is parsed once",
        [
            Edit(
                "src/proxy/pipelined_requests.cpp",
                "    while (!ended_) {\n",
                "    clear();\n    while (!ended_) {\n",
            )
        ],
        PROXY_TESTS,
        "PipelinedRequests.EachHeadIsParsedOnce",
    ),
    Guarantee(
        "all unread bytes are read in search of a disconnect",
        [
            Edit(
                SESSION_INPUT,
                "        handle_input(transfer.error, asio::buffer(chunk, transfer.bytes));\n    }\n",
                "        return handle_input(transfer.error, asio::buffer(chunk, transfer.bytes));\n    }\n",
            )
        ],
        PROXY_TESTS,
        "ClientDisconnect.BehindUnreadBytesPreventsTheFirstAttempt",
    ),
    Guarantee(
        "the id of a request that may have run is remembered",
        [Edit(SESSION, "context_.departed_requests.add(unconfirmed_id_, context_.clock.now());", "{}")],
        PROXY_TESTS,
        "ClientDisconnect.IdThatMayHaveRunIsRejectedWhenItComesAgain",
    ),
    Guarantee(
        "an endpoint whose address has a newer process is not used",
        [Edit(PROXY_ENDPOINTS, "endpoint.started_at < latest_start[endpoint.address]", "false")],
        PROXY_TESTS,
        "EndpointList.GoneEndpointIsNotUsedWhenItsAddressHasANewProcess",
    ),
    Guarantee(
        "responses share the memory",
        [
            Edit(
                CONNECTION,
                "waits_for_memory_ = !response_reserved_;",
                "response_reserved_ = true;",
            )
        ],
        PROXY_TESTS,
        "ResponseMemory.IsSharedAndSmallResponsesDoNotWait",
    ),
    Guarantee(
        "the memory of a written response is freed",
        [Edit(SESSION, "free_string(output_);", "output_ = std::string();")],
        PROXY_TESTS,
        "ResponseMemory.IsFreedWhenTheResponseIsWritten",
    ),
    Guarantee(
        "idle connections are checked for bytes before they are closed",
        [Edit(SESSION, "if (state_ == State::idle && has_unread_bytes()) return;", "")],
        PROXY_TESTS,
        "ReadTimeout.DoesNotCloseConnectionWithUnreadRequest",
    ),
    Guarantee(
        "slow connections are checked for bytes before they are evicted",
        [Edit(LISTENER, " && session->has_unread_bytes())", " && false)")],
        PROXY_TESTS,
        "ConnectionEviction.DoesNotCloseConnectionWithCompleteUnreadRequest",
    ),
    Guarantee(
        "an idle connection has no unread bytes in the kernel",
        [Edit(SESSION, "!is_new && !has_unread_bytes();", "!is_new;")],
        PROXY_TESTS,
        "Drain.ConnectionWithUnreadRequestIsServed",
    ),
    Guarantee(
        "a connection that becomes idle in a drain is closed",
        [Edit(SESSION, "if (context_.draining && is_quiet()) return close(CloseReason::draining);", "")],
        PROXY_TESTS,
        "Drain.ClosesConnectionAfterResponseBeingWritten",
    ),
    Guarantee(
        "responses in a drain have Connection: close",
        [Edit(SESSION, "keep_alive = keep_alive && !context_.draining &&", "keep_alive = keep_alive &&")],
        PROXY_TESTS,
        "GracefulShutdown.ServesRequestsInFlightThenExits",
    ),
    Guarantee(
        "a drain ends before the kill",
        [Edit(SHUTDOWN, "std::min(longest_deadline, kKillAfter)", "longest_deadline")],
        PROXY_TESTS,
        "Drain.LateRequestWithLongDeadlineGetsResponseBeforeSigkill",
    ),
    Guarantee(
        "half requests are answered before a drain ends",
        [Edit(SHUTDOWN, "if (clock_.now() >= reject_incomplete_at_) listener_.reject_incomplete();", "")],
        PROXY_TESTS,
        "Drain.IncompleteRequestIsRejectedBeforeExit",
    ),
    Guarantee(
        "a drain does not end before the last response",
        [
            Edit(
                SHUTDOWN,
                (
                    "    if (driver_.pending_requests() != 0) return false;\n"
                    "    return (all_accepted && !listener_.has_connections()) || clock_.now() >= end_at_;"
                ),
                (
                    "    (void)all_accepted;\n"
                    "    return (driver_.pending_requests() == 0 && !listener_.has_connections()) || clock_.now() >= end_at_;"
                ),
            )
        ],
        PROXY_TESTS,
        "Drain.WaitsForDeadlinesOfEarlierConfiguration",
    ),
    Guarantee(
        "a second signal does not move the end of a drain",
        [Edit(NODE, "    if (stopping()) return;\n    config_manager_", "    config_manager_")],
        PROXY_TESTS,
        "Drain.SecondSignalHasNoEffect",
    ),
    Guarantee(
        "a draining server gets nothing new",
        [Edit(PROXY_ENDPOINTS, "ids.push_back(id);", "{}")],
        PROXY_TESTS,
        "UpstreamConnection.NothingIsWrittenToEndpointThatDrainsDuringConnect",
    ),
    Guarantee(
        "a draining server gets no retries",
        [
            Edit(RETRY_POLICY, "if (!endpoint.is_serving()) return false;  // R6", ""),
            Edit(
                ENDPOINTS,
                "        if (!record.is_serving()) continue;\n",
                "        if (!record.listed) continue;\n",
            ),
            Edit(DRIVER, "endpoint.serving |= partly_written;", "endpoint.serving = true;"),
        ],
        PROXY_TESTS,
        "EndpointList.RetryAvoidsDrainingEndpoint",
    ),
    Guarantee(
        "connecting attempts are withdrawn from a server that moves",
        [
            Edit(
                DRIVER,
                "for (const EndpointId id : changes.moved) upstream_.withdraw_endpoint(id);",
                "for (const EndpointId id : changes.moved) upstream_.retire(id);",
            )
        ],
        PROXY_TESTS,
        "EndpointList.PendingConnectionFollowsMovedEndpoint",
    ),
    Guarantee(
        "a new list is applied before attempts are withdrawn",
        [
            Edit(
                DRIVER,
                "    enqueue(std::move(event));\n    for (const EndpointId id : changes.moved)",
                "    for (const EndpointId id : changes.moved)",
            ),
            Edit(
                DRIVER,
                "    for (const EndpointId id : not_serving) endpoints_.remove_if_unused(id);",
                (
                    "    enqueue(std::move(event));\n"
                    "    for (const EndpointId id : not_serving) endpoints_.remove_if_unused(id);"
                ),
            ),
        ],
        PROXY_TESTS,
        "EndpointList.WithdrawnAttemptIsRescheduledByUpdatedList",
    ),
    Guarantee(
        "a repeat is written before its deduplication window ends",
        [
            Edit(
                CONNECTION,
                "clock_.point(std::min(connect_deadline, exchange_->write_deadline))",
                "clock_.point(connect_deadline)",
            ),
            Edit(
                CONNECTION,
                (
                    "void UpstreamConnection::write_request() {\n"
                    "    if (clock_.now() >= exchange_->write_deadline) return end(Outcome::not_sent);\n"
                ),
                "void UpstreamConnection::write_request() {\n",
            ),
            Edit(
                RULE_GUARD,
                "if (now >= earlier.sent_at + request.kind.dedup_window) return Withheld::key_window_over;",
                "",
            ),
        ],
        PROXY_TESTS,
        "UpstreamConnection.NothingIsWrittenAfterDeduplicationWindow",
    ),
    Guarantee(
        "a repeat's deadline by the server's deduplication window",
        [
            Edit(
                SCHEDULER,
                "const Millis write_deadline = std::min(request.deadline, RetryPolicy::repeat_deadline(request));",
                "const Millis write_deadline = request.deadline;",
            ),
            Edit(
                RULE_GUARD,
                "if (now >= earlier.sent_at + request.kind.dedup_window) return Withheld::key_window_over;",
                "",
            ),
        ],
        PROXY_TESTS,
        "UpstreamConnection.NothingIsWrittenAfterDeduplicationWindow",
    ),
    Guarantee(
        "the rest of a repeat is not written after its window",
        [
            Edit(
                CONNECTION,
                (
                    "    if (clock_.now() >= exchange_->write_deadline) return end(Outcome::not_sent);\n"
                    "    write_available_bytes();"
                ),
                "    write_available_bytes();",
            )
        ],
        PROXY_TESTS,
        "UpstreamConnection.RestOfRequestIsNotWrittenAfterDeduplicationWindow",
    ),
    Guarantee(
        "a lack of descriptors is not the server's failure",
        [
            Edit(
                CONNECTION,
                "> kMaxConnectRetries) return end(Outcome::not_sent",
                "> kMaxConnectRetries) return end(Outcome::connect_failure",
            )
        ],
        PROXY_TESTS,
        "UpstreamPool.DescriptorShortageDoesNotCountAgainstEndpoint",
    ),
    Guarantee(
        "an expired idle connection is not used before its timer fires",
        [Edit(POOL, "if (now >= idle_deadline(connection)) return CloseReason::idle;", "(void)now;")],
        PROXY_TESTS,
        "UpstreamPool.ExpiredIdleConnectionIsNotReusedBeforeItsTimerFires",
    ),
    Guarantee(
        "idle connections are closed while new ones are accepted",
        [
            Edit(
                SHUTDOWN,
                "void GracefulShutdown::close_idle_before_end() {\n    listener_.close_idle();\n",
                "void GracefulShutdown::close_idle_before_end() {\n",
            )
        ],
        PROXY_TESTS,
        "Drain.ClientOfClosedIdleConnectionCanRetryOnNewOne",
    ),
    Guarantee(
        "the backlog waits for descriptors",
        [
            Edit(
                LISTENER,
                "is_resource_shortage(ec)) {\n            return false;",
                "is_resource_shortage(ec)) {\n            return true;",
            )
        ],
        PROXY_TESTS,
        "Drain.AcceptQueueIsEmptiedOnceDescriptorsAreAvailable",
    ),
    Guarantee(
        "as much is discarded as kernel buffers hold",
        [Edit(SESSION_INPUT, "kMaxDiscardedBytes = 1024 * 1024", "kMaxDiscardedBytes = 256 * 1024")],
        PROXY_TESTS,
        "ClientDisconnect.IsDetectedBehindFullKernelBufferWithinSixChecks",
    ),
    Guarantee(
        "a partly written file is read again",
        [Edit(RELOADER, "if (attempts_left > 1) retry(attempts_left - 1);", "")],
        PROCESS_TESTS,
        "Reload.AFileThatIsBeingWrittenIsReadAgain",
    ),
    Guarantee(
        "a move of discovery ends a retry pause",
        [Edit(DISCOVERY, "    active_ = true;  // a pause", "    // a pause")],
        DISCOVERY_TESTS,
        "DiscoveryClient.CallsNewAddressAtOnceDuringPause",
    ),
    Guarantee(
        "a silent watch is closed",
        [Edit(DISCOVERY, "constexpr double kMaxWaitMs = 2000;", "constexpr double kMaxWaitMs = 20000;")],
        DISCOVERY_TESTS,
        "DiscoveryClient.ReopensStalledWatchBeforeListIsTooOld",
    ),
    Guarantee(
        "a request belongs to the configuration at its last byte",
        [Edit(SESSION, "if (chunked || config_changed) {", "if (chunked) {")],
        PROXY_TESTS,
        "BalancerDriver.RequestIsValidatedByConfigurationAtItsLastByte",
    ),
    Guarantee(
        "the configuration is taken anew at a request's head",
        [
            Edit(
                SESSION,
                "bool ClientSession::accept_head() {\n    snapshot_ = context_.driver.snapshot();\n",
                "bool ClientSession::accept_head() {\n",
            ),
            Edit(
                SESSION,
                "    head_checked_ = false;\n    head_bytes_ = 0;\n",
                "    snapshot_ = context_.driver.snapshot();\n    head_checked_ = false;\n    head_bytes_ = 0;\n",
            ),
        ],
        PROXY_TESTS,
        "BalancerDriver.RequestBeingReadUsesNewIdempotencyOfItsClass",
    ),
    Guarantee(
        "a closed idle connection is not used",
        LOOKED_AT_WHEN_IDLE,
        PROXY_TESTS,
        "UpstreamPool.StaleConnectionIsNotReused",
    ),
    Guarantee(
        "a connection is reused only after a settling time",
        [Edit(POOL, "if (connection->acknowledged_at() > quiet_since) continue;", "")],
        PROXY_TESTS,
        "UpstreamPool.ConnectionIsReusedOnlyAfterQuietPeriod",
    ),
    Guarantee(
        "a response is acknowledged before its connection becomes idle",
        [
            Edit(
                CONNECTION,
                "const bool acknowledged = acknowledge_now(socket_);",
                "const bool acknowledged = true;",
            )
        ],
        PROXY_TESTS,
        "UpstreamPool.SecondResponseHeldBackForAcknowledgementIsNotForwarded",
    ),
    Guarantee(
        "a rejection is acknowledged before its connection becomes idle",
        [
            Edit(
                CONNECTION,
                "const bool acknowledged = acknowledge_now(socket_);",
                "const bool acknowledged = true;",
            )
        ],
        PROXY_TESTS,
        "UpstreamPool.SecondRejectionHeldBackForAcknowledgementDoesNotCountAsNotRun",
    ),
    Guarantee(
        "a connection whose response could not be acknowledged at once is not reused for as long as that may take",
        [Edit(CONNECTION, "(acknowledged ? 0 : kMaxAcknowledgementDelay);", "(acknowledged ? 0 : 0);")],
        PROGRAM_TESTS,
        "Acknowledgement.FailurePostponesReuseOfConnection",
    ),
    Guarantee(
        "bytes after a response close its connection",
        [Edit(CONNECTION, "parser_->keep_alive() && input_.size() == 0;", "parser_->keep_alive();")],
        PROXY_TESTS,
        "UpstreamConnection.BytesBehindResponseAreDiscarded",
    ),
    Guarantee(
        "idle connections are closed before the server does so",
        [Edit(POOL, "limits_.idle_timeout -\n           std::min(", "100000 -\n           std::min(")],
        PROXY_TESTS,
        "UpstreamPool.IdleConnectionIsClosedBeforeEndpointsOwnLimit",
    ),
    Guarantee(
        "a request whose connection was reset may have run",
        [Edit(RETRY_POLICY, "if (!repeatable && request.first_possible_run()) return false;  // R4", "")],
        PROXY_TESTS,
        "All/AttemptOutcome.IsClassifiedCorrectly/reset_not_idempotent",
    ),
    Guarantee(
        "the connection of a finished attempt is closed",
        CLOSED_WHEN_OVER,
        PROXY_TESTS,
        "UpstreamConnection.TimeoutGetsResponseByDeadlineAndClosesConnection",
    ),
    Guarantee(
        "a late response finds its connection closed and its request answered",
        [
            Edit(
                DRIVER,
                "(outcome == Outcome::success || request_error) && !request->ended && response",
                "(outcome == Outcome::success || request_error) && response",
            ),
            Edit(
                DRIVER,
                "    if (request.ended) return;\n    request.ended = true;",
                "    request.ended = true;",
            ),
            Edit(SESSION, "    if (state_ != State::waiting) return;  // the client has disconnected\n", ""),
            *CLOSED_WHEN_OVER,
        ],
        PROXY_TESTS,
        "UpstreamConnection.LateResponseIsNotForwarded",
    ),
    Guarantee(
        "the balancer ends the requests of departed clients",
        [
            Edit(
                BALANCER,
                "        scheduler.cancel_attempts(*request);\n        request->ended = true;\n",
                "        scheduler.cancel_attempts(*request);\n",
            )
        ],
        BALANCER_TESTS,
        "Rules.HoldOverRandomLegalEventSequences",
    ),
    Guarantee(
        "half a request is answered with 408",
        [Edit(SESSION, "if (state_ == State::reading) return reject(http::status::request_timeout);", "")],
        PROXY_TESTS,
        "ClientSession.SlowClientsAreRejectedWithinThreeSeconds",
    ),
    Guarantee(
        "reading continues while a request waits",
        [
            Edit(SESSION, "    receive();\n}\n\n// Releases", "}\n\n// Releases"),
            Edit(SESSION, "    if (state_ == State::waiting) receive();\n", ""),
        ],
        PROXY_TESTS,
        "ClientDisconnect.IsDetectedBehindPipelinedRequest",
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
        PROXY_TESTS,
        "Drain.ConnectionWithUnreadRequestIsServed",
    ),
    Guarantee(
        "a configuration change during a drain is applied",
        [
            Edit(
                NODE_HEADER,
                "        return config_manager_.change(candidate",
                "        if (stopping()) return {};\n        return config_manager_.change(candidate",
            ),
            Edit(
                NODE_HEADER,
                "void reload() { reloader_.reload(); }",
                "void reload() { if (!stopping()) reloader_.reload(); }",
            ),
        ],
        PROCESS_TESTS,
        "ConfigChange.DuringTheDrainIsAppliedAndDoesNotProlongIt",
    ),
    Guarantee(
        "list changes are followed in a drain",
        [
            Edit(
                NODE,
                "    config_manager_.stop_canary_watch();\n",
                "    config_manager_.stop_canary_watch();\n    discovery_.watch(false);\n",
            )
        ],
        PROXY_TESTS,
        "Drain.EndpointListUpdatesAreApplied",
    ),
    Guarantee(
        "a request without its last byte did not run",
        [
            Edit(
                CONNECTION,
                "if (transfer.error) return end(Outcome::connect_failure",
                "if (transfer.error) return end(Outcome::connection_reset",
            )
        ],
        PROXY_TESTS,
        "UpstreamConnection.ResetBeforeLastByteCountsAsNotRun",
    ),
    Guarantee(
        "an idle connection with unexpected bytes is closed",
        LOOKED_AT_WHEN_IDLE,
        PROXY_TESTS,
        "UpstreamPool.LateExtraResponseIsDiscarded",
    ),
    Guarantee(
        "the number of interim responses is bounded",
        [Edit(CONNECTION, " || ++interim_responses_ > kMaxInterimResponses", "")],
        PROXY_TESTS,
        "UnusualResponse/AttemptOutcome.IsClassifiedCorrectly/endless_interim",
    ),
    Guarantee(
        "nothing remains of a removed server",
        [Edit(POOL, "    at->second->withdrawn = true;\n", "")],
        PROXY_TESTS,
        "UpstreamPool.NothingIsKeptOfRemovedEndpoints",
    ),
    Guarantee(
        "only changes are requested after a failed call",
        [Edit(DISCOVERY, "start_call(complete_list_needed_ || fetch_requested_);", "start_call(true);")],
        DISCOVERY_TESTS,
        "DiscoveryClient.RequestsOnlyChangesAfterFailedCall",
    ),
    Guarantee(
        "an older list is ignored",
        [
            Edit(
                DISCOVERY,
                'if (list->seq < seq_ && !sequence_restarted(*list)) return response_invalid(call, "outdated list");',
                "sequence_restarted(*list);",
            )
        ],
        DISCOVERY_TESTS,
        "DiscoveryClient.RecoversFromInvalidAndOutdatedListsAndDowntime",
    ),
    Guarantee(
        "a move of discovery takes effect at once",
        [Edit(DISCOVERY, "    cancel_call();\n    seq_ = 0;", "    connection_.reset();\n    seq_ = 0;")],
        DISCOVERY_TESTS,
        "DiscoveryClient.FollowsAddressChangeAtOnce",
    ),
    Guarantee(
        "a request retains the settings it began with",
        [
            Edit(
                SCHEDULER,
                "request->settings = own_settings ? arrived.settings : parts_.context.settings;",
                "request->settings = parts_.context.settings;",
            )
        ],
        BALANCER_TESTS,
        "Rules.HoldForEachRequestByTheSettingsItArrivedUnder",
    ),
    Guarantee(
        "a lowered connection limit waits for the responses",
        [Edit(POOL, "if (keep && open_ <= limits_.connections)", "if (keep)")],
        PROCESS_TESTS,
        "ConfigChange.LimitLoweredBelowUseEndsNoRequest",
    ),
    Guarantee(
        "a new configuration retains what was learnt about servers",
        [
            Edit(
                BALANCER,
                "        context.settings = event.settings;\n",
                (
                    "        context.settings = event.settings;\n"
                    "        for (auto& [id, endpoint] : endpoints.records()) endpoint.ejection.reset();\n"
                ),
            )
        ],
        BALANCER_TESTS,
        "SettingsChange.TheStateOfEndpointsIsKept",
    ),
    Guarantee(
        "a discovery call that timed out is repeated",
        [
            Edit(
                DISCOVERY,
                "    if (ec == beast::error::timeout)\n        call_timed_out(call",
                "    if (ec == beast::error::timeout)\n        handle_call_failure(call",
            )
        ],
        DISCOVERY_TESTS,
        "DiscoveryClient.RepeatsTimedOutCallWithoutReportingFailure",
    ),
    Guarantee(
        "half a request has its own timeout",
        [
            Edit(
                SESSION,
                "std::max(request_started_at_ + kReadTimeout, now + kMinReadTimeout)",
                "now + kReadTimeout",
            )
        ],
        PROXY_TESTS,
        "ClientSession.IncompleteRequestBehindSlowResponseTimesOutFromItsArrival",
    ),
    Guarantee(
        "half a request accepted late has its own timeout",
        [Edit(SESSION, "std::max(kReadTimeout - session->waited_, kMinReadTimeout)", "kReadTimeout")],
        PROXY_TESTS,
        "ClientSession.IncompleteRequestOnUnacceptedConnectionTimesOutFromItsArrival",
    ),
    Guarantee(
        "a full log pipe does not block",
        [Edit(LOG, " || !is_writable()", "")],
        PROGRAM_TESTS,
        "Log.UnreadPipeDoesNotBlockRequests",
    ),
    Guarantee(
        "no signal kills a process that is exiting",
        [Edit(MAIN, "    mask_signals(SIG_BLOCK);  // until exit", "    // until exit")],
        CRASH_TESTS,
        "PlannedStops.ExitWithZeroDuringReloads",
    ),
    Guarantee(
        "a margin in the time left that is sent on",
        [
            Edit(
                CONNECTION,
                "return left - std::min(kDeadlineMargin, left * kDeadlineMarginShare);",
                "return left;",
            )
        ],
        PROXY_TESTS,
        "PropagatedDeadline.LeavesMarginForDelayBeforeWrite",
    ),
    Guarantee(
        "a failure is sent to a bounded number of peers",
        [
            Edit(
                GOSSIP,
                "std::min(settings.sidecar_count / kSidecarsPerReport, kMaxReports)",
                "settings.sidecar_count / kSidecarsPerReport",
            )
        ],
        BALANCER_TESTS,
        "GossipVolume.MessagesPerSidecarDoNotGrowWithTheFleet",
    ),
    Guarantee(
        "no repeat at the very end of a deduplication window",
        [Edit(RETRY_POLICY, " - std::min(kWriteDelay, window * kMaxWriteDelayShare)", "")],
        BALANCER_TESTS,
        "Idempotency.ARequestWithAKeyIsNotRetriedAtTheEndOfItsWindow",
    ),
    Guarantee(
        "a request ends before the pipelined ones behind it are due",
        [
            Edit(
                SESSION,
                "    deadline_ = deadline_for_pipelined();\n    request_id_ =",
                "    deadline_ = 0;\n    request_id_ =",
            )
        ],
        PROXY_TESTS,
        "PipelinedRequests.RequestEndsBeforeResponsesBehindItAreDue",
    ),
]
