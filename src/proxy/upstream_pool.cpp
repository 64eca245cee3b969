#include "proxy/upstream_pool.hpp"

#include <algorithm>
#include <limits>

#include "common/log.hpp"
#include "common/socket_io.hpp"

namespace ochregrade::sidecar {

namespace {
constexpr std::size_t kReadSize = 4096;
constexpr int kMostInterim = 16;
// What the kernel holds unread counts as memory too, and an endless answer fills it at once.
constexpr int kKernelBuffer = 64 * 1024;

// Taken off the time that a server is told: so much, of a short time no more than this share.
constexpr Millis kTimeMargin = 25;
constexpr double kTimeMarginShare = 0.1;

// How often a connection is tried again after a fault of this machine: for 0.1 s.
constexpr int kMostRedials = 10;
constexpr std::chrono::milliseconds kRedialAfter{10};

// Errors of connect and socket that come from this machine: no port, buffer, descriptor or route of its own,
// a local firewall, or a signal.
bool is_local_fault(error_code ec) {
    constexpr int kLocal[] = {EADDRNOTAVAIL, EADDRINUSE,  EAGAIN,   ENOBUFS, ENOMEM, EMFILE,
                              ENFILE,        ENETUNREACH, ENETDOWN, EPERM,   EACCES, EINTR};
    return ec.category() == boost::system::system_category() &&
           std::find(std::begin(kLocal), std::end(kLocal), ec.value()) != std::end(kLocal);
}

CloseReason reason_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::success:
        case Outcome::server_error:
        case Outcome::overloaded:
            return CloseReason::answered;
        case Outcome::timeout:
            return CloseReason::timeout;
        case Outcome::connect_failure:
            return CloseReason::connect_failed;
        case Outcome::connection_reset:
            return CloseReason::peer_closed;
        case Outcome::cancelled:
        case Outcome::not_sent:
            break;
    }
    return CloseReason::cancelled;
}

}  // namespace

struct UpstreamPool::Job {
    AttemptKey key;
    bool probe = false;
    RequestPtr request;
    Millis sent_at = 0;
    Millis until = 0;
    Millis write_until = std::numeric_limits<Millis>::infinity();
    Millis connect_timeout = 0;
};

// The connections to one server for as long as it is listed with this address and start.
struct UpstreamPool::Pool {
    std::vector<LinkPtr> idle;  // the newest last
    std::size_t links = 0;      // all of them, idle or not
    bool withdrawn = false;     // what is still out on them ends, and they with it
};

struct UpstreamPool::Link {
    enum class State { connecting, writing, reading, idle, closed };

    Link(asio::io_context& io, EndpointId id, const tcp::endpoint& endpoint, std::shared_ptr<Pool> p)
        : server(id), to(endpoint), pool(std::move(p)), socket(io), timer(io), redial(io) {}

    EndpointId server;
    tcp::endpoint to;
    std::shared_ptr<Pool> pool;
    tcp::socket socket;
    asio::steady_timer timer;  // connecting, probing and idling; an attempt's own end comes from outside
    asio::steady_timer redial;
    int redials = 0;  // after faults of this machine
    State state = State::connecting;
    std::unique_ptr<Job> job;
    std::string out;
    std::size_t out_done = 0;
    beast::flat_buffer in;
    std::size_t head_bytes = 0;
    int interim = 0;  // 1xx answers so far
    std::optional<http::response_parser<http::string_body>> parser;
    Millis idle_since = 0;
};

UpstreamPool::UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers)
    : io_(io), clock_(clock), limits_(limits), handlers_(std::move(handlers)) {}

UpstreamPool::~UpstreamPool() {
    for (const auto& [id, pool] : pools_) pool->idle.clear();  // a connection holds its pool
}

void UpstreamPool::send(AttemptKey key, EndpointId server, const tcp::endpoint& to, RequestPtr request,
                        Millis until, Millis write_until, std::optional<Millis> connect_timeout) {
    auto job = std::make_unique<Job>();
    job->key = key;
    job->request = std::move(request);
    job->sent_at = clock_.now();
    job->until = until;
    job->write_until = write_until;
    job->connect_timeout = connect_timeout.value_or(limits_.connect_timeout);
    start(std::move(job), server, to);
}

void UpstreamPool::probe(EndpointId server, const tcp::endpoint& to) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, "/healthz", 11);
    request->set(http::field::host, to.address().to_string());
    auto job = std::make_unique<Job>();
    job->probe = true;
    job->request = std::move(request);
    job->sent_at = clock_.now();
    job->until = job->sent_at + limits_.connect_timeout;  // slower than this, it is not fit to be asked
    start(std::move(job), server, to);
}

void UpstreamPool::start(std::unique_ptr<Job> job, EndpointId server, const tcp::endpoint& to) {
    LinkPtr link = take_idle(server, to);
    const bool fresh = !link;
    if (fresh) {
        if (open_ >= limits_.connections) make_room();
        auto& pool = pools_[server];
        if (!pool) pool = std::make_shared<Pool>();
        link = std::make_shared<Link>(io_, server, to, pool);
        ++pool->links;
        ++open_;
    }
    if (!job->probe) attempts_[job->key] = link;
    if (job->probe) {
        link->timer.expires_at(clock_.point(job->until));
        link->timer.async_wait([this, link](error_code ec) {
            if (ec || !link->job || !link->job->probe || link->state == Link::State::closed) return;
            end(link, link->state == Link::State::connecting ? Outcome::connect_failure : Outcome::timeout,
                nullptr, false);
        });
    }
    link->job = std::move(job);
    if (!fresh) return write(link);
    // No descriptor to spare: it never goes out. That is no fault of the server's.
    if (open_ > limits_.connections) return end(link, Outcome::not_sent, nullptr, false);
    connect(link);
}

void UpstreamPool::set_limits(const Limits& limits) {
    limits_ = limits;
    for (std::size_t before = open_ + 1; open_ > limits_.connections && open_ < before;) {
        before = open_;
        make_room();
    }
    for (const auto& [id, pool] : pools_)
        for (const LinkPtr& link : pool->idle) close_in_time(link);
}

// Of those that nobody uses the one idle longest.
void UpstreamPool::make_room() {
    LinkPtr oldest;
    for (const auto& [id, pool] : pools_)
        if (!pool->idle.empty() && (!oldest || pool->idle.front()->idle_since < oldest->idle_since))
            oldest = pool->idle.front();
    if (oldest) drop(oldest, CloseReason::made_room);
}

// The newest first: the older ones then reach their idle limit and go. What has ended in the meantime, or has
// something to say unasked, is not fit to be written to, and nothing may be sent twice to find that out. One
// that has only just answered may have more to say, which would be taken for the next request's answer.
UpstreamPool::LinkPtr UpstreamPool::take_idle(EndpointId server, const tcp::endpoint& to) {
    const auto at = pools_.find(server);
    if (at == pools_.end()) return nullptr;
    const auto pool = at->second;  // it may go with its last connection
    const Millis now = clock_.now(), settled = now - limits_.settle_time;
    for (std::size_t i = pool->idle.size(); i-- > 0;) {
        LinkPtr link = pool->idle[i];
        if (link->to != to || now >= idle_until(*link) || peek(link->socket) != Quiet::nothing) {
            drop(link, now >= idle_until(*link) ? CloseReason::idle : CloseReason::peer_closed);
            continue;
        }
        if (link->idle_since > settled) continue;
        pool->idle.erase(pool->idle.begin() + static_cast<std::ptrdiff_t>(i));
        link->timer.cancel();
        return link;
    }
    return nullptr;
}

void UpstreamPool::connect(const LinkPtr& link) {
    if (!link->job->probe) {
        const Job& job = *link->job;
        const Millis patience = std::min(clock_.now() + job.connect_timeout, job.until);
        // Short of its own time it has shown nothing against its server.
        const Outcome outcome = job.write_until < patience ? Outcome::not_sent : Outcome::connect_failure;
        link->timer.expires_at(clock_.point(std::min(patience, job.write_until)));
        link->timer.async_wait([this, link, outcome](error_code error) {
            if (error || link->state != Link::State::connecting) return;
            end(link, link->redials > 0 ? Outcome::not_sent : outcome, nullptr, false);
        });
    }
    dial(link);
}

void UpstreamPool::dial(const LinkPtr& link) {
    error_code ec;
    link->socket.open(link->to.protocol(), ec);
    if (!ec) link->socket.set_option(tcp::no_delay(true), ec);
    if (!ec) link->socket.non_blocking(true, ec);
    if (!ec) link->socket.set_option(asio::socket_base::receive_buffer_size(kKernelBuffer), ec);
    if (ec) return dial_again(link);  // no descriptor above all
    link->socket.async_connect(link->to, [this, link](error_code error) { connected(link, error); });
}

// This machine could not begin to connect, which says nothing of the server. Such a shortage often lasts a
// moment only.
void UpstreamPool::dial_again(const LinkPtr& link) {
    if (++link->redials > kMostRedials) return end(link, Outcome::not_sent, nullptr, false);
    error_code ignored;
    link->socket.close(ignored);
    link->redial.expires_after(kRedialAfter);
    link->redial.async_wait([this, link](error_code ec) {
        if (!ec && link->state == Link::State::connecting) dial(link);
    });
}

void UpstreamPool::connected(const LinkPtr& link, error_code error) {
    if (link->state != Link::State::connecting) return;
    if (is_local_fault(error)) return dial_again(link);
    if (error) return end(link, Outcome::connect_failure, nullptr, false);
    if (!link->job->probe) {
        if (!may_write(link, false)) return;
        link->timer.cancel();
    }
    write(link);
}

bool UpstreamPool::may_write(const LinkPtr& link, bool begun) {
    if (!handlers_.may_write) return true;
    const bool may = handlers_.may_write(link->job->key, begun);
    if (link->state == Link::State::closed) return false;  // withdrawn by whoever was asked
    if (!may) end(link, Outcome::not_sent, nullptr, false);
    return may;
}

// Milliseconds. What is left by now, less a margin: the slack that the rule gives is as long as this process
// may be held up before its write, and leaves nothing for the ways to and from here.
Millis UpstreamPool::time_to_tell(const Job& job) const {
    const Millis left = std::max(0.0, job.until - clock_.now());
    return left - std::min(kTimeMargin, left * kTimeMarginShare);
}

void UpstreamPool::write(const LinkPtr& link) {
    Job& job = *link->job;
    if (clock_.now() >= job.write_until) return end(link, Outcome::not_sent, nullptr, false);
    link->state = Link::State::writing;
    HttpRequest& message = *job.request;
    if (!job.probe) {
        // Whole milliseconds would round a short time to nothing.
        message.set("X-Time-Left", std::to_string(static_cast<long long>(time_to_tell(job) * 1000)) + "u");
    }
    link->out = text_of_message(message);
    link->out_done = 0;
    write_on(link);
}

// Directly: nearly every request fits, and how much of it has gone out is known at once.
void UpstreamPool::write_on(const LinkPtr& link) {
    const Transfer transfer = write_available(link->socket, asio::buffer(link->out) + link->out_done);
    link->out_done += transfer.bytes;
    // A server begins a request with its last byte: short of that, it never ran.
    if (transfer.error) return end(link, Outcome::connect_failure, nullptr, false);
    if (link->out_done == link->out.size()) return read(link);
    link->socket.async_wait(tcp::socket::wait_write, [this, link](error_code) {
        if (link->state != Link::State::writing) return;
        if (!link->job->probe && !may_write(link, true)) return;
        if (clock_.now() >= link->job->write_until) return end(link, Outcome::not_sent, nullptr, false);
        write_on(link);
    });
}

void UpstreamPool::read(const LinkPtr& link) {
    link->state = Link::State::reading;
    link->parser.emplace();
    link->parser->header_limit(kMaxHeader);
    link->parser->body_limit(kMaxBody);
    link->parser->eager(false);
    link->head_bytes = 0;
    parse(link);
}

void UpstreamPool::parse(const LinkPtr& link) {
    while (!link->parser->is_done()) {
        const error_code ec = feed(*link->parser, link->in, link->head_bytes);
        if (ec == http::error::need_more) return receive(link);
        if (ec) return end(link, Outcome::connection_reset, nullptr, false);
    }
    const unsigned status = link->parser->get().result_int();
    if (status / 100 != 1) return answered(link);
    // 1xx: more follows, but not without end.
    if (status == 101 || ++link->interim > kMostInterim)
        return end(link, Outcome::connection_reset, nullptr, false);
    read(link);
}

void UpstreamPool::receive(const LinkPtr& link) {
    link->socket.async_read_some(link->in.prepare(kReadSize), [this, link](error_code ec, std::size_t bytes) {
        if (link->state != Link::State::reading) return;
        // An answer without a length is whole where its server ends the connection; a reset may have cut it.
        if (ec == asio::error::eof && link->parser->is_header_done() && link->parser->need_eof())
            link->parser->put_eof(ec);
        if (ec) return end(link, Outcome::connection_reset, nullptr, false);
        try {
            link->in.commit(bytes);
            parse(link);
        } catch (const std::exception& error) {
            // Of one answer: what goes wrong with it must not touch the others.
            log_line(std::string("an answer failed: ") + error.what());
            if (link->job) end(link, Outcome::connection_reset, nullptr, false);
        }
    });
}

void UpstreamPool::answered(const LinkPtr& link) {
    // Bytes behind the answer belong to nobody: such a connection is not used again.
    const bool keep = link->parser->keep_alive() && link->in.size() == 0 && !link->pool->withdrawn;
    HttpResponse response = link->parser->release();
    link->parser.reset();
    const unsigned status = response.result_int();
    Outcome outcome = Outcome::server_error;
    if (status == 200)
        outcome = Outcome::success;
    else if ((status == 503 || status == 504) && response["X-Unprocessed"] == "1")
        outcome = Outcome::overloaded;
    end(link, outcome, &response, keep);
}

void UpstreamPool::park(const LinkPtr& link) {
    link->state = Link::State::idle;
    link->idle_since = clock_.now();
    if (link->out.capacity() > kReadSize) link->out = std::string();
    link->interim = 0;
    if (link->in.capacity() > kReadSize) link->in.shrink_to_fit();
    link->pool->idle.push_back(link);
    close_in_time(link);
    link->socket.async_wait(tcp::socket::wait_read, [this, link](error_code) {
        // Whether ended or talking unasked, an idle connection that wakes is of no more use.
        if (link->state == Link::State::idle && peek(link->socket) != Quiet::nothing)
            drop(link, CloseReason::peer_closed);
    });
}

// Well before the server closes it: what is written to a connection that it has closed is lost.
Millis UpstreamPool::idle_until(const Link& link) const {
    return link.idle_since + limits_.idle_timeout - std::min(1000.0, limits_.idle_timeout / 4);
}

void UpstreamPool::close_in_time(const LinkPtr& link) {
    link->timer.expires_at(clock_.point(idle_until(*link)));
    link->timer.async_wait([this, link](error_code ec) {
        if (!ec && link->state == Link::State::idle) drop(link, CloseReason::idle);
    });
}

void UpstreamPool::drop(const LinkPtr& link, CloseReason reason) {
    if (link->state == Link::State::closed) return;
    ++closes_[static_cast<std::size_t>(reason)];
    if (link->state == Link::State::idle) std::erase(link->pool->idle, link);
    link->state = Link::State::closed;
    link->timer.cancel();
    link->redial.cancel();
    error_code ignored;
    link->socket.close(ignored);
    --open_;
    const auto at = pools_.find(link->server);
    if (--link->pool->links == 0 && at != pools_.end() && at->second == link->pool) pools_.erase(at);
}

void UpstreamPool::end(const LinkPtr& link, Outcome outcome, HttpResponse* response, bool keep) {
    std::unique_ptr<Job> job = std::move(link->job);
    link->timer.cancel();
    // The connection goes before anything is told, so that no next attempt can be out beside it.
    if (keep && open_ <= limits_.connections)  // a limit may have been lowered below what is open
        park(link);
    else
        drop(link, reason_of(outcome));
    report(std::move(job), link->server, outcome, response);
}

void UpstreamPool::report(std::unique_ptr<Job> job, EndpointId server, Outcome outcome,
                          HttpResponse* response) {
    if (job->probe) return handlers_.probe_ended(server, outcome, clock_.now() - job->sent_at);
    attempts_.erase(job->key);
    handlers_.attempt_ended(job->key, outcome, response);
}

void UpstreamPool::stop(AttemptKey key, Outcome unwritten, Outcome other) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    const LinkPtr link = at->second;
    // A server begins a request with its last byte.
    end(link, link->state == Link::State::reading ? other : unwritten, nullptr, false);
}

void UpstreamPool::expire(AttemptKey key) { stop(key, Outcome::connect_failure, Outcome::timeout); }
void UpstreamPool::cancel(AttemptKey key) { stop(key, Outcome::not_sent, Outcome::cancelled); }

void UpstreamPool::withdraw_request(RequestId id) {
    std::vector<LinkPtr> links;
    for (auto at = attempts_.lower_bound({id, 0}); at != attempts_.end() && at->first.id == id; ++at)
        if (at->second->state != Link::State::reading) links.push_back(at->second);
    for (const LinkPtr& link : links) end(link, Outcome::not_sent, nullptr, false);
}

void UpstreamPool::withdraw_endpoint(EndpointId server) {
    std::vector<LinkPtr> links;
    for (const auto& [key, link] : attempts_)
        if (link->server == server && link->state == Link::State::connecting) links.push_back(link);
    for (const LinkPtr& link : links) end(link, Outcome::not_sent, nullptr, false);
    retire(server);
}

void UpstreamPool::retire(EndpointId server) {
    close_idle(server);
    const auto at = pools_.find(server);
    if (at == pools_.end()) return;
    at->second->withdrawn = true;
    pools_.erase(at);
}

void UpstreamPool::close_idle(EndpointId server) {
    const auto at = pools_.find(server);
    if (at == pools_.end()) return;
    const std::vector<LinkPtr> links = at->second->idle;
    for (const LinkPtr& link : links) drop(link, CloseReason::retired);
}

}  // namespace ochregrade::sidecar
