#include "control/metrics.hpp"

#include <sstream>
#include <string_view>

#include "process/node.hpp"

namespace ochregrade::sidecar {

namespace {

// Writes metric families and their samples in the Prometheus text format.
class MetricsWriter {
public:
    void family(const char* name, const char* type, const char* help) {
        text_ << "# HELP ochregrade_" << name << ' ' << help << "\n# TYPE ochregrade_" << name << ' ' << type
              << '\n';
    }
    // `labels`: the labels including the braces, or empty.
    template <class T>
    void sample(const char* name, T value, const std::string& labels = "") {
        text_ << "ochregrade_" << name << labels << ' ' << value << '\n';
    }
    template <class T>
    void gauge(const char* name, T value, const char* help) {
        family(name, "gauge", help);
        sample(name, value);
    }
    template <class T>
    void counter(const char* name, T value, const char* help) {
        family(name, "counter", help);
        sample(name, value);
    }
    // Writes one sample for each element of `counts`; label_at(index) returns the label value of an element.
    template <class Counts, class LabelAt>
    void samples(const char* name, const Counts& counts, const char* label, LabelAt label_at,
                 const std::string& other_labels = "") {
        for (std::size_t i = 0; i < counts.size(); ++i)
            sample(name, counts[i], "{" + other_labels + label + "=\"" + std::string(label_at(i)) + "\"}");
    }
    std::string text() const { return text_.str(); }

private:
    std::ostringstream text_;
};

// Label value of the enumerator with this index.
template <class Enum>
std::string_view label_of(std::size_t index) {
    return to_string(static_cast<Enum>(index));
}

std::string_view retry_label(std::size_t index) {
    return index < kOutcomeCount ? label_of<Outcome>(index) : std::string_view("in_flight");
}

void write_requests(MetricsWriter& out, const BalancerDriver::Totals& totals) {
    out.counter("requests_total", totals.arrived, "Requests received completely.");
    out.family("answers_total", "counter", "Requests ended, by result; left: the client disconnected first.");
    out.sample("answers_total", totals.served, "{result=\"served\"}");
    out.sample("answers_total", totals.rejected, "{result=\"refused\"}");
    out.sample("answers_total", totals.failed, "{result=\"failed\"}");
    out.sample("answers_total", totals.forwarded_errors, "{result=\"passed_on\"}");
    out.sample("answers_total", totals.client_disconnects, "{result=\"left\"}");
    out.counter("attempts_total", totals.attempts, "Attempts sent to servers.");
    out.family("retries_total", "counter",
               "Attempts after the first, by outcome of the previous one; in_flight: hedged.");
    out.samples("retries_total", totals.retries, "after", retry_label);
    out.family("refusals_total", "counter", "Requests answered 503, by reason.");
    out.samples("refusals_total", totals.rejections, "reason", label_of<EndReason>);
    out.family("failures_total", "counter", "Requests answered 502, by reason.");
    out.samples("failures_total", totals.failures, "reason", label_of<EndReason>);
}

void write_closes(MetricsWriter& out, const Node& node) {
    out.family("closes_total", "counter", "Connections closed, by side and reason.");
    out.samples("closes_total", node.listener().closes(), "reason", label_of<CloseReason>,
                "side=\"clients\",");
    out.samples("closes_total", node.driver().upstream_closes(), "reason", label_of<CloseReason>,
                "side=\"servers\",");
}

void write_rules(MetricsWriter& out, const BalancerDriver& driver) {
    const auto& counts = driver.rule_guard().counts();
    out.family("sends_withheld_total", "counter",
               "Attempts that the rule guard did not allow to be written, by reason.");
    out.samples("sends_withheld_total", counts.withheld, "reason", label_of<Withheld>);
    out.family("rule_violations_total", "counter",
               "Violations of rules, prevented or not, by rule; any value but 0 is a fault of this program.");
    out.samples("rule_violations_total", counts.violations, "rule", label_of<Violation>);
    out.counter("probes_total", driver.totals().probes, "Load probes sent to servers.");
    out.counter("peer_messages_total", driver.totals().gossip_sent,
                "Gossip messages sent to other sidecars.");
}

void write_gauges(MetricsWriter& out, const Node& node) {
    const BalancerDriver::Usage usage = node.usage();
    out.gauge("unanswered", node.driver().pending_requests(), "Requests without a final answer.");
    out.family("connections", "gauge", "Open connections, by side.");
    out.sample("connections", node.listener().connections(), "{side=\"clients\"}");
    out.sample("connections", usage.connections, "{side=\"servers\"}");
    out.gauge("servers", usage.endpoints, "Servers in the endpoint list.");
    out.gauge("servers_removed", usage.ejected, "Servers ejected after failures (outlier ejection).");
    out.gauge("list_seq", node.discovery().seq(), "Sequence number of the endpoint list in use.");
}

void write_config(MetricsWriter& out, const Node& node) {
    const ConfigCounts& counts = node.counts();
    out.gauge("config_generation", node.versions().current().number(),
              "Generation of the configuration in force.");
    out.gauge("config_on_trial", node.versions().canary() ? 1 : 0,
              "1 while a canary of the configuration is under way, else 0.");
    out.family("config_changes_total", "counter",
               "Configuration changes, by result; taken_back: rolled back by a failed canary.");
    out.sample("config_changes_total", counts.applied, "{result=\"applied\"}");
    out.sample("config_changes_total", counts.rejected, "{result=\"refused\"}");
    out.sample("config_changes_total", counts.unchanged, "{result=\"unchanged\"}");
    out.sample("config_changes_total", counts.rolled_back, "{result=\"rolled_back\"}");
    out.sample("config_changes_total", counts.canaries_rolled_back, "{result=\"taken_back\"}");
}

void write_datagrams(MetricsWriter& out, const replication::Replica& replica) {
    const auto& counts = replica.counts();
    out.gauge("fleet_members_alive", replica.alive(),
              "Members of the fleet considered alive, by this sidecar's view.");
    out.counter("fleet_datagrams_sent_total", counts.sent, "Replication datagrams sent.");
    out.counter("fleet_bytes_sent_total", counts.sent_bytes, "Bytes of the replication datagrams sent.");
    out.counter("fleet_datagrams_received_total", counts.received, "Replication datagrams received.");
    out.family("fleet_datagrams_dropped_total", "counter",
               "Replication datagrams that could not be decoded, by cause.");
    out.samples("fleet_datagrams_dropped_total", counts.decode_errors, "cause",
                label_of<replication::DecodeError>);
    out.counter("fleet_unknown_members_total", counts.unknown_members,
                "Replicated items about member indices outside the fleet.");
    out.counter("fleet_far_lives_total", counts.implausible_epochs,
                "Replicated items whose incarnation is too far ahead of the clock.");
    out.counter("fleet_refuted_total", counts.refuted, "False reports about this sidecar that it refuted.");
    out.counter("fleet_suspected_total", counts.suspected,
                "Members suspected after a failed probe by this sidecar.");
    out.counter("fleet_stalls_total", counts.process_pauses, "Pauses of this process that were detected.");
}

void write_replication(MetricsWriter& out, const ReplicationDriver& replication) {
    write_datagrams(out, replication.replica());
    const auto& endpoints = replication.list_follower();
    const auto& settings = replication.settings_follower();
    out.counter("fleet_list_calls_total", endpoints.calls(),
                "Endpoint lists requested because other members use a newer one.");
    out.counter("fleet_settings_reads_total", settings.calls(),
                "Reads of the configuration file because other members use newer settings.");
    out.counter("fleet_unfounded_claims_total", endpoints.unfounded() + settings.unfounded(),
                "Reported newer versions that could not be obtained.");
}

void write_state_store(MetricsWriter& out, const StateStore& store) {
    const auto counts = store.counts();
    out.counter("state_writes_total", counts.written, "Records written to the state folder.");
    out.counter("state_write_failures_total", counts.failed, "Records that could not be written.");
    out.counter("state_bytes_total", counts.bytes, "Bytes of the records written.");
}

void write_commit_times(MetricsWriter& out, const ConfigCounts& counts) {
    constexpr Millis kMillisPerSecond = 1000;
    out.gauge("config_commit_seconds_max", counts.longest_commit / kMillisPerSecond,
              "Longest pause of the event loop for the commit of a configuration change, in seconds.");
    out.gauge("config_change_seconds_max", counts.longest_change / kMillisPerSecond,
              "Longest configuration change including validation and preparation, in seconds.");
}

}  // namespace

std::string render_metrics(const Node& node) {
    MetricsWriter out;
    write_requests(out, node.driver().totals());
    write_closes(out, node);
    write_rules(out, node.driver());
    write_gauges(out, node);
    write_config(out, node);
    if (const ReplicationDriver* replication = node.replication()) write_replication(out, *replication);
    if (const StateStore* store = node.state_store()) write_state_store(out, *store);
    write_commit_times(out, node.counts());
    return out.text();
}

}  // namespace ochregrade::sidecar
