/// @file
/// ochregrade_lab: the fleet lab. Starts fakes and many real sidecars on loopback, executes load and faults
/// from an experiment file, and writes a report.
///   ochregrade_lab run EXPERIMENT.toml --program build/ochregrade --out lab-runs/NAME
///   ochregrade_lab check EXPERIMENT.toml
/// Exit status: 0, 1 where the run failed, 2 where the experiment is invalid.
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <filesystem>
#include <iostream>

#include "lab/experiment.hpp"
#include "lab/lab.hpp"

namespace {

using ochregrade::lab::Experiment;
using ochregrade::lab::ExperimentError;

constexpr int kRunFailed = 1;
constexpr int kInvalidExperiment = 2;

struct CommandLine {
    std::string experiment_path;
    std::string program = "build/ochregrade";
    std::string out;
    // In place of the experiment's own; negative: not given.
    std::int64_t seed = -1;
    std::int64_t sidecars = -1;
    std::int64_t servers = -1;
    double seconds = -1;
    bool quiet = false;
};

void add_run_command(CLI::App& app, CommandLine& line) {
    CLI::App* run = app.add_subcommand("run", "run an experiment and write its report");
    run->add_option("experiment", line.experiment_path, "the experiment, a TOML file")
        ->required()
        ->check(CLI::ExistingFile);
    run->add_option("--program", line.program, "path of the sidecar program")->check(CLI::ExistingFile);
    run->add_option("--out", line.out, "folder for the report (default: lab-runs/NAME-SEED)");
    run->add_option("--seed", line.seed, "overrides seed of the experiment")->check(CLI::NonNegativeNumber);
    run->add_option("--sidecars", line.sidecars, "overrides fleet.sidecars")->check(CLI::Range(1, 2000));
    run->add_option("--servers", line.servers, "overrides servers.count")->check(CLI::Range(1, 2000));
    run->add_option("--seconds", line.seconds, "overrides seconds of the experiment")
        ->check(CLI::Range(1.0, 3600.0));
    run->add_flag("--quiet", line.quiet, "writes events to the log file only, not to standard error");
}

CLI::App* add_check_command(CLI::App& app, CommandLine& line) {
    CLI::App* check = app.add_subcommand("check", "validate an experiment file");
    check->add_option("experiment", line.experiment_path, "the experiment, a TOML file")
        ->required()
        ->check(CLI::ExistingFile);
    return check;
}

// The experiment of the file, with what the command line has in place of its fields.
Experiment read_experiment(const CommandLine& line) {
    Experiment experiment = ochregrade::lab::load_experiment(line.experiment_path);
    if (line.seed >= 0) experiment.seed = static_cast<std::uint64_t>(line.seed);
    if (line.sidecars > 0) experiment.sidecars = static_cast<int>(line.sidecars);
    if (line.servers > 0) experiment.servers = static_cast<int>(line.servers);
    if (line.seconds > 0) experiment.seconds = line.seconds;
    if (experiment.warmup_s >= experiment.seconds) throw ExperimentError("seconds", "shorter than warmup_s");
    return experiment;
}

// Structured logs: one JSON object a line, its fields those of the event.
std::shared_ptr<spdlog::logger> json_logger(const std::filesystem::path& file, bool quiet) {
    std::vector<spdlog::sink_ptr> sinks;
    sinks.push_back(std::make_shared<spdlog::sinks::basic_file_sink_st>(file.string(), true));
    if (!quiet) sinks.push_back(std::make_shared<spdlog::sinks::stderr_sink_st>());
    auto logger = std::make_shared<spdlog::logger>("lab", sinks.begin(), sinks.end());
    logger->set_pattern(R"({"t":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","fields":%v})",
                        spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    return logger;
}

std::filesystem::path report_folder(const CommandLine& line, const Experiment& experiment) {
    if (!line.out.empty()) return line.out;
    const std::string name = experiment.name.empty() ? "run" : experiment.name;
    return std::filesystem::path("lab-runs") / (name + "-" + std::to_string(experiment.seed));
}

void run(const CommandLine& line, const Experiment& experiment) {
    const std::filesystem::path out = report_folder(line, experiment);
    std::filesystem::create_directories(out);
    const auto log = json_logger(out / "lab.jsonl", line.quiet);
    const ochregrade::lab::RunOptions options{std::filesystem::absolute(line.program).string(),
                                              std::filesystem::absolute(out)};
    const auto summary = ochregrade::lab::run_experiment(experiment, options, log);
    std::cout << summary.dump(2) << "\n";
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "The fleet lab: runs many real sidecars against fake servers, clients and discovery, injects faults, "
        "writes reports."};
    app.require_subcommand(1);
    CommandLine line;
    add_run_command(app, line);
    const CLI::App* check = add_check_command(app, line);
    CLI11_PARSE(app, argc, argv);

    Experiment experiment;
    try {
        experiment = read_experiment(line);
    } catch (const ExperimentError& error) {
        std::cerr << "ochregrade_lab: " << line.experiment_path << ": " << error.what() << "\n";
        return kInvalidExperiment;
    }
    if (check->parsed()) {
        std::cout << line.experiment_path << ": valid, " << experiment.sidecars << " sidecars, "
                  << experiment.servers << " servers, " << experiment.faults.size() << " faults\n";
        return 0;
    }
    try {
        run(line, experiment);
    } catch (const std::exception& error) {
        std::cerr << "ochregrade_lab: " << error.what() << "\n";
        return kRunFailed;
    }
    return 0;
}
