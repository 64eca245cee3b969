// The program ochregrade: one sidecar process. --check only validates the configuration file that NODE_CONFIG
// names; --fields prints the table of configuration fields. Exit codes: 0 graceful shutdown, or --check or
// --fields succeeded; 1 failed to start or run; 2 invalid configuration or usage.
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/log.hpp"
#include "common/open_with_retry.hpp"
#include "control/config_schema.hpp"
#include "process/node.hpp"

namespace {

// Exit codes.
constexpr int kStopped = 0;
constexpr int kFailed = 1;
constexpr int kInvalidConfig = 2;

using namespace ochregrade::sidecar;

// Signals with a handler. Any of them would terminate the process before its handler is installed and after
// the handler is removed, so they are blocked at those times.
constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGHUP};

// Blocks (SIG_BLOCK) or unblocks (SIG_UNBLOCK) the handled signals for this thread and for the threads that
// it starts later. Blocked signals stay pending.
void mask_signals(int how) {
    sigset_t set;
    sigemptyset(&set);
    for (const int number : kHandledSignals) sigaddset(&set, number);
    pthread_sigmask(how, &set, nullptr);
}

std::unique_ptr<asio::signal_set> open_signals(asio::io_context& io, std::initializer_list<int> numbers) {
    return open_with_retry([&] {
        auto set = std::make_unique<asio::signal_set>(io);
        for (const int number : numbers) set->add(number);
        return set;
    });
}

// Runs the sidecar until a graceful shutdown has ended all requests.
void serve(asio::io_context& io, asio::signal_set& stop, asio::signal_set& reload) {
    Node node(io, prepare_start());
    stop.async_wait([&](error_code ec, int) {
        if (!ec) node.stop([&] { io.stop(); });
    });
    const std::function<void(error_code, int)> on_reload = [&](error_code ec, int) {
        if (ec) return;
        reload.async_wait(on_reload);
        node.reload();
    };
    reload.async_wait(on_reload);
    // An exception in the handler of one event, most likely std::bad_alloc, must not end the process and with
    // it all other requests.
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            log_line(std::string("event handler failed: ") + error.what());
        }
    }
}

void run() {
    mask_signals(SIG_BLOCK);
    const auto io = open_with_retry([] { return std::make_unique<asio::io_context>(1); });
    const auto stop = open_signals(*io, {SIGTERM, SIGINT});
    const auto reload = open_signals(*io, {SIGHUP});
    mask_signals(SIG_UNBLOCK);
    serve(*io, *stop, *reload);
    mask_signals(SIG_BLOCK);  // until exit: signals that arrive from here on have no effect
}

void check_config() {
    const nlohmann::json document = start_document();
    read_config(document);
    log_unknown_fields(document);
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // the sidecar keeps running after the reader of its log has exited
    const std::string_view argument = argc > 1 ? argv[1] : "";
    if (argument == "--fields") {
        std::cout << fields_as_markdown();
        return kStopped;
    }
    if (argc > 2 || (argc == 2 && argument != "--check")) {
        std::cerr << "usage: ochregrade [--check | --fields]\n";
        return kInvalidConfig;
    }
    try {
        argument == "--check" ? check_config() : run();
    } catch (const ConfigError& error) {
        std::cerr << "ochregrade: " << error.what() << '\n';
        return kInvalidConfig;
    } catch (const std::exception& error) {
        std::cerr << "ochregrade: " << error.what() << '\n';
        return kFailed;
    }
    return kStopped;
}
