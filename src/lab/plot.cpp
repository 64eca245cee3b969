#include "lab/plot.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace ochregrade::lab {

namespace {

constexpr const char* kScript =
    "set terminal pngcairo size 1200,700 noenhanced\nset datafile separator ','\nset key outside\n"
    "set output 'fleet.png'\n"
    "set multiplot layout 2,1 title 'requests per second, and load over servers'\n"
    "set ylabel 'requests'\nplot 'fleet.csv' using 1:2 with lines title 'served', "
    "'' using 1:3 with lines title 'refused', '' using 1:4 with lines title 'failed', "
    "'' using 1:5 with lines title 'lost', '' using 1:6 with lines title 'unreachable'\n"
    "set ylabel 'index'\nset xlabel 'second'\nset yrange [0:*]\n"
    "plot 'fleet.csv' using 1:7 with lines title 'Jain over live servers', "
    "'' using 1:16 with lines title 'Jain by speed, 5 s', '' using 1:17 with lines title 'Poisson floor', "
    "'' using 1:8 with lines title 'max/mean', '' using 1:10 with lines title 'idle live servers'\n"
    "unset multiplot\nset output 'servers.png'\nunset key\nset xlabel 'second'\nset ylabel 'server'\n"
    "set title 'requests per server per second'\nset datafile separator whitespace\n"
    "plot 'servers.matrix' matrix with image\n";

constexpr int kNoFolder = 126;   // exit statuses of the child
constexpr int kNoGnuplot = 127;  // the CSV files stand alone then

}  // namespace

void plot_report(const std::filesystem::path& folder) {
    std::ofstream(folder / "plot.gp") << kScript;
    const pid_t pid = ::fork();
    if (pid == 0) {
        if (::chdir(folder.c_str()) != 0) ::_exit(kNoFolder);
        ::execlp("gnuplot", "gnuplot", "plot.gp", static_cast<char*>(nullptr));
        ::_exit(kNoGnuplot);
    }
    int status = 0;
    if (pid > 0) ::waitpid(pid, &status, 0);
}

}  // namespace ochregrade::lab
