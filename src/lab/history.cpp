#include "lab/history.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <set>
#include <string_view>

namespace ochregrade::lab {

namespace {

using nlohmann::json;

// A server that failed until just now is still rightly removed for what it did; the last evidence lives 10 s.
constexpr double kAftermath = 12000;

// "2026-12-01T20:56:21.123456Z" in Unix ms.
std::optional<double> unix_ms(const std::string& text) {
    std::tm tm{};
    double seconds = 0;
    if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lfZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday, &tm.tm_hour,
                    &tm.tm_min, &seconds) != 6)
        return {};
    tm.tm_year -= 1900, tm.tm_mon -= 1;
    return static_cast<double>(timegm(&tm)) * 1000 + seconds * 1000;
}

// The lab names its servers s-NNN.
std::optional<int> server_of(std::string_view text) {
    int number = 0;
    if (text.substr(0, 2) != "s-") return {};
    const auto [end, ec] = std::from_chars(text.data() + 2, text.data() + text.size(), number);
    return ec == std::errc() ? std::optional(number) : std::nullopt;
}

json spread(const std::vector<double>& values) {
    return {{"n", values.size()},
            {"p50", std::round(percentile(values, 0.5))},
            {"p99", std::round(percentile(values, 0.99))},
            {"max", values.empty() ? 0 : std::round(*std::max_element(values.begin(), values.end()))}};
}

}  // namespace

double percentile(std::vector<double> values, double p) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const auto at =
        static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size()))) - (p > 0 ? 1 : 0);
    return values[std::min(at, values.size() - 1)];
}

std::optional<Line> read_line(const std::string& text) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("t") || !line.contains("msg") || !line["t"].is_string() ||
        !line["msg"].is_string())
        return {};
    const auto at = unix_ms(line["t"]);
    return at ? std::optional(Line{*at, line["msg"]}) : std::nullopt;
}

void History::happened(double at, const json& event) {
    const std::string what = event.value("event", "");
    const int number = event.value("number", -1);
    if (what == "fault") {
        open_[number] = {at, 0};
        if (event.contains("servers")) open_servers_[number] = event["servers"].get<std::vector<int>>();
        if (event.value("rollout", 1.0) < 1) staged_.insert(event.value("epoch", 0u));
        if (event.contains("sidecars")) open_sidecars_[number] = event["sidecars"].get<std::vector<int>>();
    } else if (what == "load_over") {
        over_ = at;
    } else if (what == "fault_over" || what == "fault_failed") {
        Span span = open_[number];
        span.to = at;
        for (const int server : open_servers_[number]) bad_[server].push_back(span);
        for (const int sidecar : open_sidecars_[number]) away_.emplace_back(sidecar, span);
    }
}

void History::read_log(int sidecar, const std::filesystem::path& path) {
    std::ifstream file(path);
    for (std::string text; std::getline(file, text);)
        if (const auto line = read_line(text)) said(sidecar, *line);
}

void History::said(int sidecar, const Line& line) {
    const std::string_view text = line.text;
    if (const auto server = server_of(text); server && text.find(" removed from the pool") != text.npos)
        removals_[*server].push_back({sidecar, line.at, text.find("on the word of") != text.npos});
    if (text.rfind("caught up with the fleet after ", 0) == 0)
        catch_up_.push_back(std::atof(line.text.c_str() + 31));
    Acts a;
    a.at = line.at;
    if (std::sscanf(line.text.c_str(), "acts on settings %u.%x list %u.%u", &a.settings.first,
                    &a.settings.second, &a.list.first, &a.list.second) == 4)
        acts_[sidecar].push_back(a);
    if (text.find("lines left out") != text.npos)
        left_out_ += static_cast<std::size_t>(std::atol(line.text.c_str()));
}

bool History::bad(int server, double at) const {
    const auto spans = bad_.find(server);
    return spans != bad_.end() && std::any_of(spans->second.begin(), spans->second.end(), [&](const Span& s) {
               return at >= s.from && at <= s.to + kAftermath;
           });
}

// Who is killed, stopped or cut off is held to it from its return on.
double History::held_from(int sidecar, double since, double until) const {
    for (const auto& [who, span] : away_)
        if (who == sidecar && span.from <= until && span.to >= since) since = std::max(since, span.to);
    return since;
}

// How long after the first of all each sidecar came to act on each version, or a later one: for so long two
// acted on contradicting ones.
json History::lags(bool of_lists) const {
    std::map<std::pair<std::uint32_t, std::uint32_t>, double> first;
    for (const auto& [sidecar, all] : acts_)
        for (const Acts& a : all) {
            const auto& place = of_lists ? a.list : a.settings;
            const auto [at, fresh] = first.try_emplace(place, a.at);
            if (!fresh) at->second = std::min(at->second, a.at);
        }
    std::vector<double> lags;
    std::size_t never = 0, changes = 0;
    for (const auto& [place, since] : first) {
        if (place == first.begin()->first || since > over_) continue;  // what they all started with
        if (!of_lists && staged_.count(place.first)) continue;
        ++changes;
        for (const auto& [sidecar, all] : acts_) {
            const auto at = std::find_if(all.begin(), all.end(), [&, p = place](const Acts& a) {
                return (of_lists ? a.list : a.settings) >= p;
            });
            const double until = at == all.end() ? over_ : at->at;
            lags.push_back(std::max(0.0, until - held_from(sidecar, since, until)));
            never += at == all.end();
        }
    }
    json j = spread(lags);
    j["changes"] = changes, j["never"] = never;
    return j;
}

json History::figures(int servers) const {
    std::vector<double> all, hearsay;
    std::size_t sound = 0, sound_hearsay = 0, pairs = 0;
    for (int server = 0; server < servers; ++server) {
        const auto at = removals_.find(server);
        if (at != removals_.end())
            for (const Removal& r : at->second)
                if (!bad(server, r.at)) ++sound, sound_hearsay += r.hearsay;
        const auto spans = bad_.find(server);
        if (spans == bad_.end()) continue;
        for (const Span& span : spans->second) {
            ++pairs;
            std::set<int> counted;  // the first time that each learnt of it
            if (at == removals_.end()) continue;
            for (const Removal& r : at->second) {
                if (r.at < span.from || r.at > span.to + kAftermath || !counted.insert(r.sidecar).second)
                    continue;
                all.push_back(r.at - span.from);
                if (r.hearsay) hearsay.push_back(r.at - span.from);
            }
        }
    }
    return {{"bad_servers", pairs},
            {"removed_by", pairs ? static_cast<double>(all.size()) / static_cast<double>(pairs) : 0},
            {"removed_after_ms", spread(all)},
            {"removed_on_hearsay_after_ms", spread(hearsay)},
            {"sound_servers_removed", sound},
            {"sound_servers_removed_on_hearsay", sound_hearsay},
            {"caught_up_after_ms", spread(catch_up_)},
            {"list_lag_ms", lags(true)},
            {"settings_lag_ms", lags(false)},
            {"log_lines_left_out", left_out_}};
}

}  // namespace ochregrade::lab
