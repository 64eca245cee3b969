#include "balancer/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace ochregrade {

namespace {

void check(bool valid, const std::string& setting) {
    if (!valid) throw std::invalid_argument("ochregrade: setting makes no sense: " + setting);
}
void check_amount(double value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& settings) {
    check(!settings.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& request_class = settings.classes[i];
        check(std::isfinite(request_class.latency_objective) && request_class.latency_objective > 0,
              prefix + "latency_objective");
        check_amount(request_class.dedup_window, prefix + "dedup_window");
        check_amount(request_class.objective_per_effort, prefix + "objective_per_effort");
        check_amount(request_class.priority_weight, prefix + "priority_weight");
    }
    check(settings.sidecar_count >= 1, "sidecar_count");
    check(settings.max_attempts >= 1, "max_attempts");
    check_amount(settings.poll_interval, "poll_interval");
    check_amount(settings.slow_start_duration, "slow_start_duration");
    check(std::isfinite(settings.slow_start_overload_factor) && settings.slow_start_overload_factor >= 1,
          "slow_start_overload_factor");
    check(settings.slow_start_least_share >= 0 && settings.slow_start_least_share <= 1,
          "slow_start_least_share");
    check_amount(settings.fees.cross_zone, "fees.cross_zone");
    check_amount(settings.fees.probe, "fees.probe");
}

}  // namespace ochregrade
