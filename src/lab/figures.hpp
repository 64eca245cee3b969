/// @file
/// Statistics of the lab's figures: fairness of load over servers, percentiles, and the figures of each
/// second.
#pragma once

#include <vector>

#include "lab/recorder.hpp"

namespace ochregrade::lab {

/// Jain's fairness index (Jain, Chiu and Hawe 1984): (sum x)^2 / (n sum x^2), 1 when all are equal, 1/n when
/// one has all. 1 where all are zero (nothing to be unfair about) or there are none.
double jain(const std::vector<double>& values);

/// The value that a share `p` of all is no greater than; 0 of none.
double percentile(std::vector<double> values, double p);

/// 0 of none.
double mean(const std::vector<double>& values);
/// `fallback` of none.
double smallest(const std::vector<double>& values, double fallback);
double largest(const std::vector<double>& values, double fallback);

/// Jain's index over a longer window has less of the noise that random arrivals bring.
constexpr int kWindowSeconds = 5;

/// How the requests of one second fell over the servers that were live in it.
struct SecondFigures {
    double jain = 1;
    double jain_by_speed = 1;  ///< of requests over speed
    double jain_window = 1;    ///< the same over the kWindowSeconds that end with this second
    double poisson_floor = 1;  ///< what jain is for the fairest random spread
    double max_over_mean = 1;
    int live = 0;  ///< servers
    int idle = 0;  ///< live servers without a request
};

/// The figures of every second of the run, in order.
std::vector<SecondFigures> figures_by_second(const Recorder& recorder);

}  // namespace ochregrade::lab
