#include "simulator/action_writer.hpp"

#include <charconv>

namespace ochregrade::wire {

namespace {

// Has one overload for each action. The names and fields in quotes are those of the simulator's protocol.
class ActionWriter {
public:
    ActionWriter(std::string& reply, Instance& instance) : reply_(reply), instance_(instance) {}

    void operator()(const SendAttempt& action) {
        begin_for_request("DISPATCH", action.id);
        add_endpoint(action.endpoint);
        add_time(" try-until-ms", action.give_up_at);
        end_line();
        ++instance_.requests.at(action.id).attempts_in_flight;
        ++instance_.endpoints.at(action.endpoint).attempts_in_flight;
    }
    void operator()(const CancelAttempt& action) {
        begin_for_request("ABANDON", action.id);
        reply_ += " hop=" + std::to_string(action.attempt);
        end_line();
    }
    void operator()(const RejectRequest& action) {
        begin_for_request("DECLINE", action.id);
        if (action.retry_after > 0) add_time(" retry-in-ms", action.retry_after);
        end_line();
        instance_.end_request(action.id);
    }
    void operator()(const FailRequest& action) {
        begin_for_request("GIVE_UP", action.id);
        end_line();
        instance_.end_request(action.id);
    }
    void operator()(const SetTimer& action) {
        begin("AFTER");
        add_time(" at-ms", action.at);
        reply_ += " nonce=" + std::to_string(action.token);
        end_line();
    }
    void operator()(const SendProbe& action) {
        begin("ASK_LOAD");
        add_endpoint(action.endpoint);
        end_line();
    }
    void operator()(const CloseIdleConnections& action) {
        begin("SHUT_IDLE");
        add_endpoint(action.endpoint);
        end_line();
    }
    void operator()(const SendGossip& action) {
        begin("WRITE_PEER");
        reply_ += " dst=" + (action.to ? std::to_string(*action.to) : std::string("all"));
        reply_ += " msg=";
        add_hex(action.bytes);
        end_line();
    }
    void operator()(const SubscribeEndpoints& action) {
        begin("SUBSCRIBE");
        reply_ += action.active ? " active=1" : " active=0";
        end_line();
    }
    void operator()(const FetchEndpoints& /*action*/) {
        begin("READ_LIST");
        end_line();
    }
    void operator()(const PublishEvidence& /*action*/) {}
    void operator()(const LogMessage& action) {
        begin("PRINT");
        reply_ += " words=";
        if (action.endpoint) reply_ += instance_.endpoints.at(*action.endpoint).name + " ";
        for (const char c : action.text) reply_ += c == '\n' || c == '\r' ? ' ' : c;
        end_line();
    }

private:
    void begin(std::string_view kind) {
        reply_ += kind;
        reply_ += " who=" + instance_.name;
    }
    void begin_for_request(std::string_view kind, RequestId id) {
        begin(kind);
        reply_ += " rid=" + instance_.requests.at(id).name;
    }
    void end_line() { reply_ += '\n'; }

    void add_endpoint(EndpointId id) { reply_ += " server=" + instance_.endpoints.at(id).name; }

    void add_time(std::string_view field, Millis value) {
        constexpr int kDecimals = 3;
        char digits[40];
        const auto written =
            std::to_chars(digits, digits + sizeof digits, value, std::chars_format::fixed, kDecimals);
        reply_ += field;
        reply_ += '=';
        reply_.append(digits, written.ptr);
    }

    void add_hex(const std::vector<std::uint8_t>& bytes) {
        constexpr std::string_view kDigits = "0123456789abcdef";
        if (bytes.empty()) reply_ += '-';
        for (const std::uint8_t byte : bytes) {
            reply_ += kDigits[byte >> 4U];
            reply_ += kDigits[byte & 15U];
        }
    }

    std::string& reply_;
    Instance& instance_;
};

}  // namespace

void write_action(std::string& reply, Instance& instance, const Action& action) {
    std::visit(ActionWriter(reply, instance), action);
}

void write_fault(std::string& reply, std::string_view instance_name, std::string_view reason) {
    reply += "FAULT who=";
    reply += instance_name;
    reply += " words=";
    reply += reason;
    reply += '\n';
}

}  // namespace ochregrade::wire
