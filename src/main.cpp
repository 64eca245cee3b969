// ochregrade: one real sidecar. Exit codes: 0 stopped as asked, 1 failed to start or run, 2 bad
// configuration. --check only says whether NODE_CONFIG names a good one, --fields lists what it may hold.
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/log.hpp"
#include "common/open_with_retry.hpp"
#include "control/config_schema.hpp"
#include "process/node.hpp"

namespace {

using namespace ochregrade::sidecar;

// Signals that a handler takes. While no handler is there yet, or no longer, any of them would end the
// process.
constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGHUP};

// SIG_BLOCK or SIG_UNBLOCK, for this thread and those that it starts from here on. What comes while they are
// blocked is kept until they no longer are.
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

// Until it has been told to end and owes nothing any more.
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
    // What goes wrong in one handler, memory that can't be had above all, must not end all others' requests.
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            log_line(std::string("a handler failed: ") + error.what());
        }
    }
}

void run() {
    mask_signals(SIG_BLOCK);
    const auto io = open_with_retry([] { return std::make_unique<asio::io_context>(1); });
    const auto stop = open_signals(*io, {SIGTERM, SIGINT}), reload = open_signals(*io, {SIGHUP});
    mask_signals(SIG_UNBLOCK);
    serve(*io, *stop, *reload);
    mask_signals(SIG_BLOCK);  // for good: one that comes between here and the process's end changes nothing
}

void check() {
    const nlohmann::json document = start_document();
    read_config(document);
    log_unknown_fields(document);
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may leave; the sidecar serves on
    const std::string_view argument = argc > 1 ? argv[1] : "";
    if (argument == "--fields") {
        std::cout << fields_as_markdown();
        return 0;
    }
    if (argc > 2 || (argc == 2 && argument != "--check")) {
        std::cerr << "usage: ochregrade [--check | --fields]\n";
        return 2;
    }
    try {
        argument == "--check" ? check() : run();
    } catch (const ConfigError& error) {
        std::cerr << "ochregrade: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "ochregrade: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
