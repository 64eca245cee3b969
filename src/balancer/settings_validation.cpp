#include "balancer/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace ochregrade {

namespace {

void check(bool sound, const std::string& setting) {
    if (!sound) throw std::invalid_argument("ochregrade: setting makes no sense: " + setting);
}
void check_amount(double value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& s) {
    check(!s.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& c = s.classes[i];
        check(std::isfinite(c.latency_objective) && c.latency_objective > 0, prefix + "aim");
        check_amount(c.dedup_window, prefix + "dedup_window");
        check_amount(c.objective_per_effort, prefix + "aim_stretch");
        check_amount(c.priority_weight, prefix + "worth");
    }
    check(s.sidecar_count >= 1, "siblings");
    check(s.max_attempts >= 1, "max_attempts");
    check_amount(s.poll_interval, "ask_within");
    check_amount(s.slow_start_duration, "warm_within");
    check(std::isfinite(s.slow_start_overload_factor) && s.slow_start_overload_factor >= 1, "fall_multiple");
    check(s.slow_start_least_share >= 0 && s.slow_start_least_share <= 1, "cold_from");
    check_amount(s.fees.cross_zone, "fees.cross_zone");
    check_amount(s.fees.probe, "fees.probe");
}

}  // namespace ochregrade
