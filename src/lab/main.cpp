// ochregrade_lab: the fleet lab. Starts stand-ins and many real sidecars on loopback, plays load and faults
// from an experiment file, and writes a report.
//   ochregrade_lab run EXPERIMENT.toml --program build/ochregrade --out lab-runs/NAME
//   ochregrade_lab check EXPERIMENT.toml
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "lab/experiment.hpp"
#include "lab/lab.hpp"

namespace {

// Structured logs: one JSON object a line, its fields those of the event.
std::shared_ptr<spdlog::logger> json_logger(const std::filesystem::path& file, bool quiet) {
    std::vector<spdlog::sink_ptr> sinks;
    sinks.push_back(std::make_shared<spdlog::sinks::basic_file_sink_st>(file.string(), true));
    if (!quiet) sinks.push_back(std::make_shared<spdlog::sinks::stderr_sink_st>());
    auto logger = std::make_shared<spdlog::logger>("lab", sinks.begin(), sinks.end());
    logger->set_pattern("{\"t\":\"%Y-%m-%dT%H:%M:%S.%fZ\",\"level\":\"%l\",\"fields\":%v}",
                        spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    return logger;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"The fleet lab: many real sidecars, stand-ins for what they serve, faults, reports."};
    app.require_subcommand(1);
    std::string path, program = "build/ochregrade", out;
    std::int64_t seed = -1, sidecars = -1, servers = -1;
    double seconds = -1;
    bool quiet = false;

    CLI::App* run = app.add_subcommand("run", "play an experiment and write its report");
    run->add_option("experiment", path, "the experiment, a TOML file")->required()->check(CLI::ExistingFile);
    run->add_option("--program", program, "the sidecar to start")->check(CLI::ExistingFile);
    run->add_option("--out", out, "the report's folder (lab-runs/NAME-SEED if not given)");
    run->add_option("--seed", seed, "in place of the file's seed")->check(CLI::NonNegativeNumber);
    run->add_option("--sidecars", sidecars, "in place of fleet.sidecars")->check(CLI::Range(1, 2000));
    run->add_option("--servers", servers, "in place of servers.count")->check(CLI::Range(1, 2000));
    run->add_option("--seconds", seconds, "in place of seconds")->check(CLI::Range(1.0, 3600.0));
    run->add_flag("--quiet", quiet, "events only to the log file, not to standard error");
    CLI::App* check = app.add_subcommand("check", "read an experiment and say whether it is a good one");
    check->add_option("experiment", path, "the experiment, a TOML file")
        ->required()
        ->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);

    ochregrade::lab::Experiment experiment;
    try {
        experiment = ochregrade::lab::load_experiment(path);
        if (seed >= 0) experiment.seed = static_cast<std::uint64_t>(seed);
        if (sidecars > 0) experiment.sidecars = static_cast<int>(sidecars);
        if (servers > 0) experiment.servers = static_cast<int>(servers);
        if (seconds > 0) experiment.seconds = seconds;
        if (experiment.warmup_s >= experiment.seconds)
            throw ochregrade::lab::ExperimentError("seconds", "shorter than warmup_s");
    } catch (const ochregrade::lab::ExperimentError& error) {
        std::cerr << "ochregrade_lab: " << path << ": " << error.what() << "\n";
        return 2;
    }
    if (check->parsed()) {
        std::cout << path << ": good, " << experiment.sidecars << " sidecars, " << experiment.servers
                  << " servers, " << experiment.faults.size() << " faults\n";
        return 0;
    }
    if (out.empty())
        out = "lab-runs/" + (experiment.name.empty() ? "run" : experiment.name) + "-" +
              std::to_string(experiment.seed);
    try {
        std::filesystem::create_directories(out);
        auto log = json_logger(std::filesystem::path(out) / "lab.jsonl", quiet);
        const auto summary = ochregrade::lab::run_experiment(
            experiment, {std::filesystem::absolute(program).string(), std::filesystem::absolute(out)}, log);
        std::cout << summary.dump(2) << "\n";
    } catch (const std::exception& error) {
        std::cerr << "ochregrade_lab: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
